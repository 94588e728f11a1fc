"""One caller's request at an entry: attempts, chunks and the outcome."""

from mintsaddle.decisions.calls._commands import handle_event, start_call
from mintsaddle.decisions.calls._messages import (
    AttemptAccepted,
    AttemptFailed,
    AttemptRefused,
    CallAction,
    CallerDisconnected,
    CallEvent,
    CallRequest,
    CancelAttempt,
    ChunkArrived,
    DeliverChunk,
    DeliverHead,
    EndArrived,
    FinishCall,
    HeadArrived,
    SendAttempt,
    TimerFired,
)
from mintsaddle.decisions.calls._queries import next_deadline
from mintsaddle.decisions.calls._state import CallState, RoutingContext

__all__ = [
    "AttemptAccepted",
    "AttemptFailed",
    "AttemptRefused",
    "CallAction",
    "CallEvent",
    "CallRequest",
    "CallState",
    "CallerDisconnected",
    "CancelAttempt",
    "ChunkArrived",
    "DeliverChunk",
    "DeliverHead",
    "EndArrived",
    "FinishCall",
    "HeadArrived",
    "RoutingContext",
    "SendAttempt",
    "TimerFired",
    "handle_event",
    "next_deadline",
    "start_call",
]
