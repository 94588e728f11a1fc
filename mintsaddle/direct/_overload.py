"""State of one entry's admission control by priority level."""

import itertools
from collections import Counter

from mintsaddle.decisions.direct import DirectCall, RoutingTable
from mintsaddle.decisions.overload import (
    CallQueue,
    PlacementRate,
    PriorityLevels,
    WorkspaceUse,
    capacity_expected_at,
    find_priority_levels,
)
from mintsaddle.values import Instant

MAX_WAITING_CALLS = 64
"""Calls of one service that may wait at one entry; more than an entry of the
largest fleet receives within the longest wait."""


class OverloadControl:
    """Levels, queues and placement rates by service; requires the lock."""

    def __init__(self, workspace_use: WorkspaceUse) -> None:
        self._levels: dict[str, PriorityLevels] = {}
        self._queues: dict[str, CallQueue] = {}
        self._rates: dict[str, PlacementRate] = {}
        self._placed_calls: Counter[str] = Counter()
        self._workspace_use = workspace_use
        self._tickets = itertools.count(1)

    @property
    def workspace_use(self) -> WorkspaceUse:
        """Use of the capacity by workspace."""
        return self._workspace_use

    @property
    def waiting(self) -> dict[str, int]:
        """Number of waiting calls by service with priority levels."""
        return {name: queue.size for name, queue in self._queues.items()}

    @property
    def levels(self) -> dict[str, PriorityLevels]:
        """Priority levels by service; services without levels are missing."""
        return self._levels

    def replace_table(self, table: RoutingTable) -> None:
        """Derive the levels of all services from a new routing table."""
        found = {name: find_priority_levels(table, name) for name in table.services}
        self._levels = {name: levels for name, levels in found.items() if levels}

    def levels_of(self, call: DirectCall) -> PriorityLevels | None:
        """Return the levels by which a call is admitted.

        Returns:
            None if its service has no levels. Streams that have begun are
            resumed regardless of their level.
        """
        if not call.route.is_stream or call.response_started:
            return None
        return self._levels.get(call.service)

    def queue(self, service: str) -> CallQueue:
        """Return the queue of a service's waiting calls."""
        return self._queues.setdefault(service, CallQueue(MAX_WAITING_CALLS))

    def next_ticket(self) -> str:
        """Return an id for a call's place in a queue."""
        return str(next(self._tickets))

    def record_placed(self, call: DirectCall, now: Instant) -> None:
        """Record that a call was placed at an endpoint."""
        self._placed_calls[call.service] += 1
        self._rates.setdefault(call.service, PlacementRate()).record(now)
        self._workspace_use.record(call.workspace, call.work, now)

    def placed_calls(self, service: str) -> int:
        """Return the number of a service's calls placed so far."""
        return self._placed_calls[service]

    def expected_at(self, call: DirectCall, now: Instant) -> Instant | None:
        """Return when a refused call could be placed; None without levels."""
        levels = self.levels_of(call)
        if levels is None:
            return None
        rate = self._rates.get(call.service)
        # The caller will be late when it returns.
        ahead = self.queue(call.service).calls_ahead(
            levels.level_of(call), late=True, now=now
        )
        return capacity_expected_at(ahead, rate.rate(now) if rate else 0.0, now)

    def judge(
        self, call: DirectCall, levels: PriorityLevels, now: Instant
    ) -> tuple[DirectCall, int]:
        """Return a call as it is admitted, and its level.

        Calls of a workspace over its share count as one level lower, and as
        late in the last level.

        Args:
            call: The call.
            levels: The levels of its service.
            now: The present instant.
        """
        level = levels.level_of(call)
        if not self._workspace_use.is_over_share(call.workspace, now):
            return call, level
        if level + 1 < len(levels.priorities):
            return call, level + 1
        due_at = call.arrived_at - call.route.objective
        return call._replace(due_at=due_at), level
