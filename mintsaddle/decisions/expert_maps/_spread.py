"""Replicates hot experts on ranks with free capacity.

Load pattern: a single expert of a layer receives a fifth of all tokens, so the
rank that holds it slows down the whole group; which expert is hot changes
every few seconds. The tokens of an expert are split evenly among its copies.
Adding a copy costs a transfer of its weights, dropping one costs nothing. The
load of a rank is divided by its speed, since all ranks wait for a slow one.
"""

from collections.abc import Sequence
from typing import NamedTuple

from mintsaddle.decisions.expert_maps._maps import (
    ExpertMap,
    LayerSlots,
    Popularity,
    rank_loads,
)

TARGET_SKEW = 1.25
"""Load of the slowest rank over the mean up to which no copies are added: the
mix of concurrent requests varies by as much, and the next change of popularity
cancels the gain of further copies."""

_MAX_LAYER_CHANGES = 60
"""Maximum number of changes to one layer in one plan."""

_MIN_RELIEF_SHARE = 0.01
"""Minimum share of a rank's load that an additional copy must remove."""


MAX_LOAD_SECONDS = 0.15
"""Maximum seconds a rank loads weights for one map, unless a single expert
takes longer."""


class SpreadLimits(NamedTuple):
    """Capacity of the engines and maximum number of loads for one map."""

    max_experts: int
    """Maximum experts of one layer that a rank can hold."""

    max_new_experts: int
    """Maximum experts of one layer that a rank can load for one map."""

    max_loads: int
    """Maximum experts of all layers that a rank loads for one map. The old map
    stays in use until the last rank has finished loading. The first few copies
    have the largest effect, and the next map can add the remaining ones."""


def choose_limits(
    max_experts: int, max_new_experts: int, load_seconds: float
) -> SpreadLimits:
    """Return the limits for planning a map.

    Args:
        max_experts: Maximum experts of one layer that a rank can hold.
        max_new_experts: Maximum experts of one layer that a rank can load for
            one map.
        load_seconds: Seconds needed to load one expert.
    """
    loads = (
        int(MAX_LOAD_SECONDS / load_seconds) if load_seconds > 0 else max_new_experts
    )
    return SpreadLimits(max_experts, max_new_experts, max(1, loads))


def spread_experts(
    version: int,
    old: ExpertMap,
    popularity: Popularity,
    limits: SpreadLimits,
    speeds: Sequence[float] = (),
) -> ExpertMap:
    """Return a map with more copies of the hot experts of the slowest ranks.

    Args:
        version: Version of the new map.
        old: The active map.
        popularity: Tokens of each expert, by layer.
        limits: Maximum experts that a rank holds and loads.
        speeds: Speed of each rank, 1 being normal; 1 for all ranks if empty.
    """
    plan = _Plan(limits)
    for layer, tokens in zip(old.layers, popularity, strict=True):
        plan.add(_Layer(layer, tokens, speeds or (1.0,) * len(layer)))
    plan.rebalance()
    return ExpertMap(version, tuple(layer.slots() for layer in plan.layers))


def mean_skew(
    expert_map: ExpertMap, popularity: Popularity, speeds: Sequence[float] = ()
) -> float:
    """Return the skew (slowest rank over the mean), averaged over layers."""
    skews = []
    for layer, tokens in zip(expert_map.layers, popularity, strict=True):
        rank_speeds = speeds or (1.0,) * len(layer)
        loads = rank_loads(layer, tokens, rank_speeds)
        mean = sum(tokens) / sum(rank_speeds)
        skews.append(max(loads) / mean if mean else 1.0)
    return sum(skews) / len(skews)


class _Layer:
    """Mutable state of one layer during planning."""

    def __init__(
        self, layer: LayerSlots, tokens: Sequence[float], speeds: Sequence[float]
    ) -> None:
        self.tokens = tokens
        self.speeds = speeds
        self.held = [set(experts) for experts in layer]
        self.initial = [frozenset(experts) for experts in layer]
        self.new_counts = [0] * len(layer)
        self.holders: dict[int, set[int]] = {}
        for rank, experts in enumerate(self.held):
            for expert in experts:
                self.holders.setdefault(expert, set()).add(rank)
        self.loads = [self._compute_load(rank) for rank in range(len(layer))]
        self.mean = sum(tokens) / sum(speeds)

    @property
    def skew(self) -> float:
        """Load of the slowest rank over the mean."""
        return max(self.loads) / self.mean if self.mean else 1.0

    def slots(self) -> LayerSlots:
        return tuple(tuple(sorted(experts)) for experts in self.held)

    def tokens_per_copy(self, expert: int) -> float:
        return self.tokens[expert] / len(self.holders[expert])

    def add(self, expert: int, rank: int) -> None:
        self.held[rank].add(expert)
        self.holders[expert].add(rank)
        self.new_counts[rank] += expert not in self.initial[rank]
        self._update_holder_loads(expert)

    def drop(self, expert: int, rank: int) -> None:
        self.held[rank].discard(expert)
        self.holders[expert].discard(rank)
        self.new_counts[rank] -= expert not in self.initial[rank]
        self._update_holder_loads(expert)
        self.loads[rank] = self._compute_load(rank)

    def _update_holder_loads(self, expert: int) -> None:
        for rank in self.holders[expert]:
            self.loads[rank] = self._compute_load(rank)

    def _compute_load(self, rank: int) -> float:
        tokens = sum(self.tokens_per_copy(expert) for expert in self.held[rank])
        return tokens / self.speeds[rank]


