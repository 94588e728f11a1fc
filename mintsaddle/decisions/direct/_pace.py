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

from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from mintsaddle.decisions.direct._calls import DirectCall
from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.direct._first_map import EntryShare
from mintsaddle.decisions.direct._groups import hold_until
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
    ramp = LATE_STREAM_RAMP if late else FRESH_STREAM_RAMP
    return ramp_share(step_seconds, longest_pause, ramp)


def ramp_share(
    step_seconds: float, longest_pause: float, ramp: tuple[float, float]
) -> float:
    """Return the share of streams that a ramp of step times admits.

    Args:
        step_seconds: The group's step time; 0 if unknown.
        longest_pause: Longest time between two events of a stream that is on
            time, in seconds; 0 if the route sets none.
        ramp: Shares of the longest pause up to which all streams are admitted
            and from which none is.
    """
    if longest_pause <= 0:
        return 1.0
    all_below, none_above = ramp
    share = step_seconds / longest_pause
    return min(1.0, max(0.0, (none_above - share) / (none_above - all_below)))
