"""Real entries beside crowds of clients that don't behave."""

import contextlib
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.footprint import (
    BODY_BYTES,
    MORE_THAN_ALL_CONNECTIONS,
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
    with_length,
)
from mintsaddle.platform.tests.standins import Site, wait_for

pytestmark = pytest.mark.crowd

BODIES = body_kinds(BODY_BYTES)
CONNECTIONS = connection_kinds(BODY_BYTES, MORE_THAN_ALL_CONNECTIONS)
WAVES = 4
WAVE_SECONDS = 2.0
WAVE_CLIENTS = 20


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    running = Site(tmp_path)
    running.limits = SMALL_VM
    yield from standins.run(running)


def check_crowd(site: Site, kind: Kind, *, reads: bool = True) -> None:
    """Check an entry while a crowd stays, and after it has left."""
    with Crowd(site.entry.front, kind.clients, kind.request, reads=reads) as crowd:
        crowd.settle()
        is_answered = is_answered_in_time(asks(site.entry))
        check_footprint(site)
    assert is_answered_in_time(asks(site.entry)), "no answer after the crowd"
    assert is_answered, "no answer beside the crowd"
    check_footprint(site)


class TestCrowdsOfBodies:
    @pytest.mark.parametrize("kind", BODIES.values(), ids=BODIES)
    def test_one_entry_bears_them(self, site: Site, kind: Kind) -> None:
        """Guards against a process that runs out of memory or hangs."""
        check_crowd(site, kind)

    def test_clients_that_do_not_read_their_refusals(self, site: Site) -> None:
        """Guards against memory and connections held by unread refusals."""
        check_crowd(site, BODIES["whole"], reads=False)

    @pytest.mark.parametrize("name", ["whole", "one-byte-short", "two-chunks"])
    def test_slow_engines(self, site: Site, name: str) -> None:
        """Guards against bodies that pile up behind slow engines."""
        for endpoint in site.endpoints:
            endpoint.default_responder = respond_slowly
        check_crowd(site, BODIES[name])

    def test_repeats_at_other_endpoints(self, site: Site) -> None:
        """Guards against further copies of a body for each repeat."""
        for endpoint in site.endpoints:
            endpoint.default_responder = refuse_the_crowd
        target = "POST /lookup/1"
        size = BODY_BYTES - 1
        request = partial(with_length, announced=size, sent=size, target=target)
        check_crowd(site, Kind(60, request))

    def test_waves_of_all_kinds(self, site: Site) -> None:
        """Guards against what one wave leaves behind for the next."""
        kinds = list(BODIES.values())
        with contextlib.ExitStack() as crowds:
            for wave in range(WAVES):
                chosen = kinds[wave::WAVES]
                for kind in chosen:
                    count = max(1, WAVE_CLIENTS // len(chosen))
                    crowd = Crowd(site.entry.front, count, kind.request)
                    crowds.enter_context(crowd)
                time.sleep(WAVE_SECONDS)
            is_answered = is_answered_in_time(asks(site.entry))
        assert is_answered_in_time(asks(site.entry)), "no answer after the crowds"
        assert is_answered, "no answer beside the crowds"
        check_footprint(site)

    def test_a_stop_beside_a_crowd(self, site: Site) -> None:
        """Guards against an entry that a crowd keeps from ending."""
        kind = BODIES["one-byte-short"]
        with Crowd(site.entry.front, kind.clients, kind.request) as crowd:
            crowd.settle()
            check_footprint(site)
            site.entry.terminate()
            assert site.entry.process.wait(timeout=8.0) == 0

    def test_a_lower_limit_beside_a_crowd(self, site: Site) -> None:
        """Guards against bodies that began before a limit was lowered."""
        kind = BODIES["one-byte-short"]
        with Crowd(site.entry.front, kind.clients, kind.request) as crowd:
            limits = standins.make_configuration()["limits"]
            assert isinstance(limits, dict)
            lowered = {**limits, "max_body_bytes": 65_536}
            site.store.put(
                "op/config", standins.make_configuration(version=2, limits=lowered)
            )
            crowd.settle()
            assert is_answered_in_time(asks(site.entry))
        assert is_answered_in_time(asks(site.entry))
        check_footprint(site)

    def test_crowds_at_several_entries(self, site: Site) -> None:
        """Guards against entries that bear crowds only one at a time."""
        seeds = [site.entry.control]
        second = site.add_entry(site.store.address, seeds)
        wait_for(second.is_ready, "second entry")
        short, chunks = BODIES["one-byte-short"], BODIES["chunks-of-one-byte"]
        with (
            Crowd(site.entry.front, short.clients, short.request) as first_crowd,
            Crowd(second.front, chunks.clients, chunks.request) as second_crowd,
        ):
            first_crowd.settle()
            second_crowd.settle(most_seconds=3.0)
            answered = [is_answered_in_time(asks(entry)) for entry in site.entries]
        assert answered == [True, True]
        check_footprint(site)


class TestCrowdsOfConnections:
    @pytest.mark.parametrize("kind", CONNECTIONS.values(), ids=CONNECTIONS)
    def test_they_leave_room_for_others(self, site: Site, kind: Kind) -> None:
        """Guards against callers unread while requests don't go on."""
        check_crowd(site, kind)


def refuse_the_crowd(endpoint: standins.Endpoint, handler: Any) -> None:
    is_hostile = handler.headers["X-Mintsaddle-Attempt-Id"].startswith("hostile")
    respond = standins.refuse if is_hostile else standins.respond_ok
    respond(endpoint, handler)


def respond_slowly(endpoint: standins.Endpoint, handler: Any) -> None:
    time.sleep(0.3)
    standins.respond_ok(endpoint, handler)