class _Plan:
    """Mutable state of all layers, with their common load limits."""

    def __init__(self, limits: SpreadLimits) -> None:
        self.limits = limits
        self.layers: list[_Layer] = []

    def add(self, layer: _Layer) -> None:
        self.layers.append(layer)

    def rebalance(self) -> None:
        """Rebalance the most skewed layer first, since loads are limited."""
        changes_left = dict.fromkeys(range(len(self.layers)), _MAX_LAYER_CHANGES)
        while changes_left:
            index = max(changes_left, key=lambda i: self.layers[i].skew)
            layer = self.layers[index]
            if layer.skew <= TARGET_SKEW or not _offload_slowest_rank(layer, self):
                del changes_left[index]
                continue
            changes_left[index] -= 1
            if not changes_left[index]:
                del changes_left[index]

    def can_load(self, layer: _Layer, expert: int, rank: int) -> bool:
        """Return whether a rank can get an expert within its load limits."""
        if expert in layer.initial[rank]:
            return True
        if layer.new_counts[rank] >= self.limits.max_new_experts:
            return False
        return (
            sum(other.new_counts[rank] for other in self.layers) < self.limits.max_loads
        )


def _offload_slowest_rank(layer: _Layer, plan: _Plan) -> bool:
    """Take load off the slowest rank; return whether a change was made."""
    ranks = range(len(layer.loads))
    hot = max(ranks, key=layer.loads.__getitem__)
    by_tokens = sorted(layer.held[hot], key=layer.tokens_per_copy, reverse=True)
    if _drop_redundant_copy(layer, hot, by_tokens):
        return True
    for expert in by_tokens:
        # Tokens per copy once another copy is added.
        share = layer.tokens[expert] / (len(layer.holders[expert]) + 1)
        relief = (layer.tokens_per_copy(expert) - share) / layer.speeds[hot]
        if relief < layer.loads[hot] * _MIN_RELIEF_SHARE:
            break
        for cold in sorted(ranks, key=layer.loads.__getitem__):
            added_load = share / layer.speeds[cold]
            if layer.loads[cold] + added_load >= layer.loads[hot] * (
                1.0 - _MIN_RELIEF_SHARE
            ):
                break
            if expert in layer.held[cold] or not plan.can_load(layer, expert, cold):
                continue
            if _ensure_free_slot(layer, cold, plan.limits):
                layer.add(expert, cold)
                return True
    return False


def _drop_redundant_copy(layer: _Layer, hot: int, by_tokens: Sequence[int]) -> bool:
    """Drop a copy from the slowest rank if its other holders stay faster."""
    for expert in by_tokens:
        holders = layer.holders[expert]
        if len(holders) < 2:
            continue
        added_tokens = layer.tokens[expert] / (
            len(holders) - 1
        ) - layer.tokens_per_copy(expert)
        max_other_load = max(
            layer.loads[rank] + added_tokens / layer.speeds[rank]
            for rank in holders
            if rank != hot
        )
        is_relief = max_other_load < layer.loads[hot] * (1.0 - _MIN_RELIEF_SHARE)
        if layer.tokens_per_copy(expert) > 0.0 and is_relief:
            layer.drop(expert, hot)
            return True
    return False


def _ensure_free_slot(layer: _Layer, rank: int, limits: SpreadLimits) -> bool:
    """Return whether a rank has a free slot; drop a spare copy if full."""
    if len(layer.held[rank]) < limits.max_experts:
        return True
    spares = [e for e in layer.held[rank] if len(layer.holders[e]) > 1]
    if not spares:
        return False
    least_loaded = min(spares, key=layer.tokens_per_copy)
    if layer.tokens_per_copy(least_loaded) > layer.loads[rank] * 0.5:
        return False
    layer.drop(least_loaded, rank)
    return True
