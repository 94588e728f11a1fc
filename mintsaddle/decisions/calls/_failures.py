"""Handles refusals, failures, timeouts and caller disconnects."""

from mintsaddle.decisions.calls._attempts import try_next
from mintsaddle.decisions.calls._endings import end_attempt, finish, give_up
from mintsaddle.decisions.calls._messages import (
    AttemptRefused,
    CallActions,
    CancelAttempt,
)
from mintsaddle.decisions.calls._queries import can_complete_elsewhere, is_order
from mintsaddle.decisions.calls._state import Attempt, CallState, RoutingContext
from mintsaddle.decisions.routing import (
    has_free_capacity,
    may_retry,
    record_failed,
    record_refused,
    spend_retry,
)
from mintsaddle.values import (
    Claim,
    Instant,
    Outcome,
    Reason,
)

_UNCONDITIONAL_ATTEMPTS = 2
"""Attempts made before an endpoint with known free capacity is required."""

_MAX_REROUTED_ATTEMPTS = 3
"""Attempts after which a refusal is final."""


def handle_refused(
    state: CallState,
    context: RoutingContext,
    attempt: Attempt,
    event: AttemptRefused,
    now: Instant,
) -> CallActions:
    """Handle a refusal by an endpoint daemon."""
    refusal = event.refusal
    end_attempt(state, context, attempt)
    record_refused(context.routing, attempt.endpoint, refusal.reason, now)
    state.set_retry_at(refusal.retry_at)
    if refusal.claim is Claim.MAYBE:
        state.mark_reached()
    if is_order(state):
        return _refuse_order(state, context, refusal.claim, refusal.reason, now)
    if not can_complete_elsewhere(state) or not _may_reroute(state, context, now):
        return give_up(state, context, refusal.reason, now)
    return try_next(state, context, refusal.reason, now)


def _refuse_order(
    state: CallState,
    context: RoutingContext,
    claim: Claim,
    reason: Reason,
    now: Instant,
) -> CallActions:
    """Report the home's claim, or draw another key where that is safe.

    A key drawn by this entry was sent to one home only, which has recorded a
    tombstone for it. The caller never had it, so another key may be drawn.
    """
    if claim is Claim.MAYBE:
        return finish(state, Outcome.IN_DOUBT, reason, state.retry_at)
    if claim is Claim.NONE:
        return finish(state, Outcome.ASK_AGAIN, reason, state.retry_at)
    if state.request.key is None and state.attempts < _MAX_REROUTED_ATTEMPTS:
        return try_next(state, context, reason, now)
    return give_up(state, context, reason, now)


def _may_reroute(state: CallState, context: RoutingContext, now: Instant) -> bool:
    """Return whether a refused call should be sent to another endpoint.

    The first retry may go to any endpoint, as its queue may be shorter or
    favour this workspace more. Further ones need an endpoint believed to have
    free capacity; otherwise each request would poll every endpoint under
    overload.
    """
    if state.attempts < _UNCONDITIONAL_ATTEMPTS:
        return True
    if state.attempts >= _MAX_REROUTED_ATTEMPTS:
        return False
    service = state.request.service
    return any(
        has_free_capacity(context.routing, service, name, now)
        for name in service.endpoints
        if name not in state.tried and not context.marks.is_out(context.fleet, name)
    )


def handle_failed(
    state: CallState,
    context: RoutingContext,
    attempt: Attempt,
    sent: bool,
    now: Instant,
) -> CallActions:
    """Handle a broken connection to the endpoint daemon."""
    end_attempt(state, context, attempt)
    record_failed(context.routing, attempt.endpoint, now)
    if sent or attempt.accepted:
        state.mark_reached()
    return _retry(state, context, Reason.UNREACHABLE, now)


def _retry(
    state: CallState, context: RoutingContext, reason: Reason, now: Instant
) -> CallActions:
    if is_order(state):
        return _retry_order(state, context, reason, now)
    if not can_complete_elsewhere(state) or not may_retry(context.routing):
        return give_up(state, context, reason, now)
    spend_retry(context.routing)
    return try_next(state, context, reason, now)


def _retry_order(
    state: CallState, context: RoutingContext, reason: Reason, now: Instant
) -> CallActions:
    """Retry an order with a new key, but never one that may have been sent."""
    is_unsent_drawn_key = state.request.key is None and not state.reached
    if is_unsent_drawn_key:
        return try_next(state, context, reason, now)
    return give_up(state, context, reason, now)


def handle_timer(
    state: CallState, context: RoutingContext, now: Instant
) -> CallActions:
    """Check the call's deadline and the attempt's timeout."""
    attempt = state.attempt
    if now >= state.request.deadline:
        if attempt is None:
            return give_up(state, context, Reason.TOO_LATE, now)
        state.mark_reached()
        cancel = _cancel(state, context, attempt)
        return (*cancel, *give_up(state, context, Reason.TOO_LATE, now))
    if attempt is None or now < attempt.timeout_at:
        return ()
    # A silent attempt may have reached an engine, so a later refusal must not
    # turn the outcome into not-run.
    state.mark_reached()
    record_failed(context.routing, attempt.endpoint, now)
    cancel = _cancel(state, context, attempt)
    return (*cancel, *_retry(state, context, Reason.SILENT, now))


def _cancel(state: CallState, context: RoutingContext, attempt: Attempt) -> CallActions:
    """End the current attempt; an order is left to run to its end."""
    end_attempt(state, context, attempt)
    if is_order(state):
        return ()
    return (CancelAttempt(attempt.number, attempt.endpoint),)


def handle_caller_disconnected(
    state: CallState, context: RoutingContext
) -> CallActions:
    """End a call whose caller has disconnected."""
    attempt = state.attempt
    actions = _cancel(state, context, attempt) if attempt else ()
    state.close()
    return actions
