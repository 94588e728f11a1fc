"""Endpoints that send bytes without end, in a head or a body."""

import http.client
import re
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.pouring_endpoints import RESPONDERS
from mintsaddle.platform.tests.standins import (
    Endpoint,
    Entry,
    Site,
    make_announcement,
    make_configuration,
    wait_for,
)

MEMORY_MEGABYTES = 200
"""Limit in the settings of the entry."""

OBJECTIVE_SECONDS = 0.4
"""Latency objective of the routes."""

DEADLINE_MS = "1500"
CALLERS = 18
ROUNDS = 2
OTHERS = 30


class WellSite(Site):
    """A site with two endpoints of one service, and one of another."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.well = Endpoint("w-1")

    def start(self) -> None:
        """Publish both services."""
        super().start()
        configuration = make_configuration(version=2)
        routes: Any = configuration["routes"]
        services: Any = configuration["services"]
        routes.append(
            {**routes[0], "name": "well", "prefix": "/well/", "service": "well"}
        )
        services.append({**services[0], "name": "well"})
        self.store.put("servers/w-1", make_announcement(self.well, "well"))
        self.store.put("op/config", configuration)
        wait_for(lambda: "version=2" in self.entry.log(), "second service")
        # Two lookups, so that a thread and a connection are there.
        for _ in range(2):
            self.entry.call("GET", "/well/1")


@pytest.fixture
def site(tmp_path: Path) -> Iterator[WellSite]:
    yield from standins.run(WellSite(tmp_path))


@contextmanager
def run_pouring(site: WellSite, name: str) -> Iterator[None]:
    """Let endpoints of another process take the place of the site's own."""
    command = [sys.executable, "-m", "mintsaddle.platform.tests.pouring_endpoints"]
    process = subprocess.Popen(
        [*command, name], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        addresses = process.stdout.readline().split()
        for number, address in enumerate(addresses, 1):
            announcement = make_announcement(site.endpoints[0], "desk")
            announced = {**announcement, "address": address, "born": number}
            site.store.put(f"servers/e-{number}", announced)
        revision = site.store.revision
        wait_for(lambda: f"position={revision}" in site.entry.log(), "endpoints")
        yield
    finally:
        process.stdin.close()
        process.wait(standins.WAIT_SECONDS)
        process.stdout.close()


def read_peak_megabytes(entry: Entry) -> float:
    """Return the most memory that an entry has had so far."""
    status = Path(f"/proc/{entry.process.pid}/status").read_text()
    match = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert match is not None
    return int(match[1]) / 1024


def call_pouring(entry: Entry, path: str) -> int:
    """Return the status of a call; 0 if its answer was broken off."""
    method = "GET" if path.startswith("/lookup/") else "POST"
    try:
        return entry.call(method, path, X_Mintsaddle_Deadline_Ms=DEADLINE_MS)[0]
    except (http.client.HTTPException, OSError):
        return 0


def call_others(entry: Entry, times: list[float]) -> list[int]:
    """Call the other service; return the statuses."""
    statuses = []
    for number in range(OTHERS):
        began_at = time.monotonic()
        statuses.append(entry.call("GET", f"/well/{number}")[0])
        times.append(time.monotonic() - began_at)
        time.sleep(0.03)
    return statuses


class TestPouringEndpoints:
    @pytest.mark.parametrize("name", RESPONDERS)
    def test_they_cost_only_their_own_requests(self, site: WellSite, name: str) -> None:
        """Guards against an entry that one engine's bytes fill up."""
        for endpoint in site.endpoints:
            endpoint.responders = [RESPONDERS[name]] * 10_000
        paths = ("/lookup/1", "/order/1", "/letter/1")
        times: list[float] = []
        with ThreadPoolExecutor(CALLERS + 1) as pool:
            others = pool.submit(call_others, site.entry, times)
            calls = [
                pool.submit(call_pouring, site.entry, paths[number % len(paths)])
                for number in range(CALLERS * ROUNDS)
            ]
            statuses = {call.result() for call in calls}
            assert others.result() == [200] * OTHERS
        assert statuses <= {0, 502, 503, 504}
        assert read_peak_megabytes(site.entry) < MEMORY_MEGABYTES
        assert statistics.median(times) < OBJECTIVE_SECONDS
        assert site.entry.process.poll() is None

    def test_another_endpoint_answers_in_their_place(self, site: WellSite) -> None:
        """Guards against a repeatable request lost to an endless answer."""
        site.script(RESPONDERS["body"])
        status, _, body = site.entry.call("GET", "/lookup/1")
        assert (status, body[:12]) == (200, b"whole answer")

    def test_one_is_not_sent_the_request_again(self, site: WellSite) -> None:
        """Guards against a second head without end on a new connection."""
        for endpoint in site.endpoints:
            endpoint.responders = [standins.respond_ok, RESPONDERS["header"]]
        for _ in range(3):
            site.entry.call("GET", "/lookup/1", X_Mintsaddle_Deadline_Ms=DEADLINE_MS)
        assert all(len(endpoint.requests) <= 3 for endpoint in site.endpoints)


def respond_large(endpoint: Endpoint, handler: Any, *, size: int) -> None:
    """Send a large answer with a length."""
    standins.begin_head(endpoint, handler)
    handler.send_header("Content-Length", str(size))
    handler.end_headers()
    handler.wfile.write(b"y" * size)


class TestLargeAnswers:
    @pytest.mark.parametrize("size", [8_191, 8_192, 8_193, 73_728, 5_000_000])
    def test_one_is_passed_on_whole(self, site: WellSite, size: int) -> None:
        site.script(partial(respond_large, size=size))
        status, _, body = site.entry.call("POST", "/order/1")
        assert (status, body) == (200, b"y" * size)
        wait_for(
            lambda: "mintsaddle_answer_bytes 0" in site.entry.fetch_metrics(),
            "released memory",
        )

    def test_callers_that_do_not_read_them_leave_memory_to_others(
        self, site: WellSite
    ) -> None:
        """Guards against memory that slow callers of large answers fill."""
        size = 4_000_000
        count = 40
        for endpoint in site.endpoints:
            endpoint.responders = [partial(respond_large, size=size)] * count
        slow = [site.entry.open("POST", "/order/1") for _ in range(count)]
        times: list[float] = []
        assert call_others(site.entry, times) == [200] * OTHERS
        assert read_peak_megabytes(site.entry) < MEMORY_MEGABYTES
        answers = [connection.getresponse() for connection in slow]
        for answer in answers:
            if answer.status == 200:
                assert answer.read() == b"y" * size
        assert any(answer.status == 200 for answer in answers)
