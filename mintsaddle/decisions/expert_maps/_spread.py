"""Spreading hot experts over ranks that have free places.

Load pattern: one expert of a layer draws a fifth of all tokens, so the rank
that holds it makes the whole group slow; which expert it is changes every few
seconds. Copies of it on other ranks share its tokens evenly. A copy costs the
move of its weights, dropping one costs nothing. A rank that is slow counts as
one with so much more to do: all others wait for it.
"""

from collections.abc import Sequence
from typing import NamedTuple

from mintsaddle.decisions.expert_maps._maps import (
    ExpertMap,
    LayerSlots,
    Popularity,
    rank_loads,
)

GOOD_ENOUGH = 1.25
"""Slowest rank over the mean at which no more copies are made: the requests
that are written at one time differ by as much, and the next change of
popularity undoes what further copies win."""

_MOST_STEPS = 60
"""Changes to a layer at most."""

_LEAST_GAIN = 0.01
"""Share of a rank's load that one more copy has to take away."""


LOAD_SECONDS = 0.15
"""Seconds that ranks load for one map, unless a single expert takes more."""


class SpreadLimits(NamedTuple):
    """What the engines allow, and what is worth waiting for."""

    places: int
    """Experts of one layer that a rank can hold."""

    new_places: int
    """Experts of one layer that a rank can load for one map."""

    loads: int
    """Experts of all layers that a rank loads for one map at most. All ranks
    wait for the one that loads longest, and until then the old map is in use:
    the first few copies relieve most, and a second map brings the rest."""


def choose_limits(places: int, new_places: int, load_seconds: float) -> SpreadLimits:
    """Return the limits of a map.

    Args:
        places: Experts of one layer that a rank can hold.
        new_places: Experts of one layer that a rank can load for one map.
        load_seconds: Seconds that loading an expert takes.
    """
    loads = int(LOAD_SECONDS / load_seconds) if load_seconds > 0 else new_places
    return SpreadLimits(places, new_places, max(1, loads))


def spread_experts(
    version: int,
    old: ExpertMap,
    popularity: Popularity,
    limits: SpreadLimits,
    speeds: Sequence[float] = (),
) -> ExpertMap:
    """Return a map that relieves the slowest ranks by further copies.

    Args:
        version: Version of the new map.
        old: The map in force.
        popularity: Tokens of each expert, by layer.
        limits: What a rank holds and loads at most.
        speeds: Speed of each rank, 1 for a usual one; all usual if empty.
    """
    plan = _Plan(limits)
    for layer, tokens in zip(old.layers, popularity, strict=True):
        plan.add(_Layer(layer, tokens, speeds or (1.0,) * len(layer)))
    plan.relieve_all()
    return ExpertMap(version, tuple(layer.slots() for layer in plan.layers))


def slowest_share(
    expert_map: ExpertMap, popularity: Popularity, speeds: Sequence[float] = ()
) -> float:
    """Return the slowest rank over the mean, averaged over layers."""
    shares = []
    for layer, tokens in zip(expert_map.layers, popularity, strict=True):
        known = speeds or (1.0,) * len(layer)
        loads = rank_loads(layer, tokens, known)
        mean = sum(tokens) / sum(known)
        shares.append(max(loads) / mean if mean else 1.0)
    return sum(shares) / len(shares)


class _Layer:
    """One layer while it is worked on."""

    def __init__(
        self, layer: LayerSlots, tokens: Sequence[float], speeds: Sequence[float]
    ) -> None:
        self.tokens = tokens
        self.speeds = speeds
        self.held = [set(experts) for experts in layer]
        self.before = [frozenset(experts) for experts in layer]
        self.new_counts = [0] * len(layer)
        self.holders: dict[int, set[int]] = {}
        for rank, experts in enumerate(self.held):
            for expert in experts:
                self.holders.setdefault(expert, set()).add(rank)
        self.loads = [self._load(rank) for rank in range(len(layer))]
        self.mean = sum(tokens) / sum(speeds)

    @property
    def skew(self) -> float:
        """The slowest rank over the mean."""
        return max(self.loads) / self.mean if self.mean else 1.0

    def slots(self) -> LayerSlots:
        return tuple(tuple(sorted(experts)) for experts in self.held)

    def piece(self, expert: int) -> float:
        return self.tokens[expert] / len(self.holders[expert])

    def add(self, expert: int, rank: int) -> None:
        self.held[rank].add(expert)
        self.holders[expert].add(rank)
        self.new_counts[rank] += expert not in self.before[rank]
        self._reload(expert)

    def drop(self, expert: int, rank: int) -> None:
        self.held[rank].discard(expert)
        self.holders[expert].discard(rank)
        self.new_counts[rank] -= expert not in self.before[rank]
        self._reload(expert)
        self.loads[rank] = self._load(rank)

    def _reload(self, expert: int) -> None:
        for rank in self.holders[expert]:
            self.loads[rank] = self._load(rank)

    def _load(self, rank: int) -> float:
        tokens = sum(self.piece(expert) for expert in self.held[rank])
        return tokens / self.speeds[rank]


