"""Starts calls and dispatches their events."""

from mintsaddle.decisions.calls._answers import handle_chunk, handle_end, handle_head
from mintsaddle.decisions.calls._attempts import handle_accepted, try_next
from mintsaddle.decisions.calls._endings import give_up
from mintsaddle.decisions.calls._failures import (
    handle_caller_disconnected,
    handle_failed,
    handle_refused,
    handle_timer,
)
from mintsaddle.decisions.calls._messages import (
    AttemptAccepted,
    AttemptFailed,
    AttemptRefused,
    CallActions,
    CallerDisconnected,
    CallEvent,
    ChunkArrived,
    EndArrived,
    HeadArrived,
    TimerFired,
)
from mintsaddle.decisions.calls._state import CallState, RoutingContext
from mintsaddle.decisions.routing import (
    record_request,
)
from mintsaddle.values import (
    Instant,
    Reason,
)


def start_call(state: CallState, context: RoutingContext, now: Instant) -> CallActions:
    """Start a call: send its first attempt or refuse it."""
    record_request(context.routing)
    if now >= state.request.deadline:
        return give_up(state, context, Reason.TOO_LATE, now)
    return try_next(state, context, Reason.NO_ENDPOINT, now)


def handle_event(
    state: CallState, context: RoutingContext, event: CallEvent, now: Instant
) -> CallActions:
    """Apply an event to a call; return the actions to perform.

    Events of any attempt but the current one are late or duplicates and are
    ignored, so that the caller gets the response of one attempt only.
    """
    if state.over:
        return ()
    match event:
        case CallerDisconnected():
            return handle_caller_disconnected(state, context)
        case TimerFired():
            return handle_timer(state, context, now)
    attempt = state.attempt
    if attempt is None or event.attempt != attempt.number:
        return ()
    match event:
        case AttemptAccepted():
            return handle_accepted(state, attempt, now)
        case AttemptRefused():
            return handle_refused(state, context, attempt, event, now)
        case AttemptFailed():
            return handle_failed(state, context, attempt, event.sent, now)
        case HeadArrived():
            return handle_head(state, context, attempt, event, now)
        case ChunkArrived():
            return handle_chunk(state, context, attempt, event, now)
        case EndArrived():
            return handle_end(state, context, event)
