"""Real entries that shut down while callers use their connections."""

import contextlib
import http.client
import signal
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import pytest

from mintsaddle.platform.tests import narrow_entry, standins
from mintsaddle.platform.tests.standins import Endpoint, Responder, Site, wait_for

LARGE_BYTES = 1_000_000
STOP_SECONDS = 8.0
"""The stop time in the settings of these entries."""

ACCEPT_SECONDS = 3.0
"""Seconds after SIGTERM for which the balancer may send callers."""

LATE_ACCEPT_SECONDS = ACCEPT_SECONDS + 0.6
LONG_DEADLINE_MS = 10_000
LATE_SECONDS = 6.0
"""Seconds after SIGTERM; before the process refuses every request."""

LATE_WORK_SECONDS = 2.0
"""Seconds that a request takes, beyond the end of the stop."""

PAUSED_CALLERS = 40
WAIT_BEYOND_STOP = "7.5"
"""Seconds: after the stop, and with its random part before the deadline."""


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    """Yield a site whose requests may take longer than a stop."""
    site = Site(tmp_path)
    site.module = narrow_entry.__name__
    for running in standins.run(site):
        configuration = standins.make_configuration(version=2)
        routes = configuration["routes"]
        assert isinstance(routes, list)
        for route in routes:
            route["timeout_ms"] = LONG_DEADLINE_MS
            route["target_latency_ms"] = LONG_DEADLINE_MS
        running.store.put("op/config", configuration)
        wait_for(partial(has_long_timeouts, running), "long timeouts")
        yield running


def has_long_timeouts(site: Site) -> bool:
    return "version=2" in site.entry.log()


def respond_after(seconds: float) -> Responder:
    """Return a responder that answers after some time."""

    def responder(endpoint: Endpoint, handler: standins._Handler) -> None:
        time.sleep(seconds)
        standins.respond_ok(endpoint, handler)

    return responder


def respond_large(endpoint: Endpoint, handler: standins._Handler) -> None:
    standins.begin_head(endpoint, handler)
    handler.send_header("Content-Length", str(LARGE_BYTES))
    handler.end_headers()
    handler.wfile.write(bytes(LARGE_BYTES))


def open_long(site: Site, method: str, path: str) -> http.client.HTTPConnection:
    """Send a request that has more time than a stop takes."""
    return site.entry.open(method, path, X_Mintsaddle_Deadline_Ms=str(LONG_DEADLINE_MS))


def open_slowly(site: Site) -> http.client.HTTPConnection:
    """Return a connection whose caller's host holds few unread bytes."""
    connection = http.client.HTTPConnection("127.0.0.1", site.entry.front)
    connection.sock = socket.socket()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
    connection.sock.settimeout(standins.WAIT_SECONDS)
    connection.sock.connect(("127.0.0.1", site.entry.front))
    return connection


def send_lookup(connection: http.client.HTTPConnection, attempt: str) -> None:
    """Send a request on an open connection."""
    headers = standins.make_caller_headers(attempt)
    connection.request("GET", "/lookup/1", headers=headers)


def stop_during_call(site: Site, seconds_left: float) -> http.client.HTTPConnection:
    """Stop an entry that serves a call; return after the time to accept.

    Args:
        site: The site.
        seconds_left: How long the call takes from then on.

    Returns:
        The caller's connection.
    """
    site.script(respond_after(LATE_ACCEPT_SECONDS + seconds_left))
    connection = open_long(site, "GET", "/lookup/1")
    wait_for(lambda: len(site.requests()) == 1, "request at an endpoint")
    site.entry.terminate()
    time.sleep(LATE_ACCEPT_SECONDS)
    return connection


def send_half(site: Site, **headers: str) -> http.client.HTTPConnection:
    """Send an order but for half of its body."""
    connection = http.client.HTTPConnection("127.0.0.1", site.entry.front)
    connection.putrequest("POST", "/order/1", skip_host=True)
    sent = {**standins.make_caller_headers("attempt-1"), "Content-Length": "8"}
    sent.update({name.replace("_", "-"): value for name, value in headers.items()})
    for name, value in sent.items():
        connection.putheader(name, value)
    connection.endheaders()
    connection.send(b"half")
    return connection


