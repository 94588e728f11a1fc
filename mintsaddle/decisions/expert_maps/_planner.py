"""Plans expert maps from scratch or by incremental moves."""

import heapq
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from mintsaddle.decisions.expert_maps._draft import Change, LayerDraft
from mintsaddle.decisions.expert_maps._maps import ExpertMap, LayerSlots, Popularity

MAX_TARGET_RANKS = 12
"""Least loaded ranks considered as move targets; bounds the planning time."""

HORIZON_INTERVALS = 1.4
"""Planning intervals over which a gain is credited. Above 1, because a map
stays in use past the next plan."""

_MAX_MOVES = 48
_MIN_GAIN = 1e-9


class PlanCost(NamedTuple):
    """Cost of changing a map, in the same unit as the time of a step."""

    horizon_steps: float
    """Steps over which a gain is credited."""

    move_cost: float
    """Cost of transferring the weights of one expert through the store."""

    switch_cost: float
    """Cost of pausing the group for one map switch."""


class _Move(NamedTuple):
    gain: float
    changes: tuple[Change, ...]


def plan_from_scratch(
    version: int,
    old: ExpertMap,
    popularity: Popularity,
    speeds: Sequence[float],
) -> ExpertMap:
    """Return a map planned independently of the placement in the old one.

    Each spare slot goes to the expert with the most tokens per copy. The
    copies are then assigned in descending order of load, each to the least
    loaded rank.
    """
    layers = tuple(
        _pack_layer(len(layer), len(layer[0]), tokens, speeds)
        for layer, tokens in zip(old.layers, popularity, strict=True)
    )
    return ExpertMap(version, layers)


def plan_moves(
    version: int,
    old: ExpertMap,
    popularity: Popularity,
    speeds: Sequence[float],
    cost: PlanCost,
) -> ExpertMap | None:
    """Return a map improved by moves that pay off, or None if none do.

    Each move takes load off the slowest rank of one layer, either by swapping
    experts or by replacing a redundant copy with a copy of one of the rank's
    experts. Moves of a layer are kept if their gain over the horizon exceeds
    the cost of transferring the weights. The total over all layers must also
    exceed the cost of the switch.
    """
    net_gain = 0.0
    layers = []
    for layer, tokens in zip(old.layers, popularity, strict=True):
        planned, layer_gain = _improve_layer(layer, tokens, speeds, cost)
        layers.append(planned)
        net_gain += layer_gain
    if net_gain <= cost.switch_cost:
        return None
    return ExpertMap(version, tuple(layers))


def _pack_layer(
    ranks: int, slots: int, tokens: Sequence[float], speeds: Sequence[float]
) -> LayerSlots:
    copies = _count_copies(ranks * slots, tokens)
    copy_loads = sorted(
        ((tokens[expert] / copies[expert], expert) for expert in copies.elements()),
        reverse=True,
    )
    heap = [(0.0, rank) for rank in range(ranks)]
    held: list[list[int]] = [[] for _ in range(ranks)]
    for load, expert in copy_loads:
        total, rank = heapq.heappop(heap)
        held[rank].append(expert)
        if len(held[rank]) < slots:
            heapq.heappush(heap, (total + load / speeds[rank], rank))
    return tuple(tuple(experts) for experts in held)


def _count_copies(slot_count: int, tokens: Sequence[float]) -> Counter[int]:
    copies = Counter(range(len(tokens)))
    heap = [(-load, expert) for expert, load in enumerate(tokens)]
    heapq.heapify(heap)
    for _ in range(slot_count - len(tokens)):
        _, expert = heapq.heappop(heap)
        copies[expert] += 1
        heapq.heappush(heap, (-tokens[expert] / copies[expert], expert))
    return copies


