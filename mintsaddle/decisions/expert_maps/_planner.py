"""Planning a map: afresh, or by the few moves that are worth their cost."""

import heapq
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from mintsaddle.decisions.expert_maps._draft import Change, LayerDraft
from mintsaddle.decisions.expert_maps._maps import ExpertMap, LayerSlots, Popularity

COLD_RANKS = 12
"""Least loaded ranks that are looked at; bounds the planning time."""

HORIZON_INTERVALS = 1.4
"""Intervals between plans over which a gain counts; it outlasts the next."""

_MOST_MOVES = 48
_LEAST_GAIN = 1e-9


class PlanCost(NamedTuple):
    """What a change costs, in the unit of a step's time."""

    horizon: float
    """Steps over which a gain counts."""

    weight: float
    """Cost of moving one expert's weights through the store."""

    pause: float
    """Cost of holding the group for one switch."""


class _Move(NamedTuple):
    gain: float
    changes: tuple[Change, ...]


def plan_afresh(
    version: int,
    old: ExpertMap,
    popularity: Popularity,
    speeds: Sequence[float],
) -> ExpertMap:
    """Return a map planned with no regard to the old one.

    Spare slots go to the experts with most tokens for each copy; then the
    copies are dealt to the least loaded rank, largest first.
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
    """Return a map with the moves that are worth it, or None if none is.

    Each move relieves the slowest rank of one layer, by a swap or by another
    copy of its expert in place of a spare one. A move is taken while its gain
    over the horizon beats the weights that it moves; the whole has to beat
    the pause as well.
    """
    worth = 0.0
    layers = []
    for layer, tokens in zip(old.layers, popularity, strict=True):
        planned, gained = _improve_layer(layer, tokens, speeds, cost)
        layers.append(planned)
        worth += gained
    if worth <= cost.pause:
        return None
    return ExpertMap(version, tuple(layers))


def _pack_layer(
    ranks: int, slots: int, tokens: Sequence[float], speeds: Sequence[float]
) -> LayerSlots:
    copies = _count_copies(ranks * slots, tokens)
    pieces = sorted(
        ((tokens[expert] / copies[expert], expert) for expert in copies.elements()),
        reverse=True,
    )
    heap = [(0.0, rank) for rank in range(ranks)]
    held: list[list[int]] = [[] for _ in range(ranks)]
    for load, expert in pieces:
        total, rank = heapq.heappop(heap)
        held[rank].append(expert)
        if len(held[rank]) < slots:
            heapq.heappush(heap, (total + load / speeds[rank], rank))
    return tuple(tuple(experts) for experts in held)


def _count_copies(places: int, tokens: Sequence[float]) -> Counter[int]:
    copies = Counter(range(len(tokens)))
    heap = [(-load, expert) for expert, load in enumerate(tokens)]
    heapq.heapify(heap)
    for _ in range(places - len(tokens)):
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
    """Return an improved layer, and what it is worth beyond its moves.

    The slowest rank is relieved again and again. One move alone may gain
    nothing, when the next rank is as slow; so the moves are judged together
    and the best beginning of their sequence is kept.
    """
    draft = LayerDraft(layer, tokens, speeds)
    before = draft.slowest()
    best, best_worth = layer, 0.0
    weights = 0
    for _ in range(_MOST_MOVES):
        move = _find_move(draft)
        if move is None:
            break
        draft.apply(move.changes)
        weights += len(move.changes)
        gain = before - draft.slowest()
        worth = gain * cost.horizon - weights * cost.weight
        if worth > best_worth:
            best, best_worth = draft.slots(), worth
    return best, best_worth


def _find_move(draft: LayerDraft) -> _Move | None:
    """Return the move that relieves the slowest rank most for each weight."""
    hot = draft.slowest_rank()
    best: _Move | None = None
    for cold in draft.fastest_ranks(COLD_RANKS):
        if cold == hot:
            continue
        for move in (*_find_swaps(draft, hot, cold), *_find_copies(draft, hot, cold)):
            if best is None or _rate(move) > _rate(best):
                best = move
    return best


def _rate(move: _Move) -> float:
    return move.gain / len(move.changes)


def _find_swaps(draft: LayerDraft, hot: int, cold: int) -> Iterator[_Move]:
    """Exchange an expert of the hot rank for a lighter one of a cold rank."""
    hot_slots = draft.held[hot]
    cold_slots = draft.held[cold]
    for hot_slot, heavy in enumerate(hot_slots):
        if heavy in cold_slots:
            continue
        for cold_slot, light in enumerate(cold_slots):
            shifted = draft.piece(heavy) - draft.piece(light)
            if shifted <= 0.0 or light in hot_slots:
                continue
            new_hot = draft.loads[hot] - shifted / draft.speeds[hot]
            new_cold = draft.loads[cold] + shifted / draft.speeds[cold]
            gain = draft.loads[hot] - max(new_hot, new_cold)
            if gain > _LEAST_GAIN:
                changes = ((hot, hot_slot, light), (cold, cold_slot, heavy))
                yield _Move(gain, changes)


def _find_copies(draft: LayerDraft, hot: int, cold: int) -> Iterator[_Move]:
    """Put another copy of a hot rank's expert in place of a spare copy.

    The spare's tokens go to its other copies, whose ranks must not become as
    slow as the hot one was.
    """
    hot_slots = draft.held[hot]
    cold_slots = draft.held[cold]
    for cold_slot, spare in enumerate(cold_slots):
        copies = draft.copies[spare]
        if copies < 2:
            continue
        returned = draft.piece(spare)
        regained = draft.tokens[spare] / (copies - 1) - returned
        burdened = _slowest_of(draft, set(draft.holders(spare)) - {hot, cold}, regained)
        for heavy in hot_slots:
            if heavy in cold_slots:
                continue
            before = draft.piece(heavy)
            after = draft.tokens[heavy] / (draft.copies[heavy] + 1)
            shed = before - after - (regained if spare in hot_slots else 0.0)
            new_hot = draft.loads[hot] - shed / draft.speeds[hot]
            new_cold = draft.loads[cold] + (after - returned) / draft.speeds[cold]
            gain = draft.loads[hot] - max(new_hot, new_cold, burdened)
            if gain > _LEAST_GAIN:
                yield _Move(gain, ((cold, cold_slot, heavy),))


def _slowest_of(draft: LayerDraft, ranks: set[int], tokens: float) -> float:
    """Return the time of the slowest of some ranks, each given more tokens."""
    return max(
        (draft.loads[rank] + tokens / draft.speeds[rank] for rank in ranks),
        default=0.0,
    )
