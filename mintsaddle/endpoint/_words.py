"""What an endpoint daemon says to an entry about one attempt."""

from typing import NamedTuple, TypeAlias

from mintsaddle.values import Reason, Refusal


class Accepted(NamedTuple):
    """Admitted or queued."""


class Refused(NamedTuple):
    """Not run here."""

    refusal: Refusal


class Head(NamedTuple):
    """The answer's status."""

    status: int
    content_type: str


class Chunk(NamedTuple):
    """A piece of the answer, counted over the whole answer from 1."""

    sequence: int
    data: bytes


class End(NamedTuple):
    """The answer's end."""

    total: int


class Broken(NamedTuple):
    """The engine broke the answer off."""

    reason: Reason


Word: TypeAlias = Accepted | Refused | Head | Chunk | End | Broken


def is_final(word: Word) -> bool:
    """Return whether nothing follows a word."""
    return isinstance(word, Refused | End | Broken)