def _improve_layer(
    layer: LayerSlots,
    tokens: Sequence[float],
    speeds: Sequence[float],
    cost: PlanCost,
) -> tuple[LayerSlots, float]:
    """Return an improved layer and its gain net of transfer costs.

    Load is taken off the slowest rank repeatedly. A single move gains nothing
    when another rank is equally slow, so moves are evaluated cumulatively and
    the best prefix of the sequence is kept.
    """
    draft = LayerDraft(layer, tokens, speeds)
    before = draft.max_load()
    best, best_net_gain = layer, 0.0
    weights = 0
    for _ in range(_MAX_MOVES):
        move = _find_move(draft)
        if move is None:
            break
        draft.apply(move.changes)
        weights += len(move.changes)
        gain = before - draft.max_load()
        net_gain = gain * cost.horizon_steps - weights * cost.move_cost
        if net_gain > best_net_gain:
            best, best_net_gain = draft.slots(), net_gain
    return best, best_net_gain


def _find_move(draft: LayerDraft) -> _Move | None:
    """Return the move with the largest gain per transferred expert."""
    hot = draft.slowest_rank()
    best: _Move | None = None
    for cold in draft.least_loaded_ranks(MAX_TARGET_RANKS):
        if cold == hot:
            continue
        for move in (*_find_swaps(draft, hot, cold), *_find_copies(draft, hot, cold)):
            if best is None or _gain_per_weight(move) > _gain_per_weight(best):
                best = move
    return best


def _gain_per_weight(move: _Move) -> float:
    return move.gain / len(move.changes)


def _find_swaps(draft: LayerDraft, hot: int, cold: int) -> Iterator[_Move]:
    """Yield swaps of a hot rank's expert for a lighter one of a cold rank."""
    hot_slots = draft.held[hot]
    cold_slots = draft.held[cold]
    for hot_slot, heavy in enumerate(hot_slots):
        if heavy in cold_slots:
            continue
        for cold_slot, light in enumerate(cold_slots):
            shifted_tokens = draft.tokens_per_copy(heavy) - draft.tokens_per_copy(light)
            if shifted_tokens <= 0.0 or light in hot_slots:
                continue
            new_hot = draft.loads[hot] - shifted_tokens / draft.speeds[hot]
            new_cold = draft.loads[cold] + shifted_tokens / draft.speeds[cold]
            gain = draft.loads[hot] - max(new_hot, new_cold)
            if gain > _MIN_GAIN:
                changes = ((hot, hot_slot, light), (cold, cold_slot, heavy))
                yield _Move(gain, changes)


def _find_copies(draft: LayerDraft, hot: int, cold: int) -> Iterator[_Move]:
    """Yield replacements of a redundant copy by a copy of a hot rank's expert.

    The tokens of the removed copy go to its other copies, whose ranks must
    not become as slow as the hot rank was.
    """
    hot_slots = draft.held[hot]
    cold_slots = draft.held[cold]
    for cold_slot, spare in enumerate(cold_slots):
        copies = draft.copies[spare]
        if copies < 2:
            continue
        removed_tokens = draft.tokens_per_copy(spare)
        added_tokens = draft.tokens[spare] / (copies - 1) - removed_tokens
        max_holder_load = _max_load_with(
            draft, set(draft.holders(spare)) - {hot, cold}, added_tokens
        )
        for heavy in hot_slots:
            if heavy in cold_slots:
                continue
            before = draft.tokens_per_copy(heavy)
            after = draft.tokens[heavy] / (draft.copies[heavy] + 1)
            relieved_tokens = (
                before - after - (added_tokens if spare in hot_slots else 0.0)
            )
            new_hot = draft.loads[hot] - relieved_tokens / draft.speeds[hot]
            new_cold = draft.loads[cold] + (after - removed_tokens) / draft.speeds[cold]
            gain = draft.loads[hot] - max(new_hot, new_cold, max_holder_load)
            if gain > _MIN_GAIN:
                yield _Move(gain, ((cold, cold_slot, heavy),))


def _max_load_with(draft: LayerDraft, ranks: set[int], tokens: float) -> float:
    """Return the maximum load of ranks if each is given additional tokens."""
    return max(
        (draft.loads[rank] + tokens / draft.speeds[rank] for rank in ranks),
        default=0.0,
    )
