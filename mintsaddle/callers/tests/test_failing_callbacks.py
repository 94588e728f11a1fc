"""Exceptions in the loop that serves all connections."""

import contextlib
import errno
import http.client
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import pytest
from waitress.trigger import trigger

from mintsaddle.callers import CutConnection
from mintsaddle.callers._connections import CallerChannel
from mintsaddle.callers._listener import CallerListener
from mintsaddle.callers._server import CallerServer
from mintsaddle.platform.tests.standins import free_ports, wait_for
from mintsaddle.process import FailureLog, Supervisor

ERRORS = [
    RuntimeError("odd"),
    RecursionError(),
    MemoryError(),
    ValueError("file descriptor cannot be a negative integer (-1)"),
    OSError(errno.EINVAL, "Invalid argument"),
]
CALLBACKS = [
    "readable",
    "writable",
    "handle_read",
    "handle_write",
    "handle_close",
    "received",
    "is_inactive",
    "_describe_cut",
]
STAYING = {"handle_write", "is_inactive"}
"""Callbacks of connections whose caller stays."""

LARGE_BODY = bytes(8_388_608)
"""More than the kernel takes for a caller that doesn't read."""

CALLS = 5
CALL_SECONDS = 3.0
MAX_ACCEPTS = 12
"""Most attempts to accept in half a second, of which each is followed by a
pause of a tenth."""


class Running(NamedTuple):
    """A server that answers, and what it has recorded."""

    port: int
    server: CallerServer
    failures: FailureLog
    cuts: list[CutConnection]

    def call(self) -> int:
        """Return the status of a request on a new connection."""
        with self.connect() as connection:
            return request(connection)

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port), CALL_SECONDS)


def request(connection: socket.socket, path: str = "/quick") -> int:
    """Send a request and read its answer; return the status."""
    connection.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    response = http.client.HTTPResponse(connection)
    response.begin()
    response.read()
    return response.status


def read_all(connection: socket.socket) -> None:
    """Read until the connection is closed."""
    with contextlib.suppress(ConnectionError):
        while connection.recv(65_536):
            pass


