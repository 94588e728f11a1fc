"""What follows from refusals, failures, silence and hang-ups."""

from mintsaddle.decisions.calls._attempts import try_next
from mintsaddle.decisions.calls._endings import end_attempt, finish, give_up
from mintsaddle.decisions.calls._messages import (
    AttemptRefused,
    CallActions,
    CancelAttempt,
)
from mintsaddle.decisions.calls._queries import is_order, may_start_over
from mintsaddle.decisions.calls._state import Attempt, CallState, RouteFacts
from mintsaddle.decisions.routing import (
    has_free_place,
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

_BLIND_ATTEMPTS = 2
_MOST_REROUTES = 3


def refuse(
    state: CallState,
    facts: RouteFacts,
    attempt: Attempt,
    event: AttemptRefused,
    now: Instant,
) -> CallActions:
    """Go on after a refusal."""
    refusal = event.refusal
    end_attempt(state, facts, attempt)
    record_refused(facts.routing, attempt.endpoint, refusal.reason, now)
    state.put_retry_at(refusal.retry_at)
    if refusal.claim is Claim.MAYBE:
        state.mark_reached()
    if is_order(state):
        return _refuse_order(state, facts, refusal.claim, refusal.reason, now)
    if not may_start_over(state) or not _may_reroute(state, facts, now):
        return give_up(state, facts, refusal.reason, now)
    return try_next(state, facts, refusal.reason, now)


def _refuse_order(
    state: CallState, facts: RouteFacts, claim: Claim, reason: Reason, now: Instant
) -> CallActions:
    """Pass the home's claim on, or draw another key where that is safe.

    A key drawn here was sent to one home only, and that home has written a
    tombstone for it; the caller never had it, so another one may be drawn.
    """
    if claim is Claim.MAYBE:
        return finish(state, Outcome.IN_DOUBT, reason, state.retry_at)
    if claim is Claim.NONE:
        return finish(state, Outcome.ASK_AGAIN, reason, state.retry_at)
    if state.request.key is None and state.attempts < _MOST_REROUTES:
        return try_next(state, facts, reason, now)
    return give_up(state, facts, reason, now)


def _may_reroute(state: CallState, facts: RouteFacts, now: Instant) -> bool:
    """Return whether a refused call should try once more.

    Once anywhere, since another endpoint's queue may be shorter or fairer to
    it; after that only where a free place is believed to be: under overload a
    refusal would otherwise cost every endpoint a poll at every request.
    """
    if state.attempts < _BLIND_ATTEMPTS:
        return True
    if state.attempts >= _MOST_REROUTES:
        return False
    service = state.request.service
    return any(
        has_free_place(facts.routing, service, name, now)
        for name in service.endpoints
        if name not in state.tried and not facts.marks.is_out(facts.fleet, name)
    )


def fail(
    state: CallState, facts: RouteFacts, attempt: Attempt, sent: bool, now: Instant
) -> CallActions:
    """Go on after a broken way to the endpoint daemon."""
    end_attempt(state, facts, attempt)
    record_failed(facts.routing, attempt.endpoint, now)
    if sent or attempt.accepted:
        state.mark_reached()
    return _retry(state, facts, Reason.UNREACHABLE, now)


def _retry(
    state: CallState, facts: RouteFacts, reason: Reason, now: Instant
) -> CallActions:
    if is_order(state):
        return _retry_order(state, facts, reason, now)
    if not may_start_over(state) or not may_retry(facts.routing):
        return give_up(state, facts, reason, now)
    spend_retry(facts.routing)
    return try_next(state, facts, reason, now)


def _retry_order(
    state: CallState, facts: RouteFacts, reason: Reason, now: Instant
) -> CallActions:
    """An order that may have been sent is never sent again from here."""
    unsent_draw = state.request.key is None and not state.reached
    if unsent_draw:
        return try_next(state, facts, reason, now)
    return give_up(state, facts, reason, now)


def pass_time(state: CallState, facts: RouteFacts, now: Instant) -> CallActions:
    """Look at the deadline and at the attempt's timeout."""
    attempt = state.attempt
    if now >= state.request.deadline:
        if attempt is None:
            return give_up(state, facts, Reason.TOO_LATE, now)
        state.mark_reached()
        cancel = _cancel(state, facts, attempt)
        return (*cancel, *give_up(state, facts, Reason.TOO_LATE, now))
    if attempt is None or now < attempt.silent_at:
        return ()
    # A silent attempt may have reached an engine; no later refusal may turn
    # the answer into not-run.
    state.mark_reached()
    record_failed(facts.routing, attempt.endpoint, now)
    cancel = _cancel(state, facts, attempt)
    return (*cancel, *_retry(state, facts, Reason.SILENT, now))


def _cancel(state: CallState, facts: RouteFacts, attempt: Attempt) -> CallActions:
    """End the present attempt; an order is left to run to its end."""
    end_attempt(state, facts, attempt)
    if is_order(state):
        return ()
    return (CancelAttempt(attempt.number, attempt.endpoint),)


def leave(state: CallState, facts: RouteFacts) -> CallActions:
    """End a call whose caller has gone."""
    attempt = state.attempt
    actions = _cancel(state, facts, attempt) if attempt else ()
    state.close()
    return actions
