"""Moving a call on by one event."""

from mintsaddle.decisions.calls._answers import take_chunk, take_end, take_head
from mintsaddle.decisions.calls._attempts import accept, try_next
from mintsaddle.decisions.calls._endings import give_up
from mintsaddle.decisions.calls._failures import fail, leave, pass_time, refuse
from mintsaddle.decisions.calls._messages import (
    AttemptAccepted,
    AttemptFailed,
    AttemptRefused,
    CallActions,
    CallerLeft,
    CallEvent,
    ChunkArrived,
    EndArrived,
    HeadArrived,
    TimePassed,
)
from mintsaddle.decisions.calls._state import CallState, RouteFacts
from mintsaddle.decisions.routing import (
    record_request,
)
from mintsaddle.values import (
    Instant,
    Reason,
)


def start_call(state: CallState, facts: RouteFacts, now: Instant) -> CallActions:
    """Begin a call: send its first attempt, or refuse it at once."""
    record_request(facts.routing)
    if now >= state.request.deadline:
        return give_up(state, facts, Reason.TOO_LATE, now)
    return try_next(state, facts, Reason.NO_ENDPOINT, now)


def handle_event(
    state: CallState, facts: RouteFacts, event: CallEvent, now: Instant
) -> CallActions:
    """Move a call on by one event; return what to do.

    An event of an attempt that isn't the present one is late or doubled and
    changes nothing: the caller gets the answer of one attempt only.
    """
    if state.over:
        return ()
    match event:
        case CallerLeft():
            return leave(state, facts)
        case TimePassed():
            return pass_time(state, facts, now)
    attempt = state.attempt
    if attempt is None or event.attempt != attempt.number:
        return ()
    match event:
        case AttemptAccepted():
            return accept(state, attempt, now)
        case AttemptRefused():
            return refuse(state, facts, attempt, event, now)
        case AttemptFailed():
            return fail(state, facts, attempt, event.sent, now)
        case HeadArrived():
            return take_head(state, facts, attempt, event, now)
        case ChunkArrived():
            return take_chunk(state, facts, attempt, event, now)
        case EndArrived():
            return take_end(state, facts, event)
