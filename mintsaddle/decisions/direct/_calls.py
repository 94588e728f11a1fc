"""What to do after each attempt of one caller's request.

Endpoints may be full, stop responding, break the connection, answer a
different request or lose their answers, while callers retry on their own. A
request that may run only once is sent to a second endpoint only if the first
one is known not to run it. All others are retried within the retry budget,
since each additional arrival adds load to endpoints that are in trouble
already.
"""

import enum
from typing import NamedTuple

from mintsaddle.decisions.direct._table import Repeat, Route
from mintsaddle.decisions.quarantine import NO_FEATURES, RequestFeatures
from mintsaddle.values import Instant, Outcome, Reason


class Ending(enum.Enum):
    """How an attempt ended that gave no usable answer."""

    NOT_SENT = "not-sent"
    """No connection was made, and nothing was sent."""

    NOT_RUN = "not-run"
    """The endpoint states that it neither ran the request nor will run it."""

    GROUP_DOWN = "group-down"
    """The same, because another rank of the endpoint's group is lost."""

    MISDIRECTED = "misdirected"
    """Another endpoint uses the address by now and hasn't run the request."""

    BROKEN = "broken"
    """The request was sent, and no complete answer to it came back."""

    STALE = "stale"
    """A reused connection broke as soon as the request was sent: the endpoint
    has probably closed it as idle, and is healthy."""

    FAILED = "failed"
    """The endpoint's complete answer reports an error."""

    SILENT = "silent"
    """The request was sent, and nothing came back before the timeout."""

    WITHDRAWN = "withdrawn"
    """The request was sent, and this entry took it back before any answer."""


FIRST_ATTEMPT_SHARE = 0.5
"""Share of the remaining time that the first attempt of an idempotent call may
use."""

NEVER_RAN = frozenset(
    {Ending.NOT_SENT, Ending.NOT_RUN, Ending.GROUP_DOWN, Ending.MISDIRECTED}
)
"""Endings after which the endpoint certainly hasn't run the request."""


_NOT_REACHED = frozenset({Ending.NOT_SENT, Ending.MISDIRECTED})
"""Endings after which the intended endpoint has received nothing, so that the
attempt doesn't count."""


class DirectCall(NamedTuple):
    """One caller's request and the state of its attempts."""

    request_id: str
    route: Route
    service: str
    workspace: str
    arrived_at: Instant
    deadline: Instant
    """The earlier of the caller's and the route's deadline."""

    due_at: Instant = 0.0
    """Until when an answer, or its first event, is on time."""

    priority: int = 0
    """Priority of its workspace, or else of its route; 0 is the highest."""

    work: float = 1.0
    """Expected work: tokens of input, plus those of output by their weight."""

    tried: frozenset[str] = frozenset()
    """Endpoints that it was sent to."""

    sends: int = 0
    """Number of endpoints that received it, whether they ran it or not."""

    may_have_run: bool = False
    avoids_reuse: bool = False
    """Whether a reused connection has broken under it."""

    last_event: int | None = None
    """Id of the last complete event that the caller has received."""

    response_started: bool = False
    """Whether the caller has received the head of the answer."""

    workspace_priority: int | None = None
    """Priority that its workspace publishes; None if it publishes none."""

    parts: tuple[str, ...] = ()
    """Ids of the parts of its prompt that other requests may share."""

    features: RequestFeatures = NO_FEATURES
    """What may end the engine that begins to run it."""


class TryAgain(NamedTuple):
    """Send the request to another endpoint."""


class GiveUp(NamedTuple):
    """End the call and report this outcome to the caller."""

    outcome: Outcome
    reason: Reason


def attempt_until(call: DirectCall, now: Instant) -> Instant:
    """Return until when to wait for the next attempt's answer.

    An idempotent call reserves time for a second attempt, since an endpoint
    may have run it and lost the answer. All others wait until their deadline:
    without an answer the request may still be running.
    """
    is_last = call.sends + 1 >= call.route.max_attempts
    if is_last or call.route.repeat is not Repeat.IDEMPOTENT:
        return call.deadline
    return now + (call.deadline - now) * FIRST_ATTEMPT_SHARE


def record_attempt(call: DirectCall, endpoint: str, ending: Ending) -> DirectCall:
    """Return the call after an attempt that gave no usable answer.

    An endpoint that has closed an idle connection may be tried again. It may
    have run the request all the same, so the attempt counts like any other.
    """
    is_stale = ending is Ending.STALE
    return call._replace(
        tried=call.tried if is_stale else call.tried | {endpoint},
        avoids_reuse=call.avoids_reuse or is_stale,
        sends=call.sends + (ending not in _NOT_REACHED),
        may_have_run=call.may_have_run or ending not in NEVER_RAN,
    )


def decide_next(
    call: DirectCall, ending: Ending, *, has_budget: bool, now: Instant
) -> TryAgain | GiveUp:
    """Return whether to retry after an attempt or to give up.

    Args:
        call: The call, including that attempt.
        ending: How the attempt ended.
        has_budget: Whether the retry budget allows another attempt.
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
    """Return the end of a call, with the outcome that its state allows."""
    if call.response_started:
        return GiveUp(Outcome.IN_DOUBT, Reason.CUT_OFF)
    outcome = Outcome.IN_DOUBT if call.may_have_run else Outcome.NOT_RUN
    return GiveUp(outcome, reason)


_REASONS = {
    Ending.NOT_SENT: Reason.UNREACHABLE,
    Ending.NOT_RUN: Reason.FULL,
    Ending.GROUP_DOWN: Reason.GROUP_DOWN,
    Ending.MISDIRECTED: Reason.ENGINE_DOWN,
    Ending.BROKEN: Reason.CUT_OFF,
    Ending.STALE: Reason.CUT_OFF,
    Ending.FAILED: Reason.ENGINE_FAILED,
    Ending.SILENT: Reason.SILENT,
    Ending.WITHDRAWN: Reason.QUARANTINED,
}
