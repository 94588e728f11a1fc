"""Kept connections to endpoints that break under a request."""

import threading
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Endpoint, Site, make_announcement

LOOKUP = ("GET", "/lookup/1")
MAX_ATTEMPTS = 2
"""Of the route of lookups."""

WORK_SECONDS = 1.0
"""Time after which an endpoint breaks the connection instead of answering;
less than the time of a lookup's first attempt."""

CALLS = 400
RETRY_RATIO = 0.2
RETRY_SLACK = 90
"""The limit of retries in the settings of the entries."""

DEADLINE_MS = "2000"
SHORT_DEADLINE_MS = "200"
"""Shorter than the time in which a connection counts as closed while idle."""


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    """Yield a site whose entry keeps a connection to its only endpoint."""
    for site in standins.run_site(tmp_path):
        site.store.delete("servers/e-2")
        standins.wait_for(partial(has_one_endpoint, site), "one endpoint")
        assert site.entry.call(*LOOKUP)[0] == 200
        yield site


def has_one_endpoint(site: Site) -> bool:
    return "endpoints=1" in site.entry.log()


def is_reused(handler: Any) -> bool:
    """Return whether a connection has carried a request before this one."""
    has_served = hasattr(handler, "has_served")
    handler.has_served = True
    return has_served


def break_if_reused(endpoint: Endpoint, handler: Any, *, seconds: float = 0.0) -> None:
    """Break a reused connection after some time; answer on others."""
    if is_reused(handler):
        time.sleep(seconds)
        standins.drop_connection(endpoint, handler)
    else:
        standins.respond_ok(endpoint, handler)


def keep_connection(site: Site, *, seconds: float = 0.0) -> Endpoint:
    """Let the endpoint break reused connections, of which it has one."""
    endpoint = site.endpoints[0]
    endpoint.default_responder = partial(break_if_reused, seconds=seconds)
    endpoint.responders = [partial(break_if_reused, seconds=0.0)]
    assert site.entry.call(*LOOKUP)[0] == 200
    endpoint.requests.clear()
    return endpoint


def leave(site: Site) -> None:
    announcement = make_announcement(site.endpoints[0], "desk", state="draining")
    site.store.put("servers/e-1", announcement)


def evacuate(site: Site) -> None:
    site.store.put("op/evacuate/a", {})


def remove(site: Site) -> None:
    site.store.delete("servers/e-1")


def fall_silent_if_reused(endpoint: Endpoint, handler: Any) -> None:
    """Leave the caller of a reused connection without an answer."""
    if is_reused(handler):
        standins.never_respond(endpoint, handler)
    else:
        standins.respond_ok(endpoint, handler)


class TestSilence:
    def test_a_silent_endpoint_is_avoided(self, site: Site) -> None:
        """Guards against an aborted connection taken for an idle one."""
        endpoint = keep_connection(site)
        endpoint.default_responder = fall_silent_if_reused
        site.entry.call(*LOOKUP, X_Mintsaddle_Deadline_Ms=SHORT_DEADLINE_MS)
        standins.wait_for(lambda: "ending=silent" in site.entry.log(), "log line")
        assert "ending=stale" not in site.entry.log()


class TestRepeats:
    def test_a_connection_closed_as_idle_costs_no_caller(self, site: Site) -> None:
        """Guards against requests that fail by the endpoint's idle timeout."""
        endpoint = keep_connection(site)
        assert site.entry.call(*LOOKUP)[0] == 200
        assert len(endpoint.requests) == MAX_ATTEMPTS

    @pytest.mark.parametrize("change", [leave, evacuate, remove])
    def test_an_endpoint_that_left_meanwhile_gets_none(
        self, site: Site, change: Any
    ) -> None:
        """Guards against a request repeated at an endpoint that drains."""
        endpoint = keep_connection(site, seconds=WORK_SECONDS)
        statuses: list[int] = []
        caller = threading.Thread(
            target=lambda: statuses.append(site.entry.call(*LOOKUP)[0])
        )
        caller.start()
        standins.wait_for(lambda: len(endpoint.requests) == 1, "request")
        change(site)
        caller.join()
        assert len(endpoint.requests) == 1
        assert statuses == [502]

    def test_they_hand_on_the_time_that_is_left(self, site: Site) -> None:
        """Guards against an endpoint that works past the caller's deadline."""
        endpoint = keep_connection(site, seconds=WORK_SECONDS / 4)
        headers = {"X_Mintsaddle_Deadline_Ms": DEADLINE_MS}
        assert site.entry.call(*LOOKUP, **headers)[0] == 200
        first, second = (
            int(request["X-Mintsaddle-Deadline-Ms"]) for request in endpoint.requests
        )
        assert second <= first - WORK_SECONDS / 4 * 1000

    def test_they_count_as_attempts(self, site: Site) -> None:
        """Guards against more attempts than a route allows."""
        endpoint = keep_connection(site)
        endpoint.default_responder = standins.drop_connection
        assert site.entry.call(*LOOKUP)[0] == 502
        assert len(endpoint.requests) <= MAX_ATTEMPTS

    def test_they_are_charged_to_the_retry_budget(self, site: Site) -> None:
        """Guards against endpoints flooded by repeats while they fail."""
        endpoint = keep_connection(site)
        for _ in range(CALLS):
            site.entry.call(*LOOKUP)
        repeats = len(endpoint.requests) - CALLS
        assert repeats <= RETRY_RATIO * CALLS + RETRY_SLACK
