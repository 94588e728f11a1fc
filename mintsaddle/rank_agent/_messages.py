"""Messages between entries and rank agents: one datagram in each direction.

The protocol uses UDP because a persistent TCP connection may go silent for
good without a reset; the sender notices a lost datagram by the missing reply.
Messages are compressed JSON, since an order holds a whole expert map and
counts hold one number per expert.
"""

import json
import zlib
from collections.abc import Sequence
from typing import Any, NamedTuple

from mintsaddle.values import DECODING_ERRORS, load_json

MAX_MESSAGE_BYTES = 1_048_576
"""Maximum size of a decompressed message. Guards against a datagram that would
decompress to more than the VM's memory."""

MAX_CALLS = 16
"""Maximum number of calls in a request. The agent makes one at a time, and all
entries wait meanwhile; a switch of a map needs five at most."""

_COMPRESSION_LEVEL = 1
"""zlib's fastest level; numbers compress to a third of their size at any
level."""


class AgentMessageError(ValueError):
    """Raised when a datagram is not a valid message."""


class RankCall(NamedTuple):
    """One HTTP request to an engine."""

    method: str
    path: str
    body: str = ""


class RankResponse(NamedTuple):
    """An engine's complete HTTP response."""

    status: int
    body: str = ""


NO_RESPONSE = RankResponse(0)
"""The engine did not respond, though it may have received the call."""


class AgentRequest(NamedTuple):
    """Calls for an agent to make to its engine, in this order."""

    sequence_number: int
    """Repeated in the reply, to match it to the request."""

    calls: tuple[RankCall, ...]


class AgentReply(NamedTuple):
    """The engine's responses, in the order of the calls."""

    sequence_number: int
    responses: tuple[RankResponse, ...]


def encode_request(request: AgentRequest) -> bytes:
    """Return a request as a datagram."""
    return _encode(request.sequence_number, request.calls)


def decode_request(data: bytes) -> AgentRequest:
    """Return the request in a datagram.

    Raises:
        AgentMessageError: The datagram is not a valid request.
    """
    sequence_number, rows = _decode(data)
    if len(rows) > MAX_CALLS:
        raise AgentMessageError(f"{len(rows)} calls; at most {MAX_CALLS} are made")
    try:
        calls = tuple(RankCall(*map(str, row)) for row in rows)
    except DECODING_ERRORS as error:
        raise AgentMessageError(f"invalid calls: {error}") from error
    return AgentRequest(sequence_number, calls)


def encode_reply(reply: AgentReply) -> bytes:
    """Return a reply as a datagram."""
    return _encode(reply.sequence_number, reply.responses)


def decode_reply(data: bytes) -> AgentReply:
    """Return the reply in a datagram.

    Raises:
        AgentMessageError: The datagram is not a valid reply.
    """
    sequence_number, rows = _decode(data)
    try:
        responses = tuple(RankResponse(int(status), str(body)) for status, body in rows)
    except DECODING_ERRORS as error:
        raise AgentMessageError(f"invalid responses: {error}") from error
    return AgentReply(sequence_number, responses)


def _encode(sequence_number: int, rows: Sequence[Any]) -> bytes:
    text = json.dumps([sequence_number, rows], separators=(",", ":"))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def _decode(data: bytes) -> tuple[int, list[Any]]:
    try:
        decompressor = zlib.decompressobj()
        sequence_number, rows = load_json(
            decompressor.decompress(data, MAX_MESSAGE_BYTES)
        )
    except (zlib.error, *DECODING_ERRORS) as error:
        raise AgentMessageError(f"not compressed JSON: {error}") from error
    if not isinstance(sequence_number, int) or not isinstance(rows, list):
        raise AgentMessageError("not a sequence number followed by a list")
    return sequence_number, rows
