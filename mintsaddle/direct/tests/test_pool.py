"""Reuse of idle connections, and the cases in which it is unsafe."""

import contextlib
import http.client
import socket
import threading
from collections.abc import Iterator
from typing import NamedTuple

import pytest

from mintsaddle.decisions.direct import (
    MAX_IDLE_CONNECTIONS,
    Incarnation,
    idle_limit_seconds,
)
from mintsaddle.direct._answer_buffers import AnswerBuffers
from mintsaddle.direct._attempt import is_stale_break
from mintsaddle.direct._exchange import Exchange
from mintsaddle.direct._pool import ConnectionPool
from mintsaddle.direct._reading import read_body
from mintsaddle.direct.tests.clocks import Clock

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT = 5.0


class ScriptedAnswer(NamedTuple):
    """How the endpoint handles one request."""

    answer: bytes = ANSWER
    closes: bool = False


class Endpoint:
    """Answers each request by the next script, or normally without one."""

    def __init__(self) -> None:
        self.scripts: list[ScriptedAnswer] = []
        self.connections = 0
        self.requests = 0
        self._open: list[socket.socket] = []
        self._server = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.getsockname()[1]}"

    def send_late(self, data: bytes) -> None:
        """Send bytes that answer no request on the newest connection."""
        self._open[-1].sendall(data)

    def _accept(self) -> None:
        while True:
            connection, _ = self._server.accept()
            self.connections += 1
            self._open.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        # Tests close connections with unread bytes, which resets them.
        with contextlib.suppress(ConnectionError), connection:
            while connection.recv(65_536):
                self.requests += 1
                script = self.scripts.pop(0) if self.scripts else ScriptedAnswer()
                connection.sendall(script.answer)
                if script.closes:
                    return


@pytest.fixture
def endpoint() -> Endpoint:
    return Endpoint()


@pytest.fixture
def pool(clock: Clock) -> Iterator[ConnectionPool]:
    pool = ConnectionPool(clock)
    yield pool
    pool.sweep(())


def make_incarnation(endpoint: Endpoint, name: str = "i-1") -> Incarnation:
    return Incarnation(name, "desk", endpoint.address, "a", 6, False, 0.0, 1)


def send_request(exchange: Exchange) -> bytes:
    assert exchange.connect()
    response = exchange.send("GET", "/x", [], (), TIMEOUT)
    buffer = AnswerBuffers(1.0).open(exchange.abort)
    return b"".join(read_body(response, buffer, lambda: exchange.aborted))


def wait_readable(exchange: Exchange) -> None:
    """Wait until the data that the endpoint sent last has arrived."""
    stop = threading.Event()
    for _ in range(500):
        if not exchange.is_reusable():
            return
        stop.wait(0.01)
    raise AssertionError("no data arrived within 5 s")


