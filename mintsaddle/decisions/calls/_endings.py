"""Ends attempts and reports the outcome of calls."""

from mintsaddle.decisions.calls._messages import (
    CallActions,
    FinishCall,
)
from mintsaddle.decisions.calls._queries import is_order
from mintsaddle.decisions.calls._state import Attempt, CallState, RoutingContext
from mintsaddle.decisions.routing import (
    RouteRequest,
    draw_key,
    record_finished,
)
from mintsaddle.values import (
    Instant,
    OrderKey,
    Outcome,
    Reason,
)

_RETRY_DELAY = 1.0
"""Minimum seconds before the caller retries."""

_RETRY_JITTER = 4.0
"""Maximum random seconds added so that callers don't all retry at once."""


def end_attempt(state: CallState, context: RoutingContext, attempt: Attempt) -> None:
    """Record that the current attempt has ended."""
    record_finished(context.routing, attempt.endpoint)
    state.replace_attempt(None)


def give_up(
    state: CallState, context: RoutingContext, reason: Reason, now: Instant
) -> CallActions:
    """Finish the call without an answer, with a jittered retry time."""
    jitter = _RETRY_JITTER * context.rng.random()
    retry_at = max(state.retry_at, now + _RETRY_DELAY) + jitter
    outcome = _final_outcome(state, reason)
    fresh_key = None
    if outcome is Outcome.NOT_RUN and is_order(state):
        fresh_key = _draw_fresh_key(state, context, now)
    return finish(state, outcome, reason, retry_at, fresh_key)


def _draw_fresh_key(
    state: CallState, context: RoutingContext, now: Instant
) -> OrderKey | None:
    """Return a key with which the caller's next try reaches a live home.

    A key that the caller generates itself may belong to the home that is
    leaving. Its outcome would be in doubt when that home comes back.
    """
    route = RouteRequest(state.request.service, "", state.tried)
    drawn = draw_key(
        context.routing, context.fleet, context.marks, route, now, context.rng
    )
    return drawn.key if drawn else None


def _final_outcome(state: CallState, reason: Reason) -> Outcome:
    order = is_order(state)
    if state.reached:
        return Outcome.IN_DOUBT if order else Outcome.ASK_AGAIN
    has_key = state.request.key is not None
    refused_by_home = state.attempts > 0 and reason is not Reason.UNREACHABLE
    if order and has_key and not refused_by_home:
        # Only the home can state that a key held by the caller did not run,
        # since another entry may have delivered an earlier attempt.
        return Outcome.ASK_AGAIN
    return Outcome.NOT_RUN


def finish(
    state: CallState,
    outcome: Outcome,
    reason: Reason | None,
    retry_at: Instant,
    fresh_key: OrderKey | None = None,
) -> CallActions:
    """Close the call and report its outcome to the caller."""
    count = state.delivered
    key = state.request.key or state.last_key
    state.close()
    return (FinishCall(outcome, reason, retry_at, count, key, fresh_key),)
