"""Expert maps and the step time that results from them.

In each layer every rank has the same number of slots, and each slot holds one
expert. The tokens of an expert are split evenly among its slots. All ranks
wait for the slowest one in each layer.
"""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple, TypeAlias

Popularity: TypeAlias = Sequence[Sequence[float]]
"""Tokens routed to each expert, by layer; shape (layers, experts)."""

LayerSlots: TypeAlias = tuple[tuple[int, ...], ...]
"""Experts of one layer, by rank; shape (ranks, slots)."""


FIRST_VERSION = 0
"""Version of the initial map of a group, with experts assigned round-robin."""


class ExpertMap(NamedTuple):
    """One version of the expert map of a group."""

    version: int
    layers: tuple[LayerSlots, ...]
    """Experts by layer, rank and slot; shape (layers, ranks, slots)."""

    def experts_of_rank(self, rank: int) -> tuple[int, ...]:
        """Return a rank's experts, layer by layer, as the engine expects."""
        return tuple(expert for layer in self.layers for expert in layer[rank])


def make_first_map(
    version: int, ranks: int, experts: int, layers: int, slots: int
) -> ExpertMap:
    """Return a map that assigns the experts round-robin."""
    layer = tuple(
        tuple((rank + slot * ranks) % experts for slot in range(slots))
        for rank in range(ranks)
    )
    return ExpertMap(version, (layer,) * layers)


def is_complete(expert_map: ExpertMap, experts: int) -> bool:
    """Return whether each layer holds every expert at least once."""
    wanted = set(range(experts))
    return all(
        {expert for slots in layer for expert in slots} == wanted
        for layer in expert_map.layers
    )


def count_moved(old: ExpertMap, new: ExpertMap) -> int:
    """Return how many slots get an expert that their rank doesn't hold yet."""
    moved = 0
    for old_layer, new_layer in zip(old.layers, new.layers, strict=True):
        for old_slots, new_slots in zip(old_layer, new_layer, strict=True):
            moved += (Counter(new_slots) - Counter(old_slots)).total()
    return moved


def rank_loads(
    layer: LayerSlots, popularity: Sequence[float], speeds: Sequence[float]
) -> list[float]:
    """Return each rank's time in one layer, in tokens at speed 1."""
    copies = Counter(expert for slots in layer for expert in slots)
    return [
        sum(popularity[expert] / copies[expert] for expert in slots) / speed
        for slots, speed in zip(layer, speeds, strict=True)
    ]


def step_load(
    expert_map: ExpertMap, popularity: Popularity, speeds: Sequence[float]
) -> float:
    """Return the time of a step: the sum over layers of the slowest rank's."""
    return sum(
        max(rank_loads(layer, tokens, speeds))
        for layer, tokens in zip(expert_map.layers, popularity, strict=True)
    )


def measure_skew(
    expert_map: ExpertMap, popularity: Popularity, speeds: Sequence[float]
) -> float:
    """Return the step time divided by that of a perfectly balanced map."""
    total = sum(speeds)
    mean = sum(sum(tokens) / total for tokens in popularity)
    if mean == 0.0:
        return 1.0
    return step_load(expert_map, popularity, speeds) / mean
