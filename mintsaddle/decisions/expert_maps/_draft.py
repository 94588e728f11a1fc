"""Mutable copy of one map layer, used by the planner."""

import heapq
from collections import Counter
from collections.abc import Sequence
from typing import TypeAlias

from mintsaddle.decisions.expert_maps._maps import LayerSlots

Change: TypeAlias = tuple[int, int, int]
"""Rank, slot and the expert assigned to that slot."""


class LayerDraft:
    """A layer whose rank loads are updated incrementally on each move.

    Recomputing all loads after each move would take most of the planning
    time; a move affects only the ranks that hold its experts.
    """

    def __init__(
        self, layer: LayerSlots, tokens: Sequence[float], speeds: Sequence[float]
    ) -> None:
        self._tokens = tokens
        self._speeds = speeds
        self._held = [list(slots) for slots in layer]
        self._copies: Counter[int] = Counter()
        self._holders: dict[int, list[int]] = {}
        for rank, slots in enumerate(layer):
            for expert in slots:
                self._copies[expert] += 1
                self._holders.setdefault(expert, []).append(rank)
        self._loads = [self._compute_load(rank) for rank in range(len(layer))]

    @property
    def tokens(self) -> Sequence[float]:
        """Tokens of each expert."""
        return self._tokens

    @property
    def speeds(self) -> Sequence[float]:
        """Speed of each rank; 1 is normal."""
        return self._speeds

    @property
    def held(self) -> Sequence[Sequence[int]]:
        """Experts by rank and slot."""
        return self._held

    @property
    def copies(self) -> Counter[int]:
        """Copies of each expert."""
        return self._copies

    @property
    def loads(self) -> Sequence[float]:
        """Time of each rank, in tokens at speed 1."""
        return self._loads

    def tokens_per_copy(self, expert: int) -> float:
        """Return the tokens routed to each copy of an expert."""
        return self._tokens[expert] / self._copies[expert]

    def holders(self, expert: int) -> Sequence[int]:
        """Return the ranks that hold an expert, once for each copy."""
        return self._holders[expert]

    def max_load(self) -> float:
        """Return the time of the slowest rank, which all others wait for."""
        return max(self._loads)

    def slowest_rank(self) -> int:
        """Return the slowest rank."""
        return max(range(len(self._loads)), key=self._loads.__getitem__)

    def least_loaded_ranks(self, count: int) -> list[int]:
        """Return up to `count` ranks in ascending order of load."""
        ranks = range(len(self._loads))
        return heapq.nsmallest(count, ranks, key=self._loads.__getitem__)

    def slots(self) -> LayerSlots:
        """Return the current assignment as an immutable layer."""
        return tuple(tuple(experts) for experts in self._held)

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Apply the changes of one move and update the affected loads."""
        touched: set[int] = set()
        for rank, slot, expert in changes:
            old = self._held[rank][slot]
            touched.update(self._holders[old])
            self._holders[old].remove(rank)
            self._copies[old] -= 1
            self._held[rank][slot] = expert
            self._holders[expert].append(rank)
            self._copies[expert] += 1
            touched.update(self._holders[expert])
        for rank in touched:
            self._loads[rank] = self._compute_load(rank)

    def _compute_load(self, rank: int) -> float:
        tokens = sum(self.tokens_per_copy(expert) for expert in self._held[rank])
        return tokens / self._speeds[rank]
