"""The urgency of a request, by which overloaded endpoints order their queue.

After a group was down for seconds, the requests that waited and the callers
that were told to retry arrive together with new requests. In order of arrival
all of them would be late for as long as the backlog lasts, since the group can
serve little more than the new requests. So requests that can still be on time
go first, and late ones use the remaining capacity: one more second matters
less to their callers.

Endpoints admit requests by the urgency that they carry, so entries need no
shared queue.
"""

from collections.abc import Collection

from mintsaddle.decisions.direct._calls import DirectCall
from mintsaddle.values import Instant

HIGHEST_URGENCY = 0
"""The urgency that goes before all others."""

LATE_URGENCY = 5
"""The first of five urgencies for late requests. The five before it are for
requests that can be on time. Endpoints accept ten, and assume 5 if none is
given."""

_URGENCIES_PER_CLASS = 5

_RELEARN_REQUESTS = 64
"""Requests of a route after which its longest deadline is learned again."""

_RETURNING_SHARE = 0.78
"""Share of the route's longest deadline below which a caller counts as
returning. Deadlines of new callers lie within 15 in 100 of each other. A
returning caller has used up at least 1.5 s of 8 s and its retry delay."""


class RouteDeadlines:
    """Learns how much time the callers of each route allow at first.

    A caller that retries sends its remaining time and doesn't say that it has
    asked before. Callers of one route allow about the same time, so a request
    with clearly less is taken for a retry.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}
        self._recent: dict[str, tuple[int, float]] = {}

    def note(self, route: str, seconds_left: float) -> None:
        """Record the time that a request of a route has left at arrival."""
        self._longest[route] = max(self._longest.get(route, 0.0), seconds_left)
        count, longest = self._recent.get(route, (0, 0.0))
        count, longest = count + 1, max(longest, seconds_left)
        if count >= _RELEARN_REQUESTS:
            # A new routing table may shorten the deadlines. Without this, all
            # callers would then count as returning permanently.
            self._longest[route] = longest
            count, longest = 0, 0.0
        self._recent[route] = (count, longest)

    def keep_only(self, routes: Collection[str]) -> None:
        """Discard routes that are no longer in the routing table."""
        self._longest = {k: v for k, v in self._longest.items() if k in routes}
        self._recent = {k: v for k, v in self._recent.items() if k in routes}

    def is_returning(self, route: str, seconds_left: float) -> bool:
        """Return whether a request probably is a retry by its caller."""
        return seconds_left < self._longest.get(route, 0.0) * _RETURNING_SHARE


def choose_urgency(call: DirectCall, now: Instant) -> int:
    """Return the urgency to send with a call; 0 goes first.

    A stream that its caller has received a part of goes first, since that part
    would be lost with a refusal. Within its class a call is ordered by its
    priority.
    """
    if call.response_started:
        return HIGHEST_URGENCY
    rank = min(max(0, call.priority), _URGENCIES_PER_CLASS - 1)
    return LATE_URGENCY + rank if is_late(call, now) else rank


def is_late(call: DirectCall, now: Instant) -> bool:
    """Return whether a call without a response can't be on time any more."""
    return not call.response_started and now > call.due_at
