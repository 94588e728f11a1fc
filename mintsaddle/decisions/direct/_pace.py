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
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.decisions.direct._calls import DirectCall
from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.direct._groups import hold_until
from mintsaddle.decisions.direct._placement import BLIND_SLOTS
from mintsaddle.decisions.direct._urgency import is_late
from mintsaddle.values import Instant

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

BUSY_SHARE = 2 / 3
"""Share of the places that are taken at least where streams are refused: steps
of a group with free places are long for as long as its map is wrong."""

MOST_WAITING = 1.0
"""Requests that wait at an engine for each of its places at most: callers
leave before more than that have ended."""


def may_wait_for_room(call: DirectCall, now: Instant) -> bool:
    """Return whether a stream that isn't let in may wait at the entry.

    A late one may: it takes what fresh ones leave, and its caller may have
    come back already. A fresh one would become late by waiting; its caller is
    told when to come back instead.
    """
    return is_late(call, now) and now < hold_until(call)


class EngineLoad(NamedTuple):
    """What an engine told of itself a moment ago."""

    requests: int
    """Requests there, waiting ones included."""

    epoch: int
    """Epoch of its group."""

    step: int
    """The last step that its group began."""


class GroupPaces:
    """How long the steps of groups take, by what their ranks tell."""

    def __init__(self) -> None:
        self._steps: dict[str, deque[tuple[Instant, int, int]]] = {}

    def record(self, group: str, epoch: int, step: int, now: Instant) -> None:
        """Record the last step that a rank of a group told."""
        steps = self._steps.setdefault(group, deque())
        while steps and now - steps[0][0] > PACE_SECONDS:
            steps.popleft()
        if steps and (epoch, step) < steps[-1][1:]:
            # Told before what is known already.
            return
        if steps and epoch != steps[-1][1]:
            steps.clear()
        steps.append((now, epoch, step))

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
) -> list[Incarnation]:
    """Return the engines that may get a stream, of those that were probed.

    Args:
        call: The stream.
        candidates: Engines that take work, the best one first.
        loads: What some of them told, by name.
        paces: How long the steps of their groups take.
        now: The present instant.
        rng: The source of chance.
    """
    told = [one for one in candidates if one.name in loads]
    if not told or call.began:
        return candidates
    places = sum(max(BLIND_SLOTS, one.slots) for one in told)
    taken = sum(loads[one.name].requests for one in told)
    if taken < places * BUSY_SHARE:
        return candidates
    drawn = rng.random()
    late = is_late(call, now)

    def admits(one: Incarnation) -> bool:
        waiting = loads[one.name].requests - one.slots
        if one.place is None or waiting >= one.slots * MOST_WAITING:
            return False
        step_seconds = paces.step_seconds(one.place.group, now)
        return drawn < admit_share(step_seconds, call.route.longest_pause, late=late)

    return [one for one in told if admits(one)]
