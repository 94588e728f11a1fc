"""Events that an endpoint daemon sends to an entry about one attempt."""

from typing import NamedTuple, TypeAlias

from mintsaddle.values import Reason, Refusal


class Accepted(NamedTuple):
    """The attempt was admitted or queued, or joined one with the same key."""


class Refused(NamedTuple):
    """The attempt isn't run here."""

    refusal: Refusal


class Head(NamedTuple):
    """Status and content type of the response."""

    status: int
    content_type: str


class Chunk(NamedTuple):
    """A piece of the response; numbered over the whole response from 1."""

    sequence: int
    data: bytes


class End(NamedTuple):
    """The response is complete."""

    total: int


class Broken(NamedTuple):
    """The engine aborted the response."""

    reason: Reason


ReplyEvent: TypeAlias = Accepted | Refused | Head | Chunk | End | Broken


def is_final(event: ReplyEvent) -> bool:
    """Return whether an event is the last one of its attempt."""
    return isinstance(event, Refused | End | Broken)
