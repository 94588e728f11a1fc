"""Entries that share a capacity among workspaces, in virtual time."""

import random
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from mintsaddle.decisions.overload import WorkspaceUse
from mintsaddle.values import Instant

TICK_SECONDS = 0.5
FAN_OUT = 2
"""Peers that an entry exchanges hellos with per second."""

CALLER_SECONDS = 3.0
"""Seconds for which a caller retries; what an entry assumes by default."""


class Demand(NamedTuple):
    """What the callers of a workspace ask for, over all entries."""

    name: str
    calls: float
    """Calls per second."""

    work: float = 1.0
    """Work of each call."""

    entries: int | None = None
    """Number of entries that they call; None for all."""

    retries: bool = False
    """Whether refused calls are sent again in each tick."""

    @property
    def rate(self) -> float:
        """Work per second."""
        return self.calls * self.work


class _Call(NamedTuple):
    entry: int
    demand: Demand
    until: Instant
    """When its caller gives up."""


class Cluster:
    """Entries in front of engines that admit a limited amount of work.

    Calls of workspaces over their share are admitted after all others, unless
    the entries are permissive. Calls that arrive together are admitted in
    random order. Silent entries send no hellos.
    """

    def __init__(
        self,
        entries: int,
        capacity: float,
        demands: list[Demand],
        *,
        silent: Iterable[int] = (),
        is_permissive: bool = False,
        seed: int = 1,
    ) -> None:
        self._rng = random.Random(seed)
        self.now: Instant = 0.0
        self.uses = [WorkspaceUse() for _ in range(entries)]
        self.callers = {
            demand.name: self._rng.sample(range(entries), demand.entries or entries)
            for demand in demands
        }
        self.admitted: defaultdict[str, float] = defaultdict(float)
        self.offered: defaultdict[str, float] = defaultdict(float)
        self._capacity = capacity
        self._demands = demands
        self._silent = set(silent)
        self._is_permissive = is_permissive
        self._left = 0.0
        self._refused: list[_Call] = []
        for use in self.uses:
            use.set_entry_count(entries)

    def run(self, seconds: float) -> None:
        """Let calls arrive for some seconds."""
        for tick in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self._serve(self._arrivals())
            if tick % 2:
                self._exchange_hellos()

    def entries_over_share(self, name: str) -> float:
        """Return the fraction of its entries at which a workspace is over."""
        entries = self.callers[name]
        over = sum(self.uses[entry].is_over_share(name, self.now) for entry in entries)
        return over / len(entries)

    def freeze(self, entry: int) -> None:
        """Let an entry send nothing more, and its callers call others."""
        self._silent.add(entry)
        for callers in self.callers.values():
            if entry in callers and len(callers) > 1:
                callers.remove(entry)

    def start_count(self) -> None:
        """Count admitted and offered work from now on."""
        self.admitted.clear()
        self.offered.clear()

    def _arrivals(self) -> list[_Call]:
        calls = self._refused
        for demand in self._demands:
            expected = demand.calls * TICK_SECONDS
            number = int(expected) + (self._rng.random() < expected % 1)
            self.offered[demand.name] += number * demand.work
            callers = self.callers[demand.name]
            until = self.now + CALLER_SECONDS
            calls += [
                _Call(self._rng.choice(callers), demand, until) for _ in range(number)
            ]
        self._rng.shuffle(calls)
        return calls

    def _serve(self, calls: list[_Call]) -> None:
        if not self._is_permissive:
            calls.sort(
                key=lambda call: self.uses[call.entry].is_over_share(
                    call.demand.name, self.now
                )
            )
        # Large calls have the same chance as small ones: the last one that is
        # admitted may use capacity of the next tick.
        self._left = min(0.0, self._left) + self._capacity * TICK_SECONDS
        self._refused = []
        for call in calls:
            use, demand = self.uses[call.entry], call.demand
            if self._left > 0:
                self._left -= demand.work
                use.record(demand.name, demand.work, self.now)
                self.admitted[demand.name] += demand.work
            else:
                use.record_not_admitted(self.now, demand.name)
                if demand.retries and call.until > self.now:
                    self._refused.append(call)

    def _exchange_hellos(self) -> None:
        entries = range(len(self.uses))
        for entry in entries:
            for peer in self._rng.sample(entries, FAN_OUT):
                self._send_hello(entry, peer)
                self._send_hello(peer, entry)

    def _send_hello(self, sender: int, receiver: int) -> None:
        use, now = self.uses[sender], self.now
        if sender != receiver and sender not in self._silent:
            self.uses[receiver].record_peer(f"e-{sender}", use.make_report(now), now)


def max_min_share(demands: list[Demand], capacity: float) -> float:
    """Return the largest share in a max-min fair division of a capacity."""
    rates = sorted(demand.rate for demand in demands)
    for index, rate in enumerate(rates):
        share = capacity / (len(rates) - index)
        if rate >= share:
            return share
        capacity -= rate
    return float("inf")
