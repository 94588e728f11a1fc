"""Events that a call meets and actions that it asks for."""

from typing import NamedTuple, TypeAlias

from mintsaddle.fleet import Service
from mintsaddle.values import Instant, OrderKey, Outcome, Reason, Refusal


class CallRequest(NamedTuple):
    """A caller's request as it arrived."""

    request_id: str
    service: Service
    workspace: str
    priority: int
    deadline: Instant
    prefix: str = ""
    """Names the prompt prefix, for the engines' caches."""

    key: OrderKey | None = None
    """The key that the caller brought, or was issued before."""


class AttemptAccepted(NamedTuple):
    """The endpoint daemon has admitted or queued the attempt."""

    attempt: int


class AttemptRefused(NamedTuple):
    """The endpoint daemon doesn't run the attempt."""

    attempt: int
    refusal: Refusal


class AttemptFailed(NamedTuple):
    """The way to the endpoint daemon broke."""

    attempt: int
    sent: bool
    """Whether any byte of the request may have arrived there."""


class HeadArrived(NamedTuple):
    """The answer's status came."""

    attempt: int
    status: int
    content_type: str


class ChunkArrived(NamedTuple):
    """A piece of the answer came."""

    attempt: int
    sequence: int
    """Counts the whole answer's chunks from 1, over all attempts."""

    data: bytes


class EndArrived(NamedTuple):
    """The answer's end came."""

    attempt: int
    total: int
    """Chunks of the whole answer."""


class TimePassed(NamedTuple):
    """A moment that the call asked to be woken at has come."""


class CallerLeft(NamedTuple):
    """The caller hung up."""


CallEvent: TypeAlias = (
    AttemptAccepted
    | AttemptRefused
    | AttemptFailed
    | HeadArrived
    | ChunkArrived
    | EndArrived
    | TimePassed
    | CallerLeft
)


class SendAttempt(NamedTuple):
    """Send the request to an endpoint daemon."""

    attempt: int
    endpoint: str
    key: OrderKey | None
    resume_after: int
    """Chunks that the caller has already; the engine goes on after them."""


class CancelAttempt(NamedTuple):
    """Tell the endpoint daemon that nobody waits for an attempt."""

    attempt: int
    endpoint: str


class DeliverHead(NamedTuple):
    """Give the status to the caller."""

    status: int
    content_type: str


class DeliverChunk(NamedTuple):
    """Give a chunk to the caller."""

    sequence: int
    data: bytes


class FinishCall(NamedTuple):
    """Give the final word to the caller."""

    outcome: Outcome
    reason: Reason | None
    retry_at: Instant
    """When to come back; 0 when there is no need."""

    delivered: int
    """Chunks delivered."""

    key: OrderKey | None
    fresh: OrderKey | None = None
    """For an order that did not run: a key for a home that answers now."""


CallAction: TypeAlias = (
    SendAttempt | CancelAttempt | DeliverHead | DeliverChunk | FinishCall
)

CallActions: TypeAlias = tuple[CallAction, ...]
"""What to do, in order."""