class _Plan:
    """All layers, and what ranks load for them together."""

    def __init__(self, limits: SpreadLimits) -> None:
        self.limits = limits
        self.layers: list[_Layer] = []

    def add(self, layer: _Layer) -> None:
        self.layers.append(layer)

    def relieve_all(self) -> None:
        """Relieve the worst layer first, since ranks can load a few only."""
        left = dict.fromkeys(range(len(self.layers)), _MOST_STEPS)
        while left:
            index = max(left, key=lambda one: self.layers[one].skew)
            layer = self.layers[index]
            if layer.skew <= GOOD_ENOUGH or not _relieve_slowest(layer, self):
                del left[index]
                continue
            left[index] -= 1
            if not left[index]:
                del left[index]

    def may_load(self, layer: _Layer, expert: int, rank: int) -> bool:
        """Return whether a rank can get an expert without loading too much."""
        if expert in layer.before[rank]:
            return True
        if layer.new_counts[rank] >= self.limits.new_places:
            return False
        return sum(one.new_counts[rank] for one in self.layers) < self.limits.loads


def _relieve_slowest(layer: _Layer, plan: _Plan) -> bool:
    """Take load from the slowest rank; return whether anything was found."""
    ranks = range(len(layer.loads))
    hot = max(ranks, key=layer.loads.__getitem__)
    by_piece = sorted(layer.held[hot], key=layer.piece, reverse=True)
    if _drop_spare(layer, hot, by_piece):
        return True
    for expert in by_piece:
        # With one more copy each holder gets this much of its tokens.
        share = layer.tokens[expert] / (len(layer.holders[expert]) + 1)
        relief = (layer.piece(expert) - share) / layer.speeds[hot]
        if relief < layer.loads[hot] * _LEAST_GAIN:
            break
        for cold in sorted(ranks, key=layer.loads.__getitem__):
            more = share / layer.speeds[cold]
            if layer.loads[cold] + more >= layer.loads[hot] * (1.0 - _LEAST_GAIN):
                break
            if expert in layer.held[cold] or not plan.may_load(layer, expert, cold):
                continue
            if _make_room(layer, cold, plan.limits):
                layer.add(expert, cold)
                return True
    return False


def _drop_spare(layer: _Layer, hot: int, by_piece: Sequence[int]) -> bool:
    """Drop a copy from the slowest rank if its other holders bear it."""
    for expert in by_piece:
        holders = layer.holders[expert]
        if len(holders) < 2:
            continue
        more = layer.tokens[expert] / (len(holders) - 1) - layer.piece(expert)
        others = max(
            layer.loads[rank] + more / layer.speeds[rank]
            for rank in holders
            if rank != hot
        )
        is_relief = others < layer.loads[hot] * (1.0 - _LEAST_GAIN)
        if layer.piece(expert) > 0.0 and is_relief:
            layer.drop(expert, hot)
            return True
    return False


def _make_room(layer: _Layer, rank: int, limits: SpreadLimits) -> bool:
    """Return whether a rank can take one more, dropping its idlest spare."""
    if len(layer.held[rank]) < limits.places:
        return True
    spares = [e for e in layer.held[rank] if len(layer.holders[e]) > 1]
    if not spares:
        return False
    idlest = min(spares, key=layer.piece)
    if layer.piece(idlest) > layer.loads[rank] * 0.5:
        return False
    layer.drop(idlest, rank)
    return True
