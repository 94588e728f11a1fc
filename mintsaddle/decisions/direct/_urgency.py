"""Who goes first while more is asked than endpoints can begin.

Load pattern: a group was down for seconds, and those who waited or were told
to come back arrive together with those who ask for the first time. First come,
first served makes everybody late for as long as the backlog lasts, since the
group bears little more than what is asked anew. So a request that can still be
on time goes first, and a late one takes what is left: to its caller a second
more matters less.

Endpoints admit by the urgency that a request names, so entries need no common
queue for this.
"""

from collections.abc import Collection

from mintsaddle.decisions.direct._calls import DirectCall
from mintsaddle.values import Instant

FIRST_URGENCY = 0
"""What goes before everything else."""

LATE_URGENCY = 5
"""First of the five urgencies of late requests; five before them are for those
that can be on time. Endpoints know ten, and take 5 where none is named."""

_CLASS_URGENCIES = 5

_MEMORY = 64
"""Requests of a route after which its longest deadline is learned anew."""

_RETURNING_SHARE = 0.78
"""Share of the longest time under which a caller counts as one that returns.
Fresh callers bring times within 15 in 100 of each other; one that comes back
has waited for 1.5 s and more of 8 s, and then for its time to come back."""


class RouteDeadlines:
    """How long callers of each route wait when they ask for the first time.

    A caller that comes back brings what is left of its time and doesn't say
    that it has asked before. Callers of one route bring much the same time, so
    one that brings clearly less has spent the rest.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}
        self._recent: dict[str, tuple[int, float]] = {}

    def note(self, route: str, seconds_left: float) -> None:
        """Note what a request of a route has left at its arrival."""
        self._longest[route] = max(self._longest.get(route, 0.0), seconds_left)
        count, longest = self._recent.get(route, (0, 0.0))
        count, longest = count + 1, max(longest, seconds_left)
        if count >= _MEMORY:
            # A table may have shortened what callers bring: without this all
            # of them would count as returning for good.
            self._longest[route] = longest
            count, longest = 0, 0.0
        self._recent[route] = (count, longest)

    def keep_only(self, routes: Collection[str]) -> None:
        """Forget routes that the table doesn't hold any more."""
        self._longest = {k: v for k, v in self._longest.items() if k in routes}
        self._recent = {k: v for k, v in self._recent.items() if k in routes}

    def is_returning(self, route: str, seconds_left: float) -> bool:
        """Return whether a caller has asked before, by estimate."""
        return seconds_left < self._longest.get(route, 0.0) * _RETURNING_SHARE


def choose_urgency(call: DirectCall, now: Instant) -> int:
    """Return how urgent a call is to endpoints; 0 goes first.

    A stream that its caller has a part of goes before all else: refused, the
    part would be lost too. Among its like a call goes by its priority.
    """
    if call.began:
        return FIRST_URGENCY
    rank = min(max(0, call.priority), _CLASS_URGENCIES - 1)
    return LATE_URGENCY + rank if is_late(call, now) else rank


def is_late(call: DirectCall, now: Instant) -> bool:
    """Return whether a call that hasn't begun can't be on time any more."""
    return not call.began and now > call.due_at
