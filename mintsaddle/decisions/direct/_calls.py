"""One caller's request: what follows from each end of an attempt.

Load patterns: endpoints that are full, fall silent, break off, answer for
another request or lose their answers, and callers that repeat meanwhile. A
request that may run once goes to a second endpoint only if the first one is
known not to run it; all others only within the retry budget, since every
arrival beyond the first loads endpoints that are in trouble already.
"""

import enum
from typing import NamedTuple

from mintsaddle.decisions.direct._table import Repeat, Route
from mintsaddle.values import Instant, Outcome, Reason


class Ending(enum.Enum):
    """How an attempt ended that gave no usable answer."""

    NOT_SENT = "not-sent"
    """No connection was made: not a byte has left."""

    NOT_RUN = "not-run"
    """The endpoint says that it has not run the request and never will."""

    GROUP_DOWN = "group-down"
    """The same, because another rank of its group is lost."""

    MISDIRECTED = "misdirected"
    """Another endpoint has the address by now; it has not run the request."""

    BROKEN = "broken"
    """Sent, and no whole answer of this request came back."""

    FAILED = "failed"
    """The endpoint's own whole answer says that it failed."""

    SILENT = "silent"
    """Sent, and nothing came within the time for this attempt."""


SHARE_OF_FIRST = 0.5
"""Share of the time left that an idempotent call's first attempt gets."""

NEVER_RAN = frozenset(
    {Ending.NOT_SENT, Ending.NOT_RUN, Ending.GROUP_DOWN, Ending.MISDIRECTED}
)
"""Endings after which the endpoint surely has not run the request."""


_NOT_REACHED = frozenset({Ending.NOT_SENT, Ending.MISDIRECTED})
"""Endings after which the endpoint that was meant has got nothing; another one
may be tried as if it were the first."""


class DirectCall(NamedTuple):
    """One caller's request and what has become of it so far."""

    request_id: str
    route: Route
    service: str
    workspace: str
    arrived_at: Instant
    deadline: Instant
    """When the caller's or the route's time is over, whichever is earlier."""

    due_at: Instant = 0.0
    """Until when an answer, or its first event, is on time."""

    priority: int = 0
    """Rank of its workspace, or else of its route; 0 is the highest."""

    tried: frozenset[str] = frozenset()
    """Endpoints that it was sent to."""

    sends: int = 0
    """Endpoints that got it, whether they ran it or not."""

    may_have_run: bool = False
    last_event: int | None = None
    """Id of the last whole event that the caller has."""

    began: bool = False
    """Whether the caller has the answer's head already."""


class TryAgain(NamedTuple):
    """Send it to another endpoint."""


class GiveUp(NamedTuple):
    """End it; the caller hears this outcome."""

    outcome: Outcome
    reason: Reason


def attempt_until(call: DirectCall, now: Instant) -> Instant:
    """Return until when the next attempt's answer is waited for.

    An idempotent call leaves time for a second attempt, since an endpoint may
    have run it and lost the answer. All others wait to their end: silence is
    no reason to give up what may be running.
    """
    is_last = call.sends + 1 >= call.route.max_attempts
    if is_last or call.route.repeat is not Repeat.IDEMPOTENT:
        return call.deadline
    return now + (call.deadline - now) * SHARE_OF_FIRST


def record_attempt(call: DirectCall, endpoint: str, ending: Ending) -> DirectCall:
    """Return the call after an attempt that gave no usable answer."""
    return call._replace(
        tried=call.tried | {endpoint},
        sends=call.sends + (ending not in _NOT_REACHED),
        may_have_run=call.may_have_run or ending not in NEVER_RAN,
    )


def decide_next(
    call: DirectCall, ending: Ending, *, has_budget: bool, now: Instant
) -> TryAgain | GiveUp:
    """Return what follows from the last attempt's ending.

    Args:
        call: The call, with that attempt noted.
        ending: How the attempt ended.
        has_budget: Whether the retry budget allows one more arrival.
        now: The present instant.
    """
    if now >= call.deadline:
        return give_up(call, Reason.TOO_LATE)
    if call.sends >= call.route.max_attempts or not has_budget:
        return give_up(call, _REASONS[ending])
    if call.may_have_run and call.route.repeat is Repeat.ONCE:
        return give_up(call, _REASONS[ending])
    return TryAgain()


def give_up(call: DirectCall, reason: Reason) -> GiveUp:
    """Return the end of a call: the claim follows from what is known."""
    if call.began:
        return GiveUp(Outcome.IN_DOUBT, Reason.CUT_OFF)
    outcome = Outcome.IN_DOUBT if call.may_have_run else Outcome.NOT_RUN
    return GiveUp(outcome, reason)


_REASONS = {
    Ending.NOT_SENT: Reason.UNREACHABLE,
    Ending.NOT_RUN: Reason.FULL,
    Ending.GROUP_DOWN: Reason.GROUP_DOWN,
    Ending.MISDIRECTED: Reason.ENGINE_DOWN,
    Ending.BROKEN: Reason.CUT_OFF,
    Ending.FAILED: Reason.ENGINE_FAILED,
    Ending.SILENT: Reason.SILENT,
}