class TestReuse:
    def test_an_idle_connection_is_reused(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        incarnation = make_incarnation(endpoint)
        exchange = Exchange(endpoint.address)
        assert send_request(exchange) == b"ok"
        pool.release(incarnation, exchange, 3.0)
        assert pool.has_idle("i-1")
        again = pool.acquire(incarnation)
        assert again is exchange
        assert again.is_reused
        assert send_request(again) == b"ok"
        assert (endpoint.connections, endpoint.requests) == (1, 2)

    def test_another_run_at_the_address_gets_a_fresh_one(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        exchange = Exchange(endpoint.address)
        send_request(exchange)
        pool.release(make_incarnation(endpoint, "i-1"), exchange, 3.0)
        assert pool.acquire(make_incarnation(endpoint, "i-2")) is None

    def test_what_is_too_old_isnt_used(
        self, endpoint: Endpoint, pool: ConnectionPool, clock: Clock
    ) -> None:
        exchange = Exchange(endpoint.address)
        send_request(exchange)
        pool.release(make_incarnation(endpoint), exchange, 3.0)
        clock.now += 3.1
        assert pool.acquire(make_incarnation(endpoint)) is None

    def test_what_leads_to_an_endpoint_that_is_gone_is_closed(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        exchange = Exchange(endpoint.address)
        send_request(exchange)
        pool.release(make_incarnation(endpoint), exchange, 3.0)
        pool.sweep(["i-2"])
        assert not pool.has_idle("i-1")
        assert not exchange.is_reusable()

    def test_few_are_kept(self, endpoint: Endpoint, pool: ConnectionPool) -> None:
        exchanges = [
            Exchange(endpoint.address) for _ in range(MAX_IDLE_CONNECTIONS + 2)
        ]
        for exchange in exchanges:
            send_request(exchange)
            pool.release(make_incarnation(endpoint), exchange, 3.0)
        assert not any(one.is_reusable() for one in exchanges[:2])
        taken = [
            pool.acquire(make_incarnation(endpoint))
            for _ in range(MAX_IDLE_CONNECTIONS + 1)
        ]
        assert taken == [*reversed(exchanges[2:]), None]

    @pytest.mark.parametrize(
        ("reported", "seconds"), [(None, 2.0), (0.0, 0.0), (5.0, 4.5), (0.3, 0.0)]
    )
    def test_it_is_given_up_before_the_endpoint_closes_it(
        self, reported: float | None, seconds: float
    ) -> None:
        assert idle_limit_seconds(reported) == seconds


class TestStaleBreaks:
    @pytest.mark.parametrize(
        ("is_reused", "error", "seconds", "expected"),
        [
            (True, ConnectionResetError(), 0.01, True),
            (True, http.client.RemoteDisconnected("closed"), 0.01, True),
            (True, ConnectionResetError(), 2.4, False),
            (True, TimeoutError(), 0.01, False),
            (True, http.client.IncompleteRead(b""), 0.01, False),
            (False, ConnectionResetError(), 0.01, False),
        ],
    )
    def test_only_a_reused_connection_that_breaks_at_once_was_idle_too_long(
        self, is_reused: bool, error: Exception, seconds: float, expected: bool
    ) -> None:
        assert is_stale_break(is_reused, error, seconds) is expected


class TestUnusableConnections:
    def test_bytes_after_an_answer_make_the_connection_unusable(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        """Guards against a request that gets the answer to an earlier one."""
        exchange = Exchange(endpoint.address)
        send_request(exchange)
        endpoint.send_late(ANSWER)
        wait_readable(exchange)
        pool.release(make_incarnation(endpoint), exchange, 3.0)
        assert pool.acquire(make_incarnation(endpoint)) is None

    def test_bytes_received_while_idle_make_it_unusable(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        exchange = Exchange(endpoint.address)
        send_request(exchange)
        pool.release(make_incarnation(endpoint), exchange, 3.0)
        endpoint.send_late(ANSWER)
        wait_readable(exchange)
        assert pool.acquire(make_incarnation(endpoint)) is None

    def test_an_answer_that_was_read_partially_makes_it_unusable(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        exchange = Exchange(endpoint.address)
        assert exchange.connect()
        response = exchange.send("GET", "/x", [], (), TIMEOUT)
        assert response.read(1) == b"o"
        pool.release(make_incarnation(endpoint), exchange, 3.0)
        assert pool.acquire(make_incarnation(endpoint)) is None

    def test_a_connection_closed_by_its_endpoint_isnt_used(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        endpoint.scripts = [ScriptedAnswer(closes=True)]
        exchange = Exchange(endpoint.address)
        send_request(exchange)
        wait_readable(exchange)
        pool.release(make_incarnation(endpoint), exchange, 3.0)
        assert pool.acquire(make_incarnation(endpoint)) is None

    def test_a_request_is_sent_once_over_a_kept_connection_that_breaks(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        """Guards against repeats that no limit on retries applies to."""
        exchange = Exchange(endpoint.address)
        send_request(exchange)
        pool.release(make_incarnation(endpoint), exchange, 3.0)
        reused = pool.acquire(make_incarnation(endpoint))
        assert reused is not None
        endpoint.scripts = [ScriptedAnswer(answer=b"", closes=True)]
        with pytest.raises(ConnectionError):
            send_request(reused)
        assert (endpoint.connections, endpoint.requests) == (1, 2)

    def test_a_fresh_connection_that_breaks_is_not_repeated(
        self, endpoint: Endpoint
    ) -> None:
        endpoint.scripts = [ScriptedAnswer(answer=b"", closes=True)]
        exchange = Exchange(endpoint.address)
        with pytest.raises(ConnectionError):
            send_request(exchange)
        assert endpoint.requests == 1

    def test_an_aborted_connection_is_neither_kept_nor_repeated(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        exchange = Exchange(endpoint.address)
        send_request(exchange)
        exchange.abort()
        pool.release(make_incarnation(endpoint), exchange, 3.0)
        assert pool.acquire(make_incarnation(endpoint)) is None
