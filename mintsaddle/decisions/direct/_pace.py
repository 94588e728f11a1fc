"""Whether a rank group may take one more stream and stay on time.

Load pattern: some groups are lost and the others get their callers too, or a
backlog returns. All ranks of a group advance in lock-step, so each stream more
lengthens every pause of all the others. Served one and all, everybody is late;
so what the group can't bear on time is refused on arrival.

No entry knows how many streams the others send. Each sees the pace of a group
in the steps that its ranks tell, and lets in a share of its streams that falls
as steps get longer. A share, since entries that all stop and begin at one
threshold would swing between an idle group and a full one.
"""

import random
from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from mintsaddle.decisions.direct._calls import DirectCall
from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.direct._first_map import (
    EntryShare,
    bearable_requests,
    estimate_skew,
)
from mintsaddle.decisions.direct._groups import hold_until
from mintsaddle.decisions.direct._placement import BLIND_SLOTS
from mintsaddle.decisions.direct._table import StepModel
from mintsaddle.decisions.direct._urgency import is_late
from mintsaddle.values import Instant

STALL_SECONDS = 0.5
"""Seconds without a new step after which a group with requests counts as
stalled: several times a step of a full group. Its ranks wait for a lost one
much longer before they refuse, and what is sent there waits with them."""

SLOW_SHARE = 1.5
"""Times the longest pause on time from which a group's steps count as slow:
longer than those of a full group whose map is behind. A rank that is slow
holds up all others."""

PACE_SECONDS = 1.2
"""Seconds over which steps are counted: some steps of a slow group."""

LEAST_SECONDS = 0.15
"""Seconds between the first and the last of these at least."""

FRESH_SHARES = (0.7, 0.95)
"""Shares of the longest pause on time between which steps let in ever fewer
fresh streams: all below the first, none above the second."""

LATE_SHARES = (0.6, 0.85)
"""The same for streams that can't be on time any more: they take what those
that can leave."""

LATE_PLACES_SHARE = 0.6
"""Share of an engine's places up to which it gets late streams. The rest is
for those that can still be on time, which would queue behind them."""

BUSY_SHARE = 2 / 3
"""Share of the places that are taken at least where streams are refused: steps
of a group with free places are long for as long as its map is wrong."""

MOST_WAITING = 0.2
"""Requests that wait at an engine for each of its places at most: who waits
behind more than one or two gets its first event too late."""


def may_wait_for_room(
    call: DirectCall, loads: Mapping[str, "EngineLoad"], now: Instant
) -> bool:
    """Return whether a stream that isn't let in may wait at the entry.

    A late one may: it takes what fresh ones leave, and its caller may have
    come back already. A fresh one would become late by waiting; its caller is
    told when to come back instead, unless a group gets its first fitting map
    within moments.

    Args:
        call: The stream.
        loads: What the engines told that were probed for it.
        now: The present instant.
    """
    has_first_map = any(load.has_first_map for load in loads.values())
    return (has_first_map or is_late(call, now)) and now < hold_until(call)


ALL_TO_ITSELF = EntryShare(in_flight=0, engines=1, entries=1)
"""The share of an entry that knows nothing of others."""


class EngineLoad(NamedTuple):
    """What an engine told of itself a moment ago."""

    requests: int
    """Requests there, waiting ones included."""

    epoch: int
    """Epoch of its group."""

    step: int
    """The last step that its group began."""

    has_first_map: bool = False
    """Whether its group still has the map that it formed with, which follows
    no popularity."""


class _Standing(NamedTuple):
    epoch: int
    step: int
    since: Instant
    """Since when all ranks told this step and some had requests."""

    seen_at: Instant
    """When that was told last."""


