"""Ending attempts and giving the final word."""

from mintsaddle.decisions.calls._messages import (
    CallActions,
    FinishCall,
)
from mintsaddle.decisions.calls._queries import is_order
from mintsaddle.decisions.calls._state import Attempt, CallState, RouteFacts
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

_COME_BACK = 1.0
_COME_BACK_SPREAD = 4.0


def end_attempt(state: CallState, facts: RouteFacts, attempt: Attempt) -> None:
    """Note that the present attempt is over."""
    record_finished(facts.routing, attempt.endpoint)
    state.replace_attempt(None)


def give_up(
    state: CallState, facts: RouteFacts, reason: Reason, now: Instant
) -> CallActions:
    """Give the final word at once, with a spread-out time to come back."""
    spread = _COME_BACK_SPREAD * facts.rng.random()
    retry_at = max(state.retry_at, now + _COME_BACK) + spread
    outcome = _final_outcome(state, reason)
    fresh = None
    if outcome is Outcome.NOT_RUN and is_order(state):
        fresh = _draw_fresh(state, facts, now)
    return finish(state, outcome, reason, retry_at, fresh)


def _draw_fresh(state: CallState, facts: RouteFacts, now: Instant) -> OrderKey | None:
    """Return a key with which the caller's next try reaches a living home.

    A key that the caller draws itself may belong to the very home that is
    leaving, and would end in doubt when that home comes back.
    """
    route = RouteRequest(state.request.service, "", state.tried)
    drawn = draw_key(facts.routing, facts.fleet, facts.marks, route, now, facts.rng)
    return drawn.key if drawn else None


def _final_outcome(state: CallState, reason: Reason) -> Outcome:
    order = is_order(state)
    if state.reached:
        return Outcome.IN_DOUBT if order else Outcome.ASK_AGAIN
    brought = state.request.key is not None
    refused_by_home = state.attempts > 0 and reason is not Reason.UNREACHABLE
    if order and brought and not refused_by_home:
        # Only the home may say not-run for a key that the caller has: another
        # entry may have delivered an earlier attempt.
        return Outcome.ASK_AGAIN
    return Outcome.NOT_RUN


def finish(
    state: CallState,
    outcome: Outcome,
    reason: Reason | None,
    retry_at: Instant,
    fresh: OrderKey | None = None,
) -> CallActions:
    """Give the final word."""
    count = state.delivered
    key = state.request.key or state.drawn
    state.close()
    return (FinishCall(outcome, reason, retry_at, count, key, fresh),)