class TestSlowCallers:
    def test_a_caller_that_reads_slowly_gets_its_whole_answer(self, site: Site) -> None:
        """Guards against a process that ends with unsent bytes."""
        site.script(respond_large)
        connection = open_slowly(site)
        send_lookup(connection, "attempt-1")
        response = connection.getresponse()
        size = len(response.read(LARGE_BYTES // 100))
        site.entry.terminate()
        with contextlib.suppress(http.client.IncompleteRead, ConnectionError):
            while part := response.read(LARGE_BYTES // 100):
                size += len(part)
                time.sleep(0.05)
        assert size == LARGE_BYTES
        assert site.entry.process.wait(standins.WAIT_SECONDS) == 0

    def test_a_request_that_is_arriving_is_answered(self, site: Site) -> None:
        """Guards against a process that ends while a body arrives."""
        connection = send_half(site)
        site.entry.terminate()
        time.sleep(LATE_ACCEPT_SECONDS)
        connection.send(b"half")
        response = connection.getresponse()
        assert response.status == 200
        response.read()
        assert site.entry.process.wait(standins.WAIT_SECONDS) == 0


class TestLateCallers:
    def test_a_late_connection_is_not_left_unread(self, site: Site) -> None:
        """Guards against callers that wait for the end of the process."""
        slow = stop_during_call(site, 2.0)
        began_at = time.monotonic()
        with contextlib.suppress(OSError):
            site.entry.call("GET", "/lookup/2")
        assert time.monotonic() - began_at < 0.5
        assert slow.getresponse().status == 200

    def test_requests_sent_during_a_pause_are_answered(self, site: Site) -> None:
        """Guards against connections closed with unread requests."""
        connections = []
        for _ in range(PAUSED_CALLERS):
            connection = site.entry.open("GET", "/lookup/1")
            connection.getresponse().read()
            connections.append(connection)
        site.entry.terminate()
        time.sleep(ACCEPT_SECONDS - 0.5)
        site.entry.freeze()
        for connection in connections:
            send_lookup(connection, "attempt-2")
        time.sleep(1.0)
        site.entry.process.send_signal(signal.SIGCONT)

        def read_status(connection: http.client.HTTPConnection) -> int:
            try:
                return connection.getresponse().status
            except (ConnectionError, http.client.HTTPException):
                return 0

        with ThreadPoolExecutor(PAUSED_CALLERS) as pool:
            statuses = list(pool.map(read_status, connections))
        assert statuses == [200] * PAUSED_CALLERS

    def test_nobody_is_accepted_and_left(self, site: Site) -> None:
        """Guards against connections that only the kernel has accepted."""
        slow = stop_during_call(site, 1.0)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", site.entry.front), 1.0)
        assert slow.getresponse().status == 200


class TestLateRequests:
    """Requests that an entry has read whole only late in its stop."""

    def test_one_that_could_be_cut_is_refused(self, site: Site) -> None:
        """Guards against orders in doubt since their entry has ended."""
        site.script(respond_after(LATE_WORK_SECONDS))
        deadline = {"X_Mintsaddle_Deadline_Ms": str(LONG_DEADLINE_MS)}
        connection = send_half(site, **deadline)
        site.entry.terminate()
        time.sleep(LATE_SECONDS)
        connection.send(b"half")
        assert connection.getresponse().status == 503
        assert site.requests() == []

    def test_one_that_ends_in_time_is_answered(self, site: Site) -> None:
        connection = send_half(site, X_Mintsaddle_Deadline_Ms="800")
        site.entry.terminate()
        time.sleep(LATE_SECONDS)
        connection.send(b"half")
        assert connection.getresponse().status == 200


class TestEndOfTheStop:
    def test_a_waiting_request_is_refused(self, site: Site) -> None:
        """Guards against a process that ends while requests wait."""
        site.script(*[standins.ask_to_wait(WAIT_BEYOND_STOP)] * 2)
        assert open_long(site, "GET", "/lookup/1").getresponse().status == 503
        waiting = open_long(site, "GET", "/lookup/2")
        time.sleep(0.5)
        assert len(site.requests()) == 2
        site.entry.terminate()
        response = waiting.getresponse()
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0

    def test_an_unanswered_request_gets_an_answer(self, site: Site) -> None:
        """Guards against a connection that ends without any answer."""
        site.script(standins.never_respond)
        waiting = open_long(site, "POST", "/order/1")
        wait_for(lambda: len(site.requests()) == 1, "request at an endpoint")
        terminated_at = time.monotonic()
        site.entry.terminate()
        assert waiting.getresponse().status in (502, 504)
        assert site.entry.process.wait(standins.WAIT_SECONDS) == 0
        elapsed = time.monotonic() - terminated_at
        assert STOP_SECONDS * 5 / 6 < elapsed < STOP_SECONDS