def answer(environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
    if environ["PATH_INFO"] == "/slow":
        time.sleep(0.5)
    body = LARGE_BODY if environ["PATH_INFO"] == "/large" else b"whole"
    start("200 OK", [("Content-Length", str(len(body)))])
    return [body]


def run_server(record_cut: Callable[[CutConnection], None] | None = None) -> Running:
    (port,) = free_ports(1)
    failures, cuts = FailureLog(), list[CutConnection]()
    server = CallerServer(
        answer,
        f"127.0.0.1:{port}",
        lambda: False,
        max_callers=20,
        max_connections=50,
        record_cut=record_cut or cuts.append,
        failures=failures,
    )
    server.start(Supervisor(failures))
    return Running(port, server, failures, cuts)


@pytest.fixture
def running() -> Iterator[Running]:
    yield run_server()


def fail_for(
    monkeypatch: pytest.MonkeyPatch, name: str, error: Exception
) -> dict[int, bool]:
    """Let a callback fail for the connections whose ports are added."""
    ports: dict[int, bool] = {}
    plain = getattr(CallerChannel, name)

    def fail(channel: Any, *arguments: Any, **options: Any) -> Any:
        if channel.addr[1] in ports:
            ports[channel.addr[1]] = True
            raise error
        return plain(channel, *arguments, **options)

    monkeypatch.setattr(CallerChannel, name, fail)
    return ports


class TestConnections:
    @pytest.mark.parametrize("error", ERRORS, ids=lambda error: type(error).__name__)
    @pytest.mark.parametrize("name", CALLBACKS)
    def test_one_that_fails_costs_no_other(
        self,
        running: Running,
        monkeypatch: pytest.MonkeyPatch,
        name: str,
        error: Exception,
    ) -> None:
        """Guards against an exception of one connection that ends the loop."""
        ports = fail_for(monkeypatch, name, error)
        with running.connect() as kept, running.connect() as failing:
            assert request(kept) == 200
            assert request(failing) == 200
            ports[failing.getsockname()[1]] = False
            path = "large" if name == "handle_write" else "slow"
            failing.sendall(f"GET /{path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            time.sleep(0.1)
            if name == "handle_write":
                read_all(failing)
            if name not in STAYING:
                failing.close()
            for _ in range(CALLS):
                assert request(kept) == 200
                assert running.call() == 200
            wait_for(lambda: any(ports.values()), "failure")
            wait_for(lambda: running.server.load.connections <= 2, "closed connection")
        assert running.call() == 200
        assert running.failures.counts["callers"] >= 1

    def test_what_it_leaves_unanswered_is_recorded(
        self, running: Running, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        ports = fail_for(monkeypatch, "readable", RuntimeError())
        with running.connect() as failing:
            failing.sendall(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
            time.sleep(0.1)
            ports[failing.getsockname()[1]] = False
            assert running.call() == 200
            wait_for(lambda: bool(running.cuts), "recorded cut")
            assert failing.recv(100) == b""
        assert [(cut.reason.value, cut.requests) for cut in running.cuts] == [
            ("failure", 1)
        ]

    def test_one_whose_socket_was_closed_costs_no_other(self, running: Running) -> None:
        """Guards against a poll that fails by a descriptor of -1."""
        with running.connect() as kept, running.connect() as closed:
            assert request(kept) == 200
            assert request(closed) == 200
            port = closed.getsockname()[1]
            channels = running.server._upkeep.channels()
            (channel,) = [one for one in channels if one.addr[1] == port]
            channel.socket.close()
            for _ in range(CALLS):
                assert request(kept) == 200
                assert running.call() == 200


class TestRecordedCuts:
    def test_a_record_that_fails_costs_no_caller(self) -> None:
        """Guards against a log line that decides whether a loop runs on."""

        def fail(_: CutConnection) -> None:
            raise ValueError("Exceeds the limit for integer string conversion")

        running = run_server(record_cut=fail)
        for _ in range(CALLS):
            with running.connect() as leaving:
                leaving.sendall(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
                time.sleep(0.05)
            assert running.call() == 200
        wait_for(lambda: running.failures.counts["callers"] >= CALLS, "failures")
        assert running.call() == 200


class TestListener:
    def test_exhausted_descriptors_are_waited_for(
        self, running: Running, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a busy loop while nothing can be accepted."""
        attempts: list[float] = []
        with running.connect() as kept:
            assert request(kept) == 200
            with monkeypatch.context() as patch:

                def refuse(_: CallerListener) -> None:
                    attempts.append(time.monotonic())
                    raise OSError(errno.EMFILE, "Too many open files")

                patch.setattr(CallerListener, "accept", refuse)
                waiting = running.connect()
                end = time.monotonic() + 0.5
                while time.monotonic() < end:
                    assert request(kept) == 200
            with waiting:
                assert request(waiting) == 200
        assert 2 <= len(attempts) <= MAX_ACCEPTS

    def test_a_connection_that_cannot_be_set_up_costs_no_other(
        self, running: Running, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a listener that an exception closes for good."""
        plain = CallerChannel.__init__
        for error in ERRORS:
            with monkeypatch.context() as patch:
                failed: list[bool] = []

                def fail(
                    *arguments: Any,
                    _error: Exception = error,
                    _failed: list[bool] = failed,
                    **options: Any,
                ) -> None:
                    if not _failed:
                        _failed.append(True)
                        plain(*arguments, **options)
                        raise _error
                    plain(*arguments, **options)

                patch.setattr(CallerChannel, "__init__", fail)
                with running.connect() as refused:
                    assert refused.recv(100) == b""
                assert running.call() == 200
            assert running.call() == 200

    def test_upkeep_that_fails_costs_no_caller(
        self, running: Running, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail() -> None:
            raise RuntimeError

        for name in ("close_expired", "refuse_excess", "close_excess"):
            monkeypatch.setattr(running.server._upkeep, name, fail)
        wait_for(lambda: running.failures.counts.get("callers", 0) >= 3, "failures")
        assert running.call() == 200


class TestWakeUps:
    def test_one_that_fails_leaves_the_pipe_open(
        self, running: Running, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against answers that nothing sends at once any more."""
        plain = trigger.handle_read
        failed: list[bool] = []

        def fail(pipe: Any) -> None:
            if len(failed) < 3:
                failed.append(True)
                raise RuntimeError
            plain(pipe)

        monkeypatch.setattr(trigger, "handle_read", fail)
        end = time.monotonic() + CALL_SECONDS
        while len(failed) < 3 and time.monotonic() < end:
            assert running.call() == 200
        assert len(failed) == 3
        begun_at = time.monotonic()
        for _ in range(CALLS):
            assert running.call() == 200
        assert time.monotonic() - begun_at < CALL_SECONDS


class TestPasses:
    def test_one_that_fails_is_followed_by_another(
        self, running: Running, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a server that runs on without its loop."""
        failed: list[bool] = []

        def fail() -> None:
            failed.append(True)
            raise OSError(errno.ENOMEM, "Cannot allocate memory")

        with running.connect() as kept:
            assert request(kept) == 200
            with monkeypatch.context() as patch:
                patch.setattr("mintsaddle.callers._loop.select.poll", fail)
                kept.sendall(b"")
                wait_for(lambda: len(failed) > 1, "failed pass")
            assert request(kept) == 200
        assert running.call() == 200