class GroupPaces:
    """How long the steps of groups take, by what their ranks tell."""

    def __init__(self) -> None:
        self._steps: dict[str, deque[tuple[Instant, int, int]]] = {}
        self._standing: dict[str, _Standing] = {}

    def record(
        self, group: str, epoch: int, step: int, now: Instant, *, is_busy: bool = False
    ) -> None:
        """Record the last step that a rank of a group told.

        Args:
            group: The group.
            epoch: Its epoch.
            step: The last step that it began.
            now: The present instant.
            is_busy: Whether one of its ranks has requests.
        """
        self._record_standing(group, epoch, step, now, is_busy=is_busy)
        steps = self._steps.setdefault(group, deque())
        while steps and now - steps[0][0] > PACE_SECONDS:
            steps.popleft()
        if steps and (epoch, step) < steps[-1][1:]:
            # Told before what is known already.
            return
        if steps and epoch != steps[-1][1]:
            steps.clear()
        steps.append((now, epoch, step))

    def _record_standing(
        self, group: str, epoch: int, step: int, now: Instant, *, is_busy: bool
    ) -> None:
        stood = self._standing.get(group)
        if stood is not None and (epoch, step) < (stood.epoch, stood.step):
            return
        # Between two polls that lie apart the group may have been idle.
        is_same = (
            stood is not None
            and is_busy
            and (epoch, step) == (stood.epoch, stood.step)
            and now - stood.seen_at <= STALL_SECONDS
        )
        since = stood.since if stood is not None and is_same else now
        self._standing[group] = _Standing(epoch, step, since, now)

    def is_stalled(self, group: str, now: Instant) -> bool:
        """Return whether a group with requests has begun no step for long."""
        stood = self._standing.get(group)
        return stood is not None and now - stood.since >= STALL_SECONDS

    def is_slow(self, group: str, longest_pause: float, now: Instant) -> bool:
        """Return whether all streams of a group are late.

        Args:
            group: The group.
            longest_pause: Seconds between two events that are still on time; 0
                if the route names none.
            now: The present instant.
        """
        slow_seconds = longest_pause * SLOW_SHARE
        return 0 < slow_seconds <= self.step_seconds(group, now)

    def step_seconds(self, group: str, now: Instant) -> float:
        """Return how long a step takes at present; 0 while it isn't known."""
        steps = [
            one for one in self._steps.get(group, ()) if now - one[0] <= PACE_SECONDS
        ]
        if len(steps) < 2:
            return 0.0
        (first_at, _, first), (last_at, _, last) = steps[0], steps[-1]
        if last_at - first_at < LEAST_SECONDS or last == first:
            return 0.0
        return (last_at - first_at) / (last - first)


def prefer_quick_groups(
    call: DirectCall,
    ranked: Sequence[Incarnation],
    paces: GroupPaces,
    now: Instant,
) -> tuple[list[Incarnation], list[Incarnation]]:
    """Return the engines to try, and one of each slow group to be polled.

    A slow group has few requests, so it looks least loaded. While all groups
    are slow, all engines are tried.

    Args:
        call: The stream.
        ranked: Engines that take work, the best one first.
        paces: How long the steps of groups take.
        now: The present instant.
    """
    slow: dict[str, Incarnation] = {}
    quick = []
    for one in ranked:
        group = one.place.group if one.place else ""
        if group and paces.is_slow(group, call.route.longest_pause, now):
            slow.setdefault(group, one)
        else:
            quick.append(one)
    if not quick:
        return list(ranked), []
    return quick, list(slow.values())


def admit_share(step_seconds: float, longest_pause: float, *, late: bool) -> float:
    """Return the share of a route's streams that a group may get.

    Args:
        step_seconds: How long its steps take; 0 if that isn't known.
        longest_pause: Seconds between two events that are still on time; 0 if
            the route names none.
        late: Whether the stream can't be on time any more.
    """
    if longest_pause <= 0:
        return 1.0
    all_below, none_above = LATE_SHARES if late else FRESH_SHARES
    share = step_seconds / longest_pause
    return min(1.0, max(0.0, (none_above - share) / (none_above - all_below)))


def admitting(
    call: DirectCall,
    candidates: list[Incarnation],
    loads: Mapping[str, EngineLoad],
    paces: GroupPaces,
    now: Instant,
    rng: random.Random,
    steps: StepModel | None = None,
    share: EntryShare = ALL_TO_ITSELF,
) -> list[Incarnation]:
    """Return the engines that may get a stream, of those that were probed.

    Args:
        call: The stream.
        candidates: Engines that take work, the best one first.
        loads: What some of them told, by name.
        paces: How long the steps of their groups take.
        now: The present instant.
        rng: The source of chance.
        steps: How long their steps should take, where that is published.
        share: What this entry has in flight, and how many others there are.
    """
    told = [one for one in candidates if one.name in loads]
    if not told or call.began:
        return candidates
    late = is_late(call, now)
    late_share = LATE_PLACES_SHARE if late else 1.0
    requests = [load.requests for load in loads.values()]

    def has_place(one: Incarnation) -> bool:
        places: float = max(BLIND_SLOTS, one.slots)
        load = loads[one.name]
        if load.has_first_map and steps is not None and one.place is not None:
            seconds = paces.step_seconds(one.place.group, now)
            skew = estimate_skew(steps, seconds, requests)
            pause = call.route.longest_pause
            places = late_share * bearable_requests(steps, skew, pause, int(places))
            if share.is_used(places, late=late):
                return False
        elif late:
            places *= late_share
        else:
            places *= 1.0 + MOST_WAITING
        return load.requests < max(1.0, places)

    told = [one for one in told if has_place(one)]
    places = sum(max(BLIND_SLOTS, one.slots) for one in told)
    taken = sum(loads[one.name].requests for one in told)
    if taken < places * BUSY_SHARE:
        return told
    drawn = rng.random()

    def admits(one: Incarnation) -> bool:
        if one.place is None:
            return False
        step_seconds = paces.step_seconds(one.place.group, now)
        return drawn < admit_share(step_seconds, call.route.longest_pause, late=late)

    return [one for one in told if admits(one)]
