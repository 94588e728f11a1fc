"""A real entry to which the balancer sends most new connections."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Site

CALLERS = 160
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
        assert answers.count((200, EVENTS)) == CALLERS
