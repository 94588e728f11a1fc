"""Requests that wait behind others of their connection."""

import contextlib
import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest

from mintsaddle.callers import CallerServer
from mintsaddle.platform.tests.standins import free_ports, wait_for
from mintsaddle.process import Supervisor

MAX_CONNECTIONS = 20
MEMORY_MEGABYTES = 16.0
SEND_BUFFER_BYTES = 16_384
GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
LARGE_BODIES = 10
BODY_BYTES = 4_000_000
MAX_UNREAD_BYTES = 1_000_000


class BlockedServer:
    """A server whose application answers once it is allowed to."""

    def __init__(self) -> None:
        self.may_answer = threading.Event()
        self.paths: list[str] = []
        (port,) = free_ports(1)
        self.server = CallerServer(
            self._answer,
            f"127.0.0.1:{port}",
            lambda: False,
            max_callers=4,
            max_connections=MAX_CONNECTIONS,
            record_cut=lambda _: None,
            memory_megabytes=MEMORY_MEGABYTES,
        )
        self.server.start(Supervisor())
        self.connection = socket.socket()
        self.connection.settimeout(10.0)
        self.connection.connect(("127.0.0.1", port))

    def wait_for_answers(self, count: int) -> None:
        wait_for(lambda: len(self.paths) >= count, f"{count} answers")

    def _answer(self, environ: dict[str, Any], start: Any) -> list[bytes]:
        self.may_answer.wait(10.0)
        self.paths.append(environ["PATH_INFO"])
        start("200 OK", [("Content-Length", "1")])
        return [b"a"]


@pytest.fixture
def blocked() -> Iterator[BlockedServer]:
    server = BlockedServer()
    yield server
    server.may_answer.set()
    server.connection.close()


class TestRequestsAhead:
    def test_they_are_parsed_when_earlier_ones_are_answered(
        self, blocked: BlockedServer
    ) -> None:
        """Guards against memory for thousands of requests of one client."""
        blocked.connection.sendall(b"".join(GET % number for number in range(500)))
        wait_for(lambda: blocked.server.load.unanswered > 0, "first request")
        wait_for(lambda: blocked.server.load.arriving > 0, "requests behind it")
        assert blocked.server.load.unanswered <= 3
        blocked.may_answer.set()
        wait_for(lambda: len(blocked.paths) == 500, "all answers")
        assert blocked.paths == [f"/{number}" for number in range(500)]


class TestUnreadBytes:
    def test_few_wait_in_the_kernel(self, blocked: BlockedServer) -> None:
        """Guards against memory of the kernel for what isn't read."""
        # The kernel grows the buffer of a connection that is read fast.
        blocked.may_answer.set()
        for number in range(LARGE_BODIES):
            blocked.connection.sendall(POST % (number, BODY_BYTES))
            blocked.connection.sendall(b"b" * BODY_BYTES)
            blocked.wait_for_answers(number + 1)
        blocked.may_answer.clear()
        blocked.connection.sendall(GET % 1 + GET % 2)
        wait_for(lambda: blocked.server.load.unanswered == 2, "two requests")
        blocked.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        blocked.connection.settimeout(1.0)
        sent = 0
        with contextlib.suppress(TimeoutError):
            while sent < BODY_BYTES:
                sent += blocked.connection.send(b"b" * 65_536)
        assert sent <= MAX_UNREAD_BYTES, sent
