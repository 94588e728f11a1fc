"""Connections of callers while the server closes some of them."""

import contextlib
import itertools
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from mintsaddle.callers import _connections
from mintsaddle.callers._server import CallerServer
from mintsaddle.decisions.direct import CallerLimits
from mintsaddle.platform.tests.standins import free_ports, wait_for
from mintsaddle.process import Supervisor

LIMITS = CallerLimits(
    header_bytes=16_384, body_bytes=4_194_304, header_seconds=3.0, idle_seconds=15.0
)
MAX_CONNECTIONS = 20
BLOCK = bytes(65_536)
SEND_BUFFER_BYTES = 4_096
CALLERS = 8


class RunningServer:
    """A server with its application, and what the application has begun."""

    def __init__(
        self,
        produce: Callable[["RunningServer"], Iterator[bytes]],
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        self._produce = produce
        self._headers = headers or []
        self.begun: set[str] = set()
        self.tells_to_close = False
        self.sent_bytes = 0
        self.ended = threading.Event()
        (self.port,) = free_ports(1)
        self.server = CallerServer(
            self._answer,
            f"127.0.0.1:{self.port}",
            lambda: self.tells_to_close,
            max_callers=100,
            max_connections=MAX_CONNECTIONS,
            record_cut=lambda cut: None,
        )
        self.server.set_limits(LIMITS)
        # Connections inherit it; with the usual size, the kernel takes what is
        # left of an answer as soon as the caller reads on.
        listener = self.server._server.socket
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.server.start(Supervisor())

    def _answer(self, environ: dict[str, Any], start: Any) -> Iterator[bytes]:
        self.begun.add(environ["PATH_INFO"])
        environ["wsgi.input"].read()
        start("200 OK", self._headers)
        yield from self._produce(self)
        self.ended.set()

    def connect(self, receive_bytes: int | None = None) -> socket.socket:
        """Return a connection.

        Args:
            receive_bytes: Size of its receive buffer.
        """
        connection = socket.socket()
        connection.settimeout(10.0)
        if receive_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        connection.connect(("127.0.0.1", self.port))
        return connection


def request_bytes(path: str, body: bytes = b"") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def read_all(connection: socket.socket, pause: float = 0.0) -> bytes:
    """Return what arrives until the end of the connection.

    Args:
        connection: The connection.
        pause: Seconds after each kilobyte.
    """
    parts = []
    with contextlib.suppress(ConnectionError):
        while data := connection.recv(1_024):
            parts.append(data)
            time.sleep(pause)
    return b"".join(parts)


def answer_briefly(_: RunningServer) -> Iterator[bytes]:
    yield b"answer"


def serve_briefly() -> RunningServer:
    """Return a server whose answers leave their connections open."""
    return RunningServer(answer_briefly, [("Content-Length", "6")])


def answer_until_unsent(running: RunningServer) -> Iterator[bytes]:
    """Yield blocks until the caller's connection takes no more of them."""
    while not is_stuck(running):
        running.sent_bytes += len(BLOCK)
        yield BLOCK


def is_stuck(running: RunningServer) -> bool:
    """Return whether bytes of answers stay unsent."""
    for _ in range(10):
        if not running.server.load.unsent_bytes:
            return False
        time.sleep(0.02)
    return True


def count_content(answer: bytes) -> int:
    """Return the number of bytes in whole chunks of an answer."""
    _, _, chunks = answer.partition(b"\r\n\r\n")
    size = 0
    while chunks:
        head, _, rest = chunks.partition(b"\r\n")
        length = int(head, 16)
        if len(rest) < length + 2:
            return size
        size += length
        chunks = rest[length + 2 :]
    return size


@pytest.fixture
def eager_threads() -> Iterator[None]:
    """Let threads take turns as often as possible."""
    interval = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    yield
    sys.setswitchinterval(interval)


class TestClosingIdleConnections:
    def test_a_request_that_was_read_is_answered(self, eager_threads: None) -> None:
        """Guards against a request that is read between check and close."""
        running = serve_briefly()
        numbers = itertools.count()
        unanswered: list[str] = []
        until = time.monotonic() + 4.0

        def close_repeatedly() -> None:
            while time.monotonic() < until:
                running.server.close_idle()
                time.sleep(0.0005)

        def call_repeatedly() -> None:
            while time.monotonic() < until:
                with running.connect() as connection:
                    path = call(connection)
                    while path is None and time.monotonic() < until:
                        path = call(connection)
                    unanswered.append(path or "")

        def call(connection: socket.socket) -> str | None:
            """Return the path of a request that ended without an answer."""
            path = f"/{next(numbers)}"
            with contextlib.suppress(ConnectionError):
                connection.sendall(request_bytes(path))
                answer = b""
                while data := connection.recv(65_536):
                    answer += data
                    if answer.endswith(b"\r\n\r\nanswer"):
                        return None
            return path

        threads = [threading.Thread(target=close_repeatedly)]
        threads += [threading.Thread(target=call_repeatedly) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert len(running.begun) > 50
        assert running.begun.intersection(unanswered) == set()


class TestUnsentAnswers:
    def check_whole(self, close: Callable[[RunningServer], object]) -> None:
        """Check that an answer is whole although its connection is closed."""
        running = RunningServer(answer_until_unsent)
        with running.connect(receive_bytes=16_384) as connection:
            connection.sendall(request_bytes("/large"))
            assert running.ended.wait(10.0)
            wait_for(lambda: not running.server.load.unanswered, "end of the request")
            close(running)
            time.sleep(2.5)
            answer = read_all(connection, pause=0.005)
        assert count_content(answer) == running.sent_bytes

    def test_closing_idle_connections_spares_them(self) -> None:
        """Guards against answers cut while an entry stops or is cut off."""
        self.check_whole(lambda running: running.server.close_idle())

    def test_a_shorter_idle_limit_spares_them(self) -> None:
        """Guards against answers cut by a configuration's idle limit."""
        limits = LIMITS._replace(idle_seconds=0.5)
        self.check_whole(lambda running: running.server.set_limits(limits))

    def test_a_crowd_of_connections_spares_them(self) -> None:
        """Guards against answers cut to make room for new connections."""
        with contextlib.ExitStack() as stack:

            def crowd(running: RunningServer) -> None:
                for _ in range(MAX_CONNECTIONS - 4):
                    stack.enter_context(running.connect())

            self.check_whole(crowd)

    def test_a_caller_that_reads_nothing_is_abandoned(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against connections that stay open for ever."""
        monkeypatch.setattr(_connections, "MIN_UNSENT_SECONDS", 0.5)
        running = RunningServer(answer_until_unsent)
        running.server.set_limits(LIMITS._replace(idle_seconds=0.5))
        with running.connect(receive_bytes=16_384) as connection:
            connection.sendall(request_bytes("/large"))
            assert running.ended.wait(10.0)
            wait_for(lambda: not running.server.load.connections, "closed connection")


class TestClock:
    def test_a_step_of_the_wall_clock_closes_nothing(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against requests dropped as if they had stopped arriving."""
        running = serve_briefly()
        running.tells_to_close = True
        with running.connect() as connection:
            whole = request_bytes("/1", b"body")
            connection.sendall(whole[:-2])
            wait_for(lambda: running.server.load.arriving == 1, "first part")
            step = 10 * LIMITS.idle_seconds
            real_time = time.time
            monkeypatch.setattr(time, "time", lambda: real_time() + step)
            time.sleep(1.5)
            connection.sendall(whole[-2:])
            assert read_all(connection).startswith(b"HTTP/1.1 200 OK")


class TestLongBodies:
    def test_a_long_body_needs_no_file(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against connections dropped where no file can be written."""

        def refuse_file(*_: object, **__: object) -> None:
            raise OSError("no space")

        monkeypatch.setattr(tempfile, "TemporaryFile", refuse_file)
        running = serve_briefly()
        running.tells_to_close = True
        with running.connect() as connection:
            with contextlib.suppress(ConnectionError):
                connection.sendall(request_bytes("/long", bytes(3_000_000)))
            assert read_all(connection).startswith(b"HTTP/1.1 200 OK")


class TestRequestsInARow:
    def test_each_request_of_a_connection_is_answered(self) -> None:
        """Guards against a request dropped behind one that closes."""
        running = serve_briefly()
        running.tells_to_close = True
        with running.connect() as connection:
            connection.sendall(request_bytes("/1") + request_bytes("/2"))
            assert read_all(connection).count(b"HTTP/1.1 200 OK") == 2
