"""What endpoints say of themselves in their answers, with a real entry."""

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Endpoint, Site, wait_for

WAIT_SECONDS = 2.5
"""Seconds for which the endpoints of these tests ask an entry to wait."""

NOTICE_SECONDS = 0.5
"""Seconds after a refusal from which the endpoint's wait has to be kept."""

MAX_ARRIVALS = 2
"""Requests that may still reach the endpoint after that."""

BUSY_LOAD = "3,0,6"
"""Load of a serving endpoint, which looks worse than a refusing one."""

BORN = 1_700_000_000_000
"""Announced start of the endpoints, in Unix milliseconds."""

ALWAYS = 10_000
"""More requests than a test sends."""


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    yield from standins.run_site(tmp_path)


def refuse_always(endpoint: Endpoint) -> None:
    """Let an endpoint turn away all requests and ask to wait each time."""
    endpoint.load = "0,0,6"
    endpoint.responders = [standins.ask_to_wait(f"{WAIT_SECONDS:g}")] * ALWAYS


def all_refuse_once(site: Site, seconds: float) -> None:
    """Let both endpoints turn one request away and ask to wait."""
    for endpoint in site.endpoints:
        endpoint.responders = [standins.ask_to_wait(f"{seconds:g}")]
    assert site.entry.call("GET", "/lookup/1")[0] == 503


def call_until(site: Site, path: str, end: float) -> list[int]:
    """Call one after the other until an instant; return the statuses."""
    statuses = []
    while time.monotonic() < end:
        statuses.append(site.entry.call("POST", path)[0])
        time.sleep(0.02)
    return statuses


def announce_again(site: Site, sequence: int, born: int = BORN) -> None:
    """Remove and publish the announcement of the first endpoint."""
    site.store.delete("servers/e-1")
    wait_for(lambda: "endpoints=1" in site.entry.log(), "removal")
    announcement = standins.make_announcement(
        site.endpoints[0], "desk", sequence=sequence, born=born
    )
    site.store.put("servers/e-1", announcement)
    wait_for(
        lambda: "endpoints=2" in site.entry.log().rpartition("endpoints=1")[2],
        "return",
    )


def most_arrivals_in_a_wait(endpoint: Endpoint) -> int:
    """Return the most requests that reached it while it had asked to wait."""
    return max(
        sum(
            refused_at + NOTICE_SECONDS < at < refused_at + WAIT_SECONDS
            for at in endpoint.arrivals
        )
        for refused_at in endpoint.arrivals
    )


class TestRequestsToWait:
    @pytest.mark.parametrize("path", ["/lookup/1", "/order/1", "/letter/1"])
    def test_an_endpoint_that_asks_to_wait_gets_no_requests(
        self, site: Site, path: str
    ) -> None:
        """Guards against refusing endpoints that look least loaded."""
        refusing, serving = site.endpoints
        refuse_always(refusing)
        serving.load = BUSY_LOAD
        call_until(site, path, time.monotonic() + 2 * WAIT_SECONDS)
        assert refusing.arrivals
        assert len(serving.arrivals) > len(refusing.arrivals)
        assert most_arrivals_in_a_wait(refusing) <= MAX_ARRIVALS

    def test_the_wait_outlasts_the_announcement(self, site: Site) -> None:
        """Guards against a wait that is lost with an announcement."""
        refusing, serving = site.endpoints
        refuse_always(refusing)
        serving.load = BUSY_LOAD
        wait_for(
            lambda: (
                site.entry.call("GET", "/lookup/1")[0] == 200
                and bool(refusing.arrivals)
            ),
            "refusal",
        )
        refusing.responders = []
        refused_at = refusing.arrivals[-1]
        announce_again(site, sequence=2)
        call_until(site, "/lookup/1", refused_at + WAIT_SECONDS - 0.1)
        assert most_arrivals_in_a_wait(refusing) <= MAX_ARRIVALS

    def test_callers_are_refused_at_once_while_all_endpoints_wait(
        self, site: Site
    ) -> None:
        """Guards against callers that wait for endpoints that take nothing."""
        all_refuse_once(site, seconds=0.8)
        refused_at = time.monotonic()
        status, headers, _ = site.entry.call("POST", "/order/1")
        assert status == 503
        assert time.monotonic() - refused_at < 0.8
        assert len(site.requests()) == 2
        time.sleep(float(headers["Retry-After"]))
        assert min(endpoint.arrivals[0] for endpoint in site.endpoints) + 0.8 < (
            time.monotonic()
        )
        assert site.entry.call("POST", "/order/1")[0] == 200

    def test_a_caller_waits_for_an_endpoint_that_is_back_in_time(
        self, site: Site
    ) -> None:
        all_refuse_once(site, seconds=0.2)
        status, _, _ = site.entry.call("POST", "/order/1")
        assert status == 200
        first, *_ = sorted(at for e in site.endpoints for at in e.arrivals[:1])
        last = max(at for e in site.endpoints for at in e.arrivals)
        assert last - first > 0.2


class TestRefusalsWithoutAWait:
    def test_an_endpoint_that_refuses_all_is_tried_less_and_less(
        self, site: Site
    ) -> None:
        """Guards against refusing endpoints that look least loaded."""
        refusing, serving = site.endpoints
        refusing.responders = [standins.refuse_as_idle] * ALWAYS
        serving.load = BUSY_LOAD
        call_until(site, "/order/1", time.monotonic() + 5.0)
        assert 2 <= len(refusing.arrivals) <= 5


class TestLeavingEndpoints:
    def test_an_endpoint_that_says_it_leaves_gets_nothing_more(
        self, site: Site
    ) -> None:
        """Guards against requests to a leaving endpoint listed as ready."""
        leaving, staying = site.endpoints
        leaving.load, staying.load = "0,0,6", BUSY_LOAD
        leaving.responders = [standins.respond_leaving] * ALWAYS
        wait_for(
            lambda: (
                site.entry.call("GET", "/lookup/1")[0] == 200 and bool(leaving.arrivals)
            ),
            "answer that says it leaves",
        )
        count = len(leaving.arrivals)
        call_until(site, "/lookup/1", time.monotonic() + 0.5)
        assert len(leaving.arrivals) == count
        announce_again(site, sequence=2)
        call_until(site, "/lookup/1", time.monotonic() + 0.5)
        assert len(leaving.arrivals) == count

    def test_a_new_run_of_the_endpoint_gets_requests(self, site: Site) -> None:
        """Guards against endpoints that stay unused after a restart."""
        restarted, staying = site.endpoints
        restarted.load, staying.load = "0,0,6", BUSY_LOAD
        restarted.responders = [standins.respond_leaving]
        wait_for(
            lambda: (
                site.entry.call("GET", "/lookup/1")[0] == 200
                and bool(restarted.arrivals)
            ),
            "answer that says it leaves",
        )
        announce_again(site, sequence=1, born=BORN + 9_000)
        count = len(restarted.arrivals)
        wait_for(
            lambda: (
                site.entry.call("GET", "/lookup/1")[0] == 200
                and len(restarted.arrivals) > count
            ),
            "request to the new run",
        )
