"""One HTTP call to an engine: response head, body chunks and result."""

import http.client
import socket
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple, TypeAlias

from mintsaddle.engines._responses import StrictResponse
from mintsaddle.engines._sockets import shut_down
from mintsaddle.values import read_digits

EVENT_STREAM = "text/event-stream"

MAX_BODY_BYTES = 16 * 1_048_576
"""Largest body that isn't a stream."""

MAX_EVENT_BYTES = 262_144
"""Largest event. An event holds what an engine generates in one step."""

_BLOCK_BYTES = 65_536
_EVENT_SEPARATOR = b"\n\n"
_END_EVENT_PREFIX = b"event: end\n"
_DONE_EVENT_PREFIX = b"data: [DONE]"


class EngineRequest(NamedTuple):
    """An HTTP request to the engine."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    silence_timeout: float
    """Maximum number of seconds without data on the connection."""


class EngineHead(NamedTuple):
    """Status code and relevant headers of the engine's response."""

    status: int
    content_type: str
    boot: int | None


class EngineCallResult(NamedTuple):
    """The result of a call."""

    reached: bool
    """Whether any byte of the request may have reached the engine."""

    is_complete: bool
    """Whether the response was received to its end."""

    chunk_count: int
    """Number of chunks passed to the callback."""


HeadCallback: TypeAlias = Callable[[EngineHead], None]
ChunkCallback: TypeAlias = Callable[[bytes], None]


class EngineCall:
    """A call that runs in one thread and can be cancelled from another."""

    def __init__(self, address: str, request: EngineRequest) -> None:
        self._request = request
        # Each call opens a new connection: a write on a persistent one
        # that the engine has closed doesn't show whether the request arrived,
        # which would leave an order in doubt.
        self._connection = http.client.HTTPConnection(
            address, timeout=request.silence_timeout
        )
        self._connection.response_class = StrictResponse
        self._socket: socket.socket | None = None
        self._cancelled = False

    def run(self, on_head: HeadCallback, on_chunk: ChunkCallback) -> EngineCallResult:
        """Send the request and pass the response to the callbacks."""
        try:
            self._connection.connect()
        except OSError:
            return EngineCallResult(reached=False, is_complete=False, chunk_count=0)
        # http.client drops its reference to the socket when a response without
        # a length starts; ``cancel`` needs the socket to stop the stream.
        self._socket = self._connection.sock
        count = 0
        try:
            # Cancelled before any byte was sent to the engine.
            if self._cancelled:
                return EngineCallResult(reached=False, is_complete=False, chunk_count=0)
            with self._send() as response:
                on_head(_read_head(response))
                for chunk in _read_chunks(response, lambda: self._cancelled):
                    if chunk is None:
                        return EngineCallResult(
                            reached=True, is_complete=True, chunk_count=count
                        )
                    count += 1
                    on_chunk(chunk)
        except (OSError, http.client.HTTPException):
            return EngineCallResult(reached=True, is_complete=False, chunk_count=count)
        finally:
            self._connection.close()
        return EngineCallResult(reached=True, is_complete=False, chunk_count=count)

    def cancel(self) -> None:
        """Shut the connection down, so that the engine stops its work."""
        self._cancelled = True
        shut_down(self._socket)

    def _send(self) -> StrictResponse:
        request = self._request
        self._connection.request(
            request.method, request.path, request.body, dict(request.headers)
        )
        response = self._connection.getresponse()
        assert isinstance(response, StrictResponse)
        return response


def _read_head(response: http.client.HTTPResponse) -> EngineHead:
    return EngineHead(
        response.status,
        response.headers.get("Content-Type", "application/octet-stream"),
        read_digits(response.headers.get("Engine-Boot", "")),
    )


def _read_chunks(
    response: StrictResponse, is_cancelled: Callable[[], bool]
) -> Iterator[bytes | None]:
    """Yield the chunks, then None if the response is complete."""
    has_marked_end = response.has_marked_end
    content_type = response.headers.get("Content-Type", "")
    if content_type.startswith(EVENT_STREAM):
        yield from _read_events(response)
        return
    size = 0
    while block := response.read(_BLOCK_BYTES):
        size += len(block)
        if size > MAX_BODY_BYTES:
            return
        yield block
    # When reading in blocks, http.client doesn't report a truncated body; the
    # remaining length shows it. Cancelling also ends the connection.
    if not response.length and (has_marked_end or not is_cancelled()):
        yield None


def _read_events(response: http.client.HTTPResponse) -> Iterator[bytes | None]:
    """Yield each server-sent event, then None for the engine's end event.

    A stream without an end event was truncated, even if the connection closed
    cleanly.
    """
    rest = b""
    while True:
        block = response.read1(_BLOCK_BYTES)
        if not block:
            return
        *events, rest = (rest + block).split(_EVENT_SEPARATOR)
        if len(rest) > MAX_EVENT_BYTES:
            return
        for event in events:
            if event.startswith((_END_EVENT_PREFIX, _DONE_EVENT_PREFIX)):
                yield None
                return
            yield event + _EVENT_SEPARATOR
