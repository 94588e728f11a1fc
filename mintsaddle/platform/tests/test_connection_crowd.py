"""A real entry to which the balancer sends most new connections."""

import contextlib
import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from mintsaddle.direct._capacity import MAX_CONNECTIONS
from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Site, wait_for

CALLERS = 160
IDLE_CONNECTIONS = MAX_CONNECTIONS + 50
MANY_DESCRIPTORS = 1_100
EVENTS = 10


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    """Yield a site with two endpoints that have room for all callers."""
    for running in standins.run_site(tmp_path):
        for endpoint in running.endpoints:
            announcement = standins.make_announcement(endpoint, "desk", slots=500)
            running.store.put(f"servers/{endpoint.name}", announcement)
            endpoint.responders = [
                standins.stream_events(1, EVENTS, pause=0.15) for _ in range(CALLERS)
            ]
        yield running


def call_at_once(site: Site, callers: int) -> list[tuple[int, int]]:
    """Return status and number of events of calls that run concurrently."""

    def call(number: int) -> tuple[int, int]:
        status, _, body = site.entry.call(
            "POST", "/letter/1", X_Mintsaddle_Attempt_Id=f"attempt-{number}"
        )
        return status, body.count(b"\n\n")

    with ThreadPoolExecutor(callers) as pool:
        return list(pool.map(call, range(callers)))


class TestCrowd:
    def test_all_callers_of_a_region_are_served(self, site: Site) -> None:
        """Guards against refusals while memory for callers is left."""
        answers = call_at_once(site, CALLERS)
        log = site.entry.log().splitlines()
        endings = [line for line in log if "Ended" in line and "streamed" not in line]
        assert answers == [(200, EVENTS)] * CALLERS, endings

    def test_streams_are_whole_whatever_number_their_descriptors_have(
        self, site: Site
    ) -> None:
        """Guards against streams cut at their end with many connections."""
        address = ("127.0.0.1", site.entry.front)
        with contextlib.ExitStack() as stack:
            for _ in range(MANY_DESCRIPTORS):
                stack.enter_context(socket.create_connection(address))
            answers = call_at_once(site, 20)
        assert answers == [(200, EVENTS)] * 20

    def test_idle_connections_leave_room_for_new_ones(self, site: Site) -> None:
        """Guards against callers unread until idle ones reach their limit."""
        address = ("127.0.0.1", site.entry.front)
        with contextlib.ExitStack() as stack:
            for _ in range(IDLE_CONNECTIONS):
                stack.enter_context(socket.create_connection(address))
            answers = call_at_once(site, 20)
        assert answers.count((200, EVENTS)) == 20

    def test_a_crowded_entry_tells_callers_to_close(self, site: Site) -> None:
        """Guards against kept connections that use up the limit."""
        address = ("127.0.0.1", site.entry.front)
        for endpoint in site.endpoints:
            endpoint.responders.clear()
        _, headers, _ = site.entry.call("GET", "/lookup/1")
        assert headers.get("Connection", "keep-alive").lower() != "close"
        with contextlib.ExitStack() as stack:
            for _ in range(MAX_CONNECTIONS // 2 + 50):
                stack.enter_context(socket.create_connection(address))
            closes = []

            def tells_to_close() -> bool:
                _, headers, _ = site.entry.call("GET", "/lookup/1")
                closes.append(headers.get("Connection", "").lower() == "close")
                return closes[-1]

            wait_for(tells_to_close, "answer with Connection: close")
