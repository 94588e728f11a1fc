"""What entries and rank agents send each other, one datagram each way.

Datagrams, since a kept connection may go silent for good without a reset; a
lost one is noticed by its missing reply. Packed JSON: an order holds a whole
map, and counts hold a number for each expert.
"""

import json
import zlib
from collections.abc import Sequence
from typing import Any, NamedTuple

MOST_BYTES = 1_048_576
"""Bytes of an unpacked message; guards against a datagram that would unpack to
more than the VM's memory."""

_PACK_LEVEL = 1
"""zlib's fastest; numbers shrink to a third at any level."""


class AgentMessageError(ValueError):
    """A datagram that isn't a message of this protocol."""


class RankCall(NamedTuple):
    """One HTTP request to an engine."""

    method: str
    path: str
    body: str = ""


class RankAnswer(NamedTuple):
    """An engine's whole answer."""

    status: int
    body: str = ""


NO_ANSWER = RankAnswer(0)
"""The engine gave no answer; it may have got the call all the same."""


class AgentRequest(NamedTuple):
    """Calls that an agent is to make to its engine, in this order."""

    number: int
    """Names the request in its reply."""

    calls: tuple[RankCall, ...]


class AgentReply(NamedTuple):
    """The engine's answers, in the order of the calls."""

    number: int
    answers: tuple[RankAnswer, ...]


def encode_request(request: AgentRequest) -> bytes:
    """Return the datagram that holds a request."""
    return _pack(request.number, request.calls)


def decode_request(data: bytes) -> AgentRequest:
    """Return the request in a datagram.

    Raises:
        AgentMessageError: The datagram holds none.
    """
    number, rows = _unpack(data)
    try:
        calls = tuple(RankCall(*map(str, row)) for row in rows)
    except TypeError as error:
        raise AgentMessageError(f"no calls: {error}") from error
    return AgentRequest(number, calls)


def encode_reply(reply: AgentReply) -> bytes:
    """Return the datagram that holds a reply."""
    return _pack(reply.number, reply.answers)


def decode_reply(data: bytes) -> AgentReply:
    """Return the reply in a datagram.

    Raises:
        AgentMessageError: The datagram holds none.
    """
    number, rows = _unpack(data)
    try:
        answers = tuple(RankAnswer(int(status), str(body)) for status, body in rows)
    except (TypeError, ValueError) as error:
        raise AgentMessageError(f"no answers: {error}") from error
    return AgentReply(number, answers)


def _pack(number: int, rows: Sequence[Any]) -> bytes:
    text = json.dumps([number, rows], separators=(",", ":"))
    return zlib.compress(text.encode(), _PACK_LEVEL)


def _unpack(data: bytes) -> tuple[int, list[Any]]:
    try:
        unpacker = zlib.decompressobj()
        number, rows = json.loads(unpacker.decompress(data, MOST_BYTES))
    except (zlib.error, ValueError, TypeError) as error:
        raise AgentMessageError(f"unreadable: {error}") from error
    if not isinstance(number, int) or not isinstance(rows, list):
        raise AgentMessageError("no number or no rows")
    return number, rows
