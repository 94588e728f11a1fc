"""Crowds of hostile clients and peers at the product's own daemons."""

import contextlib
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

import pytest

from fakes.site import Site, VmPlan
from mintsaddle.entry._requests import MAX_BODY_BYTES
from mintsaddle.platform.tests.footprint import is_answered_in_time, peak_megabytes
from mintsaddle.platform.tests.hostile_clients import (
    Crowd,
    Kind,
    body_kinds,
    connection_kinds,
    with_length,
)
from mintsaddle.platform.tests.hostile_peers import peer_kinds

pytestmark = pytest.mark.crowd

MEMORY_MEGABYTES = 256
"""The setting `memory` of a daemon that doesn't state it."""

SERVICES = """
[service letters]
class = letter
endpoints = a-letters
cold limit = 4
limit = 32
resume = yes

[workspace counter]
services = letters
"""
PLANS = (
    VmPlan("a-entry", "a", "entry"),
    VmPlan("a-letters", "a", "endpoint", cold_limit=32),
)
HEADERS = {"Workspace": "counter", "Timeout": "15"}
CONNECTIONS = 600
SILENT_PEERS = 600
ONE_SERVED = partial(
    with_length,
    announced=MAX_BODY_BYTES - 1,
    sent=MAX_BODY_BYTES - 1,
    lines=("Workspace: counter", "Timeout: 15"),
    target="POST /letters/draft",
)
CALLERS = {
    **body_kinds(MAX_BODY_BYTES),
    **connection_kinds(MAX_BODY_BYTES, CONNECTIONS),
    "to-a-service": Kind(60, ONE_SERVED),
}
PEERS = {
    **peer_kinds("/mintsaddle.v1.Peer/Fetch", SILENT_PEERS),
    "calls": peer_kinds("/mintsaddle.v1.EndpointCalls/Call", 0)["unfinished-messages"],
}


@pytest.fixture
def site() -> Iterator[Site]:
    running = Site(PLANS, SERVICES)
    try:
        running.start()
        running.publish("fleet", 7, running.fleet_text())
        running.wait_until_serving()
        assert is_answered_in_time(asks(running))
        yield running
    finally:
        running.stop()


def asks(site: Site) -> Callable[[], bool]:
    """Return a function that sends an ordinary request."""

    def ask() -> bool:
        body = {"tokens": 1, "pace": 0.0}
        response = site.call("a-entry", "POST", "/letters/draft", body, HEADERS)
        return response.outcome == "done"

    return ask


def open_files(process: int) -> Iterator[str]:
    """Yield the names of what a process has open."""
    for descriptor in Path(f"/proc/{process}/fd").iterdir():
        with contextlib.suppress(OSError):
            yield str(descriptor.readlink())


def check_crowd(site: Site, address: str, kind: Kind) -> None:
    host, _, port = address.rpartition(":")
    with Crowd(int(port), kind.clients, kind.request, host=host) as crowd:
        crowd.settle()
        is_answered = is_answered_in_time(asks(site))
        files = [name for plan in PLANS for name in open_files(site.pid(plan.name))]
    assert not [name for name in files if "/tmp" in name and "(deleted)" in name]
    assert is_answered_in_time(asks(site)), "no answer after the crowd"
    assert is_answered, "no answer beside the crowd"
    for plan in PLANS:
        assert peak_megabytes(site.pid(plan.name)) <= MEMORY_MEGABYTES
        assert "Traceback" not in site.log(plan.name)


class TestEntries:
    @pytest.mark.parametrize("kind", CALLERS.values(), ids=CALLERS)
    def test_one_bears_a_crowd_of_callers(self, site: Site, kind: Kind) -> None:
        """Guards against an entry that runs out of memory or hangs."""
        check_crowd(site, site.http["a-entry"], kind)

    @pytest.mark.parametrize("kind", PEERS.values(), ids=PEERS)
    def test_one_bears_a_crowd_of_peers(self, site: Site, kind: Kind) -> None:
        """Guards against memory that peers' messages use up."""
        check_crowd(site, site.addresses["a-entry"], kind)


class TestEndpointDaemons:
    @pytest.mark.parametrize("kind", PEERS.values(), ids=PEERS)
    def test_one_bears_a_crowd_of_peers(self, site: Site, kind: Kind) -> None:
        """Guards against memory that peers' messages use up."""
        check_crowd(site, site.addresses["a-letters"], kind)
