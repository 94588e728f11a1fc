"""Crowds at the other listeners of a real entry: pages and peers."""

import http.client
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

import pytest

from mintsaddle.platform import READY_PATH
from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.footprint import (
    BODY_BYTES,
    SMALL_VM,
    asks,
    check_footprint,
    is_answered_in_time,
)
from mintsaddle.platform.tests.hostile_clients import (
    Crowd,
    Kind,
    body_kinds,
    connection_kinds,
)
from mintsaddle.platform.tests.hostile_peers import peer_kinds, pings, silence
from mintsaddle.platform.tests.standins import Site, wait_for

pytestmark = pytest.mark.crowd

ALL_DESCRIPTORS = SMALL_VM.max_fds + 100
SECONDS_FOR_A_PAGE = 5.0
PAGES = {
    **body_kinds(BODY_BYTES),
    **connection_kinds(BODY_BYTES, 200),
    "silent-connections": Kind(200, silence),
}
PEERS = peer_kinds("/mintsaddle.v1.EntryPeers/Exchange", ALL_DESCRIPTORS)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    running = Site(tmp_path)
    running.limits = SMALL_VM
    yield from standins.run(running)


def asks_for_page(port: int, path: str) -> Callable[[], bool]:
    """Return a function that asks for a page."""

    def ask() -> bool:
        connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=SECONDS_FOR_A_PAGE
        )
        connection.request("GET", path)
        return connection.getresponse().status == 200

    return ask


class TestPages:
    @pytest.mark.parametrize("kind", PAGES.values(), ids=PAGES)
    def test_readiness_is_told_beside_a_crowd(self, site: Site, kind: Kind) -> None:
        """Guards against an entry that the balancer takes out for a crowd."""
        ask = asks_for_page(site.entry.ready, READY_PATH)
        with Crowd(site.entry.ready, kind.clients, kind.request) as crowd:
            crowd.settle()
            assert is_answered_in_time(ask)
            assert is_answered_in_time(asks(site.entry))
            check_footprint(site)
        check_footprint(site)


class TestPeers:
    @pytest.mark.parametrize("kind", PEERS.values(), ids=PEERS)
    def test_an_entry_bears_their_messages(self, site: Site, kind: Kind) -> None:
        """Guards against memory and descriptors that peers use up."""
        port = int(site.entry.control.rpartition(":")[2])
        with Crowd(port, kind.clients, kind.request) as crowd:
            crowd.settle()
            assert is_answered_in_time(asks(site.entry))
            second = site.add_entry(site.store.address, [site.entry.control])
            wait_for(second.is_ready, "entry that follows the first one")
            check_footprint(site)
        assert is_answered_in_time(asks(site.entry))
        check_footprint(site)

    def test_acknowledgements_that_nobody_reads(self, site: Site) -> None:
        """Guards against answers without bound to what peers send."""
        port = int(site.entry.control.rpartition(":")[2])
        request = partial(pings, count=500_000)
        with Crowd(port, 10, request, reads=False) as crowd:
            crowd.settle()
            assert is_answered_in_time(asks(site.entry))
        check_footprint(site)
