"""Kept connections: used again when sound, given up at the first doubt."""

import contextlib
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
from mintsaddle.direct._exchange import Exchange, read_body
from mintsaddle.direct._pool import ConnectionPool
from mintsaddle.direct.tests.clocks import Clock

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT = 5.0


class Script(NamedTuple):
    """What an endpoint does with one request."""

    answer: bytes = ANSWER
    closes: bool = False


class Endpoint:
    """Answers each request by the next script, or well."""

    def __init__(self) -> None:
        self.scripts: list[Script] = []
        self.connections = 0
        self.requests = 0
        self._open: list[socket.socket] = []
        self._server = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.getsockname()[1]}"

    def send_late(self, data: bytes) -> None:
        """Send bytes that answer no request, on the newest connection."""
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
                script = self.scripts.pop(0) if self.scripts else Script()
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


def make_run(endpoint: Endpoint, name: str = "i-1") -> Incarnation:
    return Incarnation(name, "desk", endpoint.address, "a", 6, False, 0.0, 1)


def ask(exchange: Exchange) -> bytes:
    assert exchange.connect()
    response = exchange.send("GET", "/x", [], b"", TIMEOUT)
    return read_body(response)


def wait_readable(exchange: Exchange) -> None:
    """Wait until what the endpoint sent last has arrived."""
    stop = threading.Event()
    for _ in range(500):
        if not exchange.is_quiet():
            return
        stop.wait(0.01)
    raise AssertionError("nothing arrived")


class TestReuse:
    def test_a_sound_connection_is_used_again(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        run = make_run(endpoint)
        exchange = Exchange(endpoint.address)
        assert ask(exchange) == b"ok"
        pool.give(run, exchange, 3.0)
        assert pool.has_idle("i-1")
        again = pool.take(run)
        assert again is exchange
        assert again.is_kept
        assert ask(again) == b"ok"
        assert (endpoint.connections, endpoint.requests) == (1, 2)

    def test_another_run_at_the_address_gets_a_fresh_one(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        exchange = Exchange(endpoint.address)
        ask(exchange)
        pool.give(make_run(endpoint, "i-1"), exchange, 3.0)
        assert pool.take(make_run(endpoint, "i-2")) is None

    def test_what_is_too_old_isnt_used(
        self, endpoint: Endpoint, pool: ConnectionPool, clock: Clock
    ) -> None:
        exchange = Exchange(endpoint.address)
        ask(exchange)
        pool.give(make_run(endpoint), exchange, 3.0)
        clock.now += 3.1
        assert pool.take(make_run(endpoint)) is None

    def test_what_leads_to_an_endpoint_that_is_gone_is_closed(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        exchange = Exchange(endpoint.address)
        ask(exchange)
        pool.give(make_run(endpoint), exchange, 3.0)
        pool.sweep(["i-2"])
        assert not pool.has_idle("i-1")
        assert not exchange.is_quiet()

    def test_few_are_kept(self, endpoint: Endpoint, pool: ConnectionPool) -> None:
        exchanges = [
            Exchange(endpoint.address) for _ in range(MAX_IDLE_CONNECTIONS + 2)
        ]
        for exchange in exchanges:
            ask(exchange)
            pool.give(make_run(endpoint), exchange, 3.0)
        assert not any(one.is_quiet() for one in exchanges[:2])
        taken = [pool.take(make_run(endpoint)) for _ in range(MAX_IDLE_CONNECTIONS + 1)]
        assert taken == [*reversed(exchanges[2:]), None]

    @pytest.mark.parametrize(
        ("told", "seconds"), [(None, 2.0), (0.0, 0.0), (5.0, 4.5), (0.3, 0.0)]
    )
    def test_it_is_given_up_before_the_endpoint_closes_it(
        self, told: float | None, seconds: float
    ) -> None:
        assert idle_limit_seconds(told) == seconds


class TestDoubt:
    def test_bytes_after_an_answer_spoil_the_connection(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        """Guards against an answer that belongs to another request."""
        exchange = Exchange(endpoint.address)
        ask(exchange)
        endpoint.send_late(ANSWER)
        wait_readable(exchange)
        pool.give(make_run(endpoint), exchange, 3.0)
        assert pool.take(make_run(endpoint)) is None

    def test_bytes_that_come_while_it_is_idle_spoil_it_too(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        exchange = Exchange(endpoint.address)
        ask(exchange)
        pool.give(make_run(endpoint), exchange, 3.0)
        endpoint.send_late(ANSWER)
        wait_readable(exchange)
        assert pool.take(make_run(endpoint)) is None

    def test_an_answer_that_was_not_read_whole_spoils_it(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        exchange = Exchange(endpoint.address)
        assert exchange.connect()
        response = exchange.send("GET", "/x", [], b"", TIMEOUT)
        assert response.read(1) == b"o"
        pool.give(make_run(endpoint), exchange, 3.0)
        assert pool.take(make_run(endpoint)) is None

    def test_a_connection_closed_by_its_endpoint_isnt_used(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        endpoint.scripts = [Script(closes=True)]
        exchange = Exchange(endpoint.address)
        ask(exchange)
        wait_readable(exchange)
        pool.give(make_run(endpoint), exchange, 3.0)
        assert pool.take(make_run(endpoint)) is None

    def test_a_reset_on_a_kept_connection_is_repeated_on_a_fresh_one(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        """Guards against a request lost to an idle time-out."""
        exchange = Exchange(endpoint.address)
        ask(exchange)
        pool.give(make_run(endpoint), exchange, 3.0)
        kept = pool.take(make_run(endpoint))
        assert kept is not None
        endpoint.scripts = [Script(answer=b"", closes=True)]
        assert ask(kept) == b"ok"
        assert not kept.is_kept
        assert endpoint.connections == 2

    def test_a_fresh_connection_that_breaks_is_not_repeated(
        self, endpoint: Endpoint
    ) -> None:
        endpoint.scripts = [Script(answer=b"", closes=True)]
        exchange = Exchange(endpoint.address)
        with pytest.raises(ConnectionError):
            ask(exchange)
        assert endpoint.requests == 1

    def test_an_aborted_connection_is_neither_kept_nor_repeated(
        self, endpoint: Endpoint, pool: ConnectionPool
    ) -> None:
        exchange = Exchange(endpoint.address)
        ask(exchange)
        exchange.abort()
        pool.give(make_run(endpoint), exchange, 3.0)
        assert pool.take(make_run(endpoint)) is None
