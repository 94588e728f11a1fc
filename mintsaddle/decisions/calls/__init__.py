"""One caller's request at an entry: attempts, chunks, and the final word."""

from mintsaddle.decisions.calls._commands import handle_event, start_call
from mintsaddle.decisions.calls._messages import (
    AttemptAccepted,
    AttemptFailed,
    AttemptRefused,
    CallAction,
    CallerLeft,
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
    TimePassed,
)
from mintsaddle.decisions.calls._queries import next_deadline
from mintsaddle.decisions.calls._state import CallState, RouteFacts

__all__ = [
    "AttemptAccepted",
    "AttemptFailed",
    "AttemptRefused",
    "CallAction",
    "CallEvent",
    "CallRequest",
    "CallState",
    "CallerLeft",
    "CancelAttempt",
    "ChunkArrived",
    "DeliverChunk",
    "DeliverHead",
    "EndArrived",
    "FinishCall",
    "HeadArrived",
    "RouteFacts",
    "SendAttempt",
    "TimePassed",
    "handle_event",
    "next_deadline",
    "start_call",
]
