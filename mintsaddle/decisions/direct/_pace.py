"""Admission control for the streams of a rank group, by its step time.

Groups become overloaded when other groups fail and their callers move over,
or when a backlog returns. All ranks of a group advance in lock-step, so each
additional stream lengthens every pause of all the others. If all of them were
served, all would be late, so streams that the group can't serve on time are
refused on arrival.

No entry knows how many streams the others send. Each entry observes the step
time of a group from the steps that its ranks report, and admits a share of
its streams that falls as steps get longer. A single threshold would make all
entries stop and start together, and the group would oscillate between idle
and full.
"""

import random
from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from mintsaddle.decisions.direct._calls import DirectCall
from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.direct._first_map import (
    EntryShare,
    estimate_skew,
    sustainable_requests,
)
from mintsaddle.decisions.direct._groups import hold_until
from mintsaddle.decisions.direct._placement import DEFAULT_SLOTS
from mintsaddle.decisions.direct._table import StepModel
from mintsaddle.decisions.direct._urgency import is_late
from mintsaddle.values import Instant

STALL_SECONDS = 0.5
"""Seconds without a new step after which a group with requests counts as
stalled: several steps of a full group. Its ranks wait much longer for a lost
rank before they refuse, and requests sent meanwhile wait with them."""

SLOW_STEP_FACTOR = 1.5
"""Multiple of the route's longest pause from which a group's steps count as
slow. A full group with an outdated expert map stays below it; a slow rank,
which holds up all the others, exceeds it."""

STEP_WINDOW_SECONDS = 1.2
"""Length of the window in which step times are measured: several steps of a
slow group."""

MIN_STEP_SPAN_SECONDS = 0.15
"""Minimum time between the first and the last report in the window."""

FRESH_STREAM_RAMP = (0.7, 0.95)
"""Step time as shares of the route's longest pause: all fresh streams are
admitted up to the first, none from the second, and a falling share between."""

LATE_STREAM_RAMP = (0.6, 0.85)
"""The same for streams that are late already; they get only the capacity that
fresh streams leave."""

LATE_SLOT_SHARE = 0.6
"""Share of an engine's slots that late streams may fill. The others are kept
for streams that can still be on time, which would queue behind late ones."""

MIN_BUSY_SHARE = 2 / 3
"""Share of the slots that must be taken before streams are refused for long
steps. An outdated expert map makes the steps of a group long even while it
has free slots."""

MAX_QUEUED_PER_SLOT = 0.2
"""Requests that may queue at an engine per slot. A stream behind more than
one or two others gets its first event too late."""


def may_wait_for_slot(
    call: DirectCall, loads: Mapping[str, "EngineLoad"], now: Instant
) -> bool:
    """Return whether a stream that isn't admitted may wait at the entry.

    A late stream may wait: it uses capacity that fresh ones leave, and its
    caller may have retried already. A fresh stream would become late by
    waiting, so its caller is told when to retry instead, unless a group is
    about to replace its first expert map.

    Args:
        call: The stream.
        loads: Loads that the probed engines reported, by name.
        now: The present instant.
    """
    has_first_map = any(load.has_first_map for load in loads.values())
    return (has_first_map or is_late(call, now)) and now < hold_until(call)


SOLE_ENTRY_SHARE = EntryShare(in_flight=0, engines=1, entries=1)
"""The share of an entry that knows of no other entries."""


class EngineLoad(NamedTuple):
    """The load that an engine reported when it was probed."""

    requests: int
    """Requests at the engine, including queued ones."""

    epoch: int
    """Epoch of its group."""

    step: int
    """The last step that its group began."""

    has_first_map: bool = False
    """Whether its group still uses the expert map that it formed with, which
    ignores expert popularity."""


class _LastStep(NamedTuple):
    epoch: int
    step: int
    since: Instant
    """Since when the group has had requests and reported no later step."""

    reported_at: Instant
    """When this step was last reported."""


