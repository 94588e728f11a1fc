"""Events that a call handles and actions that it returns."""

from typing import NamedTuple, TypeAlias

from mintsaddle.fleet import Service
from mintsaddle.values import Instant, OrderKey, Outcome, Reason, Refusal


class CallRequest(NamedTuple):
    """A caller's request as received."""

    request_id: str
    service: Service
    workspace: str
    priority: int
    deadline: Instant
    prefix: str = ""
    """Identifies the prompt prefix, for routing to engines that cache it."""

    key: OrderKey | None = None
    """The key that the caller chose or was issued before."""


class AttemptAccepted(NamedTuple):
    """The endpoint daemon has admitted or queued the attempt."""

    attempt: int


class AttemptRefused(NamedTuple):
    """The endpoint daemon has refused the attempt."""

    attempt: int
    refusal: Refusal


class AttemptFailed(NamedTuple):
    """The connection to the endpoint daemon failed."""

    attempt: int
    sent: bool
    """Whether any byte of the request may have arrived there."""


class HeadArrived(NamedTuple):
    """The response's status arrived."""

    attempt: int
    status: int
    content_type: str


class ChunkArrived(NamedTuple):
    """A chunk of the response arrived."""

    attempt: int
    sequence: int
    """Chunk number in the complete response, from 1, across all attempts."""

    data: bytes


class EndArrived(NamedTuple):
    """The end of the response arrived."""

    attempt: int
    total: int
    """Number of chunks of the complete response."""


class TimerFired(NamedTuple):
    """The time returned by `next_deadline` has come."""


class CallerDisconnected(NamedTuple):
    """The caller closed the connection."""


CallEvent: TypeAlias = (
    AttemptAccepted
    | AttemptRefused
    | AttemptFailed
    | HeadArrived
    | ChunkArrived
    | EndArrived
    | TimerFired
    | CallerDisconnected
)


class SendAttempt(NamedTuple):
    """Send the request to an endpoint daemon."""

    attempt: int
    endpoint: str
    key: OrderKey | None
    resume_after: int
    """Chunks that the caller already has; the engine resumes after them."""


class CancelAttempt(NamedTuple):
    """Tell the endpoint daemon that nobody waits for the attempt."""

    attempt: int
    endpoint: str


class DeliverHead(NamedTuple):
    """Send the status to the caller."""

    status: int
    content_type: str


class DeliverChunk(NamedTuple):
    """Send a chunk to the caller."""

    sequence: int
    data: bytes


class FinishCall(NamedTuple):
    """Report the outcome to the caller and end the call."""

    outcome: Outcome
    reason: Reason | None
    retry_at: Instant
    """When to retry; 0 if there is no need."""

    delivered: int
    """Number of chunks delivered."""

    key: OrderKey | None
    fresh_key: OrderKey | None = None
    """For an order that did not run: new key to retry at an available home."""


CallAction: TypeAlias = (
    SendAttempt | CancelAttempt | DeliverHead | DeliverChunk | FinishCall
)

CallActions: TypeAlias = tuple[CallAction, ...]
"""Actions to perform, in order."""
