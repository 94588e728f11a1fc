"""One call to an engine: its head, its chunks, and how it ended."""

import http.client
import socket
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple, TypeAlias

from mintsaddle.engines._sockets import shut_down

EVENT_STREAM = "text/event-stream"

_BLOCK = 65_536
_EVENT_END = b"\n\n"
_END_EVENT = b"event: end\n"
_END_DATA = b"data: [DONE]"


class EngineRequest(NamedTuple):
    """What is sent to the engine."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    deadline: float
    """Seconds that the connection may stay silent."""


class EngineHead(NamedTuple):
    """The engine's status line and the headers that matter."""

    status: int
    content_type: str
    boot: int | None


class EngineEnd(NamedTuple):
    """How a call ended."""

    reached: bool
    """Whether any byte of the request may have reached the engine."""

    whole: bool
    """Whether the answer came to its end."""

    chunks: int
    """Chunks given on."""


OnHead: TypeAlias = Callable[[EngineHead], None]
OnChunk: TypeAlias = Callable[[bytes], None]


class EngineCall:
    """One call, run in a worker thread and cancelled from another one."""

    def __init__(self, address: str, request: EngineRequest) -> None:
        self._request = request
        # A connection of its own for each call: a write on a kept-alive one
        # that the engine has closed can't tell whether the request arrived,
        # which would leave an order in doubt.
        self._connection = http.client.HTTPConnection(address, timeout=request.deadline)
        self._socket: socket.socket | None = None
        self._cancelled = False

    def run(self, on_head: OnHead, on_chunk: OnChunk) -> EngineEnd:
        """Send the request and give on what comes back."""
        try:
            self._connection.connect()
        except OSError:
            return EngineEnd(reached=False, whole=False, chunks=0)
        # http.client forgets the socket once an answer without a length has
        # begun; without it a cancelled stream would run on in the engine.
        self._socket = self._connection.sock
        count = 0
        try:
            # Cancelled before the first byte left: the engine never saw it.
            if self._cancelled:
                return EngineEnd(reached=False, whole=False, chunks=0)
            with self._send() as response:
                on_head(_read_head(response))
                for chunk in _read_chunks(response):
                    if chunk is None:
                        return EngineEnd(reached=True, whole=True, chunks=count)
                    count += 1
                    on_chunk(chunk)
        except (OSError, http.client.HTTPException):
            return EngineEnd(reached=True, whole=False, chunks=count)
        finally:
            self._connection.close()
        return EngineEnd(reached=True, whole=False, chunks=count)

    def cancel(self) -> None:
        """Break the connection, which tells the engine to stop."""
        self._cancelled = True
        shut_down(self._socket)

    def _send(self) -> http.client.HTTPResponse:
        request = self._request
        self._connection.request(
            request.method, request.path, request.body, dict(request.headers)
        )
        return self._connection.getresponse()


def _read_head(response: http.client.HTTPResponse) -> EngineHead:
    boot = response.headers.get("Engine-Boot", "")
    return EngineHead(
        response.status,
        response.headers.get("Content-Type", "application/octet-stream"),
        int(boot) if boot.isdecimal() else None,
    )


def _read_chunks(response: http.client.HTTPResponse) -> Iterator[bytes | None]:
    """Give the chunks and then None; an answer that is cut gives no None."""
    content_type = response.headers.get("Content-Type", "")
    if content_type.startswith(EVENT_STREAM):
        yield from _read_events(response)
        return
    block = response.read(_BLOCK)
    while block:
        yield block
        block = response.read(_BLOCK)
    # Read in blocks, http.client ends a body that was cut like a whole one;
    # what is left of its length tells them apart.
    if not response.length:
        yield None


def _read_events(response: http.client.HTTPResponse) -> Iterator[bytes | None]:
    """Give each server-sent event; the engine's end event becomes None.

    A stream that ends without it was cut, however cleanly the connection
    closed.
    """
    rest = b""
    while True:
        block = response.read1(_BLOCK)
        if not block:
            return
        *events, rest = (rest + block).split(_EVENT_END)
        for event in events:
            if event.startswith((_END_EVENT, _END_DATA)):
                yield None
                return
            yield event + _EVENT_END