class GroupStepTimes:
    """Step times of rank groups, from the steps that their ranks report."""

    def __init__(self) -> None:
        self._steps: dict[str, deque[tuple[Instant, int, int]]] = {}
        self._last_steps: dict[str, _LastStep] = {}

    def record(
        self, group: str, epoch: int, step: int, now: Instant, *, is_busy: bool = False
    ) -> None:
        """Record the last step that a rank of a group reported.

        Args:
            group: The group.
            epoch: Its epoch.
            step: The last step that it began.
            now: The present instant.
            is_busy: Whether one of its ranks has requests.
        """
        self._record_last_step(group, epoch, step, now, is_busy=is_busy)
        steps = self._steps.setdefault(group, deque())
        while steps and now - steps[0][0] > STEP_WINDOW_SECONDS:
            steps.popleft()
        if steps and (epoch, step) < steps[-1][1:]:
            # The report is older than one recorded before.
            return
        if steps and epoch != steps[-1][1]:
            steps.clear()
        steps.append((now, epoch, step))

    def _record_last_step(
        self, group: str, epoch: int, step: int, now: Instant, *, is_busy: bool
    ) -> None:
        last = self._last_steps.get(group)
        if last is not None and (epoch, step) < (last.epoch, last.step):
            return
        # The group may have been idle between two polls that lie far apart.
        is_same = (
            last is not None
            and is_busy
            and (epoch, step) == (last.epoch, last.step)
            and now - last.reported_at <= STALL_SECONDS
        )
        since = last.since if last is not None and is_same else now
        self._last_steps[group] = _LastStep(epoch, step, since, now)

    def is_stalled(self, group: str, now: Instant) -> bool:
        """Return whether a group with requests has stopped making steps."""
        last = self._last_steps.get(group)
        return last is not None and now - last.since >= STALL_SECONDS

    def is_slow(self, group: str, longest_pause: float, now: Instant) -> bool:
        """Return whether a group's steps make all of its streams late.

        Args:
            group: The group.
            longest_pause: Longest time between two events of a stream that is
                on time, in seconds; 0 if the route sets none.
            now: The present instant.
        """
        slow_seconds = longest_pause * SLOW_STEP_FACTOR
        return 0 < slow_seconds <= self.step_seconds(group, now)

    def step_seconds(self, group: str, now: Instant) -> float:
        """Return how long a step takes at present; 0 if unknown."""
        steps = [
            report
            for report in self._steps.get(group, ())
            if now - report[0] <= STEP_WINDOW_SECONDS
        ]
        if len(steps) < 2:
            return 0.0
        (first_at, _, first), (last_at, _, last) = steps[0], steps[-1]
        if last_at - first_at < MIN_STEP_SPAN_SECONDS or last == first:
            return 0.0
        return (last_at - first_at) / (last - first)


def prefer_quick_groups(
    call: DirectCall,
    ranked: Sequence[Incarnation],
    step_times: GroupStepTimes,
    now: Instant,
) -> tuple[list[Incarnation], list[Incarnation]]:
    """Return the engines to try, and one engine of each slow group to poll.

    A slow group completes few requests and so appears least loaded. If all
    groups are slow, all engines are tried.

    Args:
        call: The stream.
        ranked: Engines that accept work, the best one first.
        step_times: Step times of the groups.
        now: The present instant.
    """
    slow: dict[str, Incarnation] = {}
    quick = []
    for engine in ranked:
        group = engine.assignment.group if engine.assignment else ""
        if group and step_times.is_slow(group, call.route.longest_pause, now):
            slow.setdefault(group, engine)
        else:
            quick.append(engine)
    if not quick:
        return list(ranked), []
    return quick, list(slow.values())


def admission_share(step_seconds: float, longest_pause: float, *, late: bool) -> float:
    """Return the share of a route's streams that a group may get.

    Args:
        step_seconds: The group's step time; 0 if unknown.
        longest_pause: Longest time between two events of a stream that is on
            time, in seconds; 0 if the route sets none.
        late: Whether the stream is late already.
    """
    if longest_pause <= 0:
        return 1.0
    all_below, none_above = LATE_STREAM_RAMP if late else FRESH_STREAM_RAMP
    share = step_seconds / longest_pause
    return min(1.0, max(0.0, (none_above - share) / (none_above - all_below)))


def filter_admissible(
    call: DirectCall,
    candidates: list[Incarnation],
    loads: Mapping[str, EngineLoad],
    step_times: GroupStepTimes,
    now: Instant,
    rng: random.Random,
    steps: StepModel | None = None,
    share: EntryShare = SOLE_ENTRY_SHARE,
) -> list[Incarnation]:
    """Return the probed engines that a stream may be sent to.

    If no engine answered its probe, or the response has started already, all
    candidates are returned.

    Args:
        call: The stream.
        candidates: Engines that accept work, the best one first.
        loads: Loads that the probed engines reported, by name.
        step_times: Step times of their groups.
        now: The present instant.
        rng: The random number generator.
        steps: The published model of their step times, if there is one.
        share: This entry's share of the service's capacity.
    """
    probed = [engine for engine in candidates if engine.name in loads]
    if not probed or call.response_started:
        return candidates
    late = is_late(call, now)
    late_share = LATE_SLOT_SHARE if late else 1.0
    requests = [load.requests for load in loads.values()]

    def has_slot(engine: Incarnation) -> bool:
        slots: float = max(DEFAULT_SLOTS, engine.slots)
        load = loads[engine.name]
        if load.has_first_map and steps is not None and engine.assignment is not None:
            seconds = step_times.step_seconds(engine.assignment.group, now)
            skew = estimate_skew(steps, seconds, requests)
            pause = call.route.longest_pause
            slots = late_share * sustainable_requests(steps, skew, pause, int(slots))
            if share.is_exhausted(slots, late=late):
                return False
        elif late:
            slots *= late_share
        else:
            slots *= 1.0 + MAX_QUEUED_PER_SLOT
        return load.requests < max(1.0, slots)

    probed = [engine for engine in probed if has_slot(engine)]
    slots = sum(max(DEFAULT_SLOTS, engine.slots) for engine in probed)
    taken = sum(loads[engine.name].requests for engine in probed)
    if taken < slots * MIN_BUSY_SHARE:
        return probed
    draw = rng.random()

    def is_admitted(engine: Incarnation) -> bool:
        if engine.assignment is None:
            return False
        step_seconds = step_times.step_seconds(engine.assignment.group, now)
        return draw < admission_share(step_seconds, call.route.longest_pause, late=late)

    return [engine for engine in probed if is_admitted(engine)]
