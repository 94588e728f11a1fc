"""State of one entry's admission control by priority level."""

import itertools
import secrets
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from statistics import mean

from mintsaddle.decisions.direct import DirectCall, RoutingTable, StepModel
from mintsaddle.decisions.overload import (
    CallQueue,
    OverloadPeriods,
    PlacementRate,
    PriorityLevels,
    StepSkews,
    WorkspaceUse,
    capacity_expected_at,
    find_priority_levels,
)
from mintsaddle.observe import fields, make_logger
from mintsaddle.values import Instant, stable_hash

MAX_WAITING_CALLS = 64
"""Calls of one service that may wait at one entry; more than an entry of the
largest fleet receives within the longest wait."""

_log = make_logger("calls")


class OverloadControl:
    """Levels, queues and placement rates by service; requires the lock."""

    def __init__(self, workspace_use: WorkspaceUse) -> None:
        self._levels: dict[str, PriorityLevels] = {}
        self._steps: dict[str, StepModel | None] = {}
        self._queues: dict[str, CallQueue] = {}
        self._rates: dict[str, PlacementRate] = {}
        self._placed_calls: Counter[str] = Counter()
        self._overloads = OverloadPeriods()
        self._step_skews = StepSkews()
        self._loads: dict[str, float] = {}
        self._workspace_use = workspace_use
        self._tickets = itertools.count(1)
        self._salt = secrets.token_hex(8)

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

    @property
    def group_loads(self) -> Mapping[str, float]:
        """Mean requests of the engines of each group that were probed last."""
        return self._loads

    def replace_table(self, table: RoutingTable) -> None:
        """Derive the levels of all services from a new routing table."""
        found = {name: find_priority_levels(table, name) for name in table.services}
        self._levels = {name: levels for name, levels in found.items() if levels}
        self._steps = {name: table.services[name].steps for name in self._levels}

    def step_model(self, service: str) -> StepModel | None:
        """Return the published step times of a service with levels, if any."""
        return self._steps.get(service)

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

    def draw(self, call: DirectCall) -> float:
        """Return a number from 0 to 1, the same for all its attempts."""
        return stable_hash(f"{self._salt} {call.request_id}") / 2**64

    def record_placed(self, call: DirectCall, now: Instant) -> None:
        """Record that a call was placed; later attempts add no work."""
        self._placed_calls[call.service] += 1
        if call.tried:
            return
        self._rates.setdefault(call.service, PlacementRate()).record(now)
        self._workspace_use.record(call.workspace, call.work, now)

    def record_not_admitted(self, call: DirectCall, now: Instant) -> None:
        """Record that a call wasn't admitted at once for lack of capacity."""
        self.end_overloads(now)
        self._workspace_use.record_not_admitted(now, call.workspace)
        if self._overloads.record_not_admitted(call.service, now):
            waiting = self.queue(call.service).size
            _log.info(
                "Overload began %s.", fields(service=call.service, waiting=waiting)
            )

    def end_overloads(self, now: Instant) -> None:
        """Log the services that are no longer overloaded."""
        for period in self._overloads.remove_ended(now):
            _log.info(
                "Overload ended %s.",
                fields(
                    service=period.service,
                    seconds=period.last_at - period.since,
                    calls=period.calls,
                ),
            )

    def overloaded_since(self, service: str, now: Instant) -> Instant | None:
        """Return when a service's overload began; None if it has none."""
        return self._overloads.since(service, now)

    def placements_per_second(self, service: str, now: Instant) -> float:
        """Return the recent rate of placements; 0 if unknown."""
        rate = self._rates.get(service)
        return rate.rate(now) if rate else 0.0

    def keep_groups(self, groups: Collection[str]) -> None:
        """Discard what is known of groups that no longer exist."""
        self._loads = {k: v for k, v in self._loads.items() if k in groups}
        self._step_skews.keep_only(groups)

    def record_loads(self, loads: Mapping[str, Sequence[int]]) -> None:
        """Record how many requests probed engines of each group have."""
        self._loads.update(
            {group: mean(requests) for group, requests in loads.items() if requests}
        )

    def record_pause(
        self, call: DirectCall, group: str, seconds: float, now: Instant
    ) -> None:
        """Record the pause between two events of a stream with levels.

        Args:
            call: The stream.
            group: The group that generates it.
            seconds: The pause.
            now: When it ended.
        """
        steps = self._steps.get(call.service)
        requests = self._loads.get(group)
        if steps is None or requests is None:
            return
        expected = steps.step_seconds(round(requests))
        self._step_skews.record_pause(group, call.request_id, seconds, expected, now)

    def skews(self, groups: Iterable[str], now: Instant) -> dict[str, float]:
        """Return the largest recent skew of each group; 0 if unknown."""
        return {group: self._step_skews.largest_skew(group, now) for group in groups}

    def placed_calls(self, service: str) -> int:
        """Return the number of a service's calls placed so far."""
        return self._placed_calls[service]

    def expected_at(self, call: DirectCall, now: Instant) -> Instant | None:
        """Return when a refused call could be placed; None without levels."""
        levels = self.levels_of(call)
        if levels is None:
            return None
        # The caller will be late when it returns.
        ahead = self.queue(call.service).calls_ahead(
            levels.level_of(call), late=True, now=now
        )
        return capacity_expected_at(
            ahead, self.placements_per_second(call.service, now), now
        )

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
