"""Clients that send large, slow or odd requests, many at once.

A crowd runs in one thread. Each of its clients sends the blocks that a
generator yields, then stays with its connection open.
"""

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from functools import partial
from typing import NamedTuple, TypeAlias

from mintsaddle.platform.tests.standins import make_caller_headers

DRIP_SECONDS = 1.0
"""Seconds between the bytes of a client that only just keeps sending."""

BLOCK_BYTES = 65_536
SEND_BUFFER_BYTES = 65_536
"""Bytes that a client's own host takes before the entry reads them."""

WAIT = b""
"""Yielded by a client that pauses."""

Request: TypeAlias = Callable[[int], Iterator[bytes]]
"""Yields what the client with a number sends."""


def make_head(number: int, *lines: str, target: str = "POST /order/1") -> bytes:
    """Return the head of a request of the client with a number."""
    headers = make_caller_headers(f"hostile-{number}")
    names = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([f"{target} HTTP/1.1", *names, *lines, "", ""]).encode()


def _blocks(size: int, block: int = BLOCK_BYTES) -> Iterator[bytes]:
    while size > 0:
        yield b"b" * min(size, block)
        size -= block


def _drip(data: bytes) -> Iterator[bytes]:
    for offset in range(len(data)):
        yield WAIT
        yield data[offset : offset + 1]


def with_length(
    number: int,
    *,
    announced: int,
    sent: int,
    block: int = BLOCK_BYTES,
    lines: tuple[str, ...] = (),
    target: str = "POST /order/1",
) -> Iterator[bytes]:
    """Send a body with a length, or its beginning."""
    yield make_head(number, f"Content-Length: {announced}", *lines, target=target)
    yield from _blocks(sent, block)


