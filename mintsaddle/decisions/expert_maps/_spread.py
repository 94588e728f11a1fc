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

GOOD_ENOUGH = 1.5
"""Slowest rank over the mean at which no more copies are made. Of 1.25 and 1.5
the latter moves fewer weights and is served better at high load (worth 0.43
and 0.51 on the same day): the next change of popularity undoes the rest."""

_MOST_STEPS = 60
_LEAST_GAIN = 0.01
"""Share of a rank's load that one more copy has to take away."""


class SpreadLimits(NamedTuple):
    """What the engines allow."""

    places: int
    """Experts of one layer that a rank can hold."""

    new_places: int
    """Experts of one layer that a rank can load for one map."""


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
    layers = tuple(
        _spread_layer(layer, tokens, limits, speeds or (1.0,) * len(layer))
        for layer, tokens in zip(old.layers, popularity, strict=True)
    )
    return ExpertMap(version, layers)


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
        self.holders: dict[int, set[int]] = {}
        for rank, experts in enumerate(self.held):
            for expert in experts:
                self.holders.setdefault(expert, set()).add(rank)
        self.loads = [self._load(rank) for rank in range(len(layer))]

    def piece(self, expert: int) -> float:
        return self.tokens[expert] / len(self.holders[expert])

    def new_count(self, rank: int) -> int:
        return len(self.held[rank] - self.before[rank])

    def add(self, expert: int, rank: int) -> None:
        self.held[rank].add(expert)
        self.holders[expert].add(rank)
        self._reload(expert)

    def drop(self, expert: int, rank: int) -> None:
        self.held[rank].discard(expert)
        self.holders[expert].discard(rank)
        self._reload(expert)
        self.loads[rank] = self._load(rank)

    def _reload(self, expert: int) -> None:
        for rank in self.holders[expert]:
            self.loads[rank] = self._load(rank)

    def _load(self, rank: int) -> float:
        tokens = sum(self.piece(expert) for expert in self.held[rank])
        return tokens / self.speeds[rank]


def _spread_layer(
    old: LayerSlots,
    tokens: Sequence[float],
    limits: SpreadLimits,
    speeds: Sequence[float],
) -> LayerSlots:
    layer = _Layer(old, tokens, speeds)
    mean = sum(tokens) / sum(speeds)
    if mean <= 0.0:
        return old
    for _ in range(_MOST_STEPS):
        if max(layer.loads) <= mean * GOOD_ENOUGH:
            break
        if not _relieve_slowest(layer, limits):
            break
    return tuple(tuple(sorted(experts)) for experts in layer.held)


def _relieve_slowest(layer: _Layer, limits: SpreadLimits) -> bool:
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
            if expert not in layer.held[cold] and _make_room(layer, cold, limits):
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
    if layer.new_count(rank) >= limits.new_places:
        return False
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