def in_chunks(
    number: int,
    *,
    chunk: int,
    count: int,
    end: bytes,
    extension: bytes = b"",
    target: str = "POST /order/1",
) -> Iterator[bytes]:
    """Send a body in chunks of one size, then its end."""
    yield make_head(number, "Transfer-Encoding: chunked", target=target)
    one = b"%x%s\r\n%s\r\n" % (chunk, extension, b"b" * chunk)
    each = max(1, BLOCK_BYTES // len(one))
    while count > 0:
        yield one * min(each, count)
        count -= each
    yield end


def endless_line(number: int, *, before: bytes, size: int) -> Iterator[bytes]:
    """Send a line of a chunked body, or its trailers, that doesn't end."""
    yield make_head(number, "Transfer-Encoding: chunked")
    if before:
        yield before
    yield from _blocks(size)


def silent_body(number: int, *, announced: int) -> Iterator[bytes]:
    """Send the beginning of a body, and nothing more."""
    yield from with_length(number, announced=announced, sent=1_000)


def dripping_body(number: int, *, announced: int) -> Iterator[bytes]:
    """Send a body byte by byte."""
    yield from with_length(number, announced=announced, sent=1_000)
    yield from _drip(b"b" * 1_000)


def silent_head(number: int) -> Iterator[bytes]:
    """Send the beginning of a head, and nothing more."""
    yield make_head(number)[:-4]


def dripping_head(number: int) -> Iterator[bytes]:
    """Send a head byte by byte."""
    yield make_head(number)[:-2]
    yield from _drip(b"Note: " + b"n" * 1_000)


def many_headers(number: int, *, announced: int, size: int) -> Iterator[bytes]:
    """Send a head of very many short lines, then the beginning of a body."""
    lines = [f"{index:x}:" for index in range(size // 6)]
    yield make_head(number, f"Content-Length: {announced}", *lines)
    yield b"b"


def expecting(number: int, *, announced: int) -> Iterator[bytes]:
    """Ask whether to send a body, then send most of it."""
    line = "Expect: 100-continue"
    yield from with_length(
        number, announced=announced, sent=announced - 1, lines=(line,)
    )


def pipelined(number: int, *, size: int, count: int) -> Iterator[bytes]:
    """Send several whole requests without waiting for answers."""
    for index in range(count):
        yield from with_length(number * 1_000 + index, announced=size, sent=size)


def pipelined_heads(number: int, *, count: int) -> Iterator[bytes]:
    """Send very many requests without bodies, and wait for no answer."""
    names = "Host: desk.example", "Api-Key: good-key"
    lines = ["GET /lookup/1 HTTP/1.1", *names, f"X-Mintsaddle-Attempt-Id: {number}"]
    one = "\r\n".join([*lines, "", ""]).encode()
    each = BLOCK_BYTES // len(one)
    for _ in range(0, count, each):
        yield one * each


class _Client:
    """One connection of a crowd."""

    def __init__(self, address: tuple[str, int], blocks: Iterator[bytes]) -> None:
        self._blocks = blocks
        self._rest = memoryview(b"")
        self.resume_at = 0.0
        self.has_sent_all = False
        self.answer = b""
        self.was_reset = False
        self.is_open = True
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.socket.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.socket.connect(address)

    def send_some(self) -> int:
        """Send what the connection takes; return the number of bytes."""
        if not self._rest:
            block = next(self._blocks, None)
            if block is None:
                self.has_sent_all = True
                return 0
            if block is WAIT or not block:
                self.resume_at = time.monotonic() + DRIP_SECONDS
                return 0
            self._rest = memoryview(block)
        count = self.socket.send(self._rest)
        self._rest = self._rest[count:]
        return count

    def receive_some(self) -> None:
        data = self.socket.recv(BLOCK_BYTES)
        self.answer += data
        if not data:
            self.close()

    def close(self) -> None:
        self.is_open = False
        self.socket.close()


class Crowd:
    """Clients that send at once, each once; a context manager."""

    def __init__(
        self,
        port: int,
        count: int,
        request: Request,
        *,
        reads: bool = True,
        host: str = "127.0.0.1",
    ) -> None:
        """Connect all clients.

        Args:
            port: Port at which the process listens.
            count: Number of clients.
            request: What each of them sends.
            reads: Whether they read what they get.
            host: IP at which the process listens.
        """
        self._reads = reads
        address = (host, port)
        self._clients = [_Client(address, request(number)) for number in range(count)]
        self._progress_at = time.monotonic()
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def answers(self) -> list[bytes]:
        """What each client has received."""
        return [client.answer for client in self._clients]

    @property
    def statuses(self) -> list[str]:
        """Status codes of the first answers; empty without one."""
        return [answer[9:12].decode() for answer in self.answers]

    @property
    def resets(self) -> int:
        """Number of clients whose connection was reset."""
        return sum(client.was_reset for client in self._clients)

    def __enter__(self) -> "Crowd":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_stopped = True
        self._thread.join()
        for client in self._clients:
            client.close()

    def settle(self, quiet_seconds: float = 1.0, most_seconds: float = 10.0) -> None:
        """Wait until nothing more is sent or received, or for long enough."""
        deadline = time.monotonic() + most_seconds
        while time.monotonic() < deadline:
            if time.monotonic() - self._progress_at > quiet_seconds:
                return
            time.sleep(0.05)

    def _run(self) -> None:
        while not self._is_stopped:
            now = time.monotonic()
            poll = select.poll()
            by_descriptor = {}
            for client in self._clients:
                if not client.is_open:
                    continue
                flags = select.POLLIN if self._reads else 0
                if not client.has_sent_all and client.resume_at <= now:
                    flags |= select.POLLOUT
                poll.register(client.socket, flags)
                by_descriptor[client.socket.fileno()] = client
            for descriptor, flags in poll.poll(50):
                self._serve(by_descriptor[descriptor], flags)
            if not by_descriptor:
                time.sleep(0.05)

    def _serve(self, client: _Client, flags: int) -> None:
        try:
            if flags & select.POLLIN:
                client.receive_some()
                self._progress_at = time.monotonic()
                flags &= select.POLLOUT
            if flags & select.POLLOUT and client.is_open:
                if client.send_some():
                    self._progress_at = time.monotonic()
            elif flags & (select.POLLERR | select.POLLHUP):
                client.socket.recv(1)
                client.close()
        except BlockingIOError:
            return
        except OSError:
            client.was_reset = True
            client.close()


class Kind(NamedTuple):
    """One kind of hostile request, and how many of them come at once."""

    clients: int
    request: Request


def body_kinds(body_bytes: int) -> dict[str, Kind]:
    """Return the kinds of hostile bodies by name.

    Args:
        body_bytes: The largest body that the operator allows.
    """
    short, end = b"", b"0\r\n\r\n"
    half = body_bytes // 2 - 16
    piece = 4_096
    whole = partial(with_length, announced=body_bytes - 1, sent=body_bytes - 1)
    unfinished = partial(with_length, announced=body_bytes - 1, sent=body_bytes - 2)
    two = partial(in_chunks, chunk=half, count=2)
    small = partial(in_chunks, chunk=1, count=body_bytes)
    fair = partial(in_chunks, chunk=1_000, count=body_bytes // 1_100)
    far = 100_000_000
    return {
        "whole": Kind(60, whole),
        "whole-in-pieces": Kind(60, partial(whole, block=piece)),
        "one-byte-short": Kind(60, unfinished),
        "one-byte-short-in-pieces": Kind(60, partial(unfinished, block=piece)),
        "two-chunks": Kind(60, partial(two, end=end)),
        "two-chunks-without-end": Kind(60, partial(two, end=short)),
        "chunks-of-a-kilobyte-without-end": Kind(60, partial(fair, end=short)),
        "chunks-of-one-byte": Kind(60, partial(small, end=end)),
        "chunks-of-one-byte-without-end": Kind(60, partial(small, end=short)),
        "announced-far-too-large": Kind(
            60, partial(with_length, announced=1_600_000_000, sent=body_bytes)
        ),
        "sent-far-too-large": Kind(
            20,
            partial(in_chunks, chunk=BLOCK_BYTES, count=far // BLOCK_BYTES, end=short),
        ),
        "endless-chunk-size": Kind(
            30, partial(endless_line, before=b"", size=far // 2)
        ),
        "endless-chunk-extension": Kind(
            30, partial(endless_line, before=b"1;a=", size=far // 2)
        ),
        "endless-trailer": Kind(
            30, partial(endless_line, before=b"0\r\nNote: ", size=far // 2)
        ),
        "long-extensions": Kind(
            30,
            partial(
                in_chunks,
                chunk=1,
                count=far // 2_000,
                end=short,
                extension=b";a=" + b"e" * 1_000,
            ),
        ),
        "many-headers": Kind(
            200, partial(many_headers, announced=body_bytes - 1, size=15_000)
        ),
        "expecting-to-continue": Kind(60, partial(expecting, announced=body_bytes - 1)),
        "pipelined": Kind(30, partial(pipelined, size=body_bytes - 1, count=4)),
        "pipelined-without-bodies": Kind(60, partial(pipelined_heads, count=2_000)),
        "without-a-key": Kind(60, partial(unfinished, lines=("Api-Key: wrong",))),
        "without-a-route": Kind(60, partial(unfinished, target="POST /nowhere/1")),
    }


def connection_kinds(body_bytes: int, count: int) -> dict[str, Kind]:
    """Return the kinds of requests that only hold connections, by name.

    Args:
        body_bytes: The largest body that the operator allows.
        count: Number of connections.
    """
    return {
        "silent-bodies": Kind(count, partial(silent_body, announced=body_bytes - 1)),
        "dripping-bodies": Kind(
            count, partial(dripping_body, announced=body_bytes - 1)
        ),
        "silent-heads": Kind(count, silent_head),
        "dripping-heads": Kind(count, dripping_head),
    }
