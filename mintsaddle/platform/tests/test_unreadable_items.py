"""Items of other writers that can't be read."""

import json
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from mintsaddle.decisions.direct import (
    EndpointPublished,
    EndpointRemoved,
    Position,
    PublishedItem,
    preferred_data_centres,
)
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._rank_groups import find_rank_groups
from mintsaddle.direct._relay import ReplicaRelay
from mintsaddle.platform import (
    decode_expert_counts,
    decode_items,
    decode_rank_experts,
    decode_rank_report,
)
from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Site, make_configuration, wait_for
from mintsaddle.platform.tests.test_taking_items import ANNOUNCED, SETTINGS, apply
from mintsaddle.rank_agent import RankResponse
from mintsaddle.transport.proto import peer_pb2 as pb

NESTED = b"[" * 20_000
RANK = {"name": "g", "epoch": 1, "rank": 0, "state": "open"}


def announce(**overrides: object) -> bytes:
    return json.dumps({**json.loads(ANNOUNCED), **overrides}).encode()


UNREADABLE = {
    "empty": b"",
    "nested-lists": NESTED,
    "nested-objects": b'{"a":' * 20_000,
    "no-object": b"[]",
    "no-text": b"\xff\xfe",
    "infinite-start": ANNOUNCED.replace(b'"born":5', b'"born":1e999'),
    "start-beyond-doubles": announce(born=10**400),
    "long-digits": ANNOUNCED.replace(b'"born":5', b'"born":' + b"9" * 5_000),
    "infinite-slots": announce(slots=float("inf")),
    "no-number-slots": announce(slots=float("nan")),
    "cold-for-good": announce(cold_left_ms=float("inf")),
    "cold-beyond-doubles": announce(cold_left_ms=10**400),
    "surrogate-zone": announce(zone="\ud800"),
    "surrogate-service": announce(service="\ud800"),
    "host-name": announce(address="somewhere.example:80"),
    "unclosed-host": announce(address="[::1:80"),
    "port-beyond-range": announce(address="10.0.0.9:65536"),
    "number-as-address": announce(address=80),
    "infinite-epoch": announce(group={**RANK, "epoch": float("inf")}, size=1),
    "surrogate-group": announce(group={**RANK, "name": "\ud800"}, size=1),
    "list-as-state": announce(state=["ready"]),
}

ODD_NUMBERS = st.sampled_from([1e999, -1e999, 10**400, -1, 0, 2**64, 10**9])
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | ODD_NUMBERS | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*RANK, "x"]), inner, max_size=4)
    ),
    max_leaves=6,
)
FIELDS = ("service", "address", "zone", "slots", "state", "cold_left_ms", "born")
VALUES = st.binary(max_size=60) | st.dictionaries(
    st.sampled_from([*FIELDS, "group", "size"]), JSON_VALUES, max_size=5
).map(lambda overrides: announce(**overrides))


def nest(field: str, depth: int) -> bytes:
    """Return an announcement with a nested list in one field."""
    nested = "[" * depth + "]" * depth
    return announce(**{field: "NESTED"}).replace(b'"NESTED"', nested.encode())


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    yield from standins.run_site(tmp_path)


class TestDecoding:
    @pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
    def test_an_unreadable_item_costs_only_itself(self, value: bytes) -> None:
        """Guards against engines that are lost with another writer's item."""
        items = [
            PublishedItem("servers/i-0", 1, value),
            PublishedItem("servers/i-1", 2, ANNOUNCED),
        ]
        removed, published = decode_items(items, now=100.0)
        assert removed == EndpointRemoved("i-0")
        assert isinstance(published, EndpointPublished)

    @pytest.mark.parametrize(
        "value", [NESTED, b'{"version": 1e999, "routes": [], "services": []}']
    )
    def test_an_unreadable_table_costs_only_itself(self, value: bytes) -> None:
        """Guards against a start that fails for good by one configuration."""
        items = [
            PublishedItem("op/config", 1, value),
            PublishedItem("servers/i-1", 2, ANNOUNCED),
        ]
        (published,) = decode_items(items, now=100.0)
        assert isinstance(published, EndpointPublished)

    def test_nesting_at_the_limit_of_a_thread_costs_only_itself(self) -> None:
        """Guards against a value that is read but can't be handled further."""
        depths = range(sys.getrecursionlimit() - 120, sys.getrecursionlimit() + 20)
        items = [
            PublishedItem(f"servers/odd-{field}-{depth}", 1, nest(field, depth))
            for depth in depths
            for field in (*FIELDS, "group", "other")
        ]
        items.append(PublishedItem("servers/i-1", 2, ANNOUNCED))
        *_, published = decode_items(items, now=100.0)
        assert isinstance(published, EndpointPublished)


class TestReports:
    @pytest.mark.parametrize(
        "body", [NESTED.decode(), '{"step": 1e999, "group": {"epoch": 1}}', "[]"]
    )
    def test_an_unreadable_one_is_a_failure(self, body: str) -> None:
        """Guards against calls and coordinators that one engine ends."""
        response = RankResponse(200, body)
        assert isinstance(decode_rank_report(response, 0), Failure)
        assert isinstance(decode_rank_experts(response), Failure)
        assert isinstance(decode_expert_counts(response, 1, 4), Failure)


class TestSnapshots:
    @given(value=VALUES)
    def test_others_serve_beside_an_item_of_any_form(self, value: bytes) -> None:
        """Guards against an entry that one item of any writer keeps down."""
        gateway = Gateway(SETTINGS)
        configuration = json.dumps(make_configuration()).encode()
        apply(
            gateway,
            PublishedItem("servers/i-0", 1, value),
            PublishedItem("op/config", 2, configuration),
            PublishedItem("servers/i-1", 3, ANNOUNCED),
        )
        assert gateway.is_initialized
        assert "i-1" in gateway.directory.endpoints
        with gateway.lock:
            assert gateway.has_available("desk")
        find_rank_groups(gateway.directory)
        for name in preferred_data_centres(gateway.directory).values():
            name.encode()

    @pytest.mark.parametrize("prefix", ["servers/", "op/evacuate/"])
    def test_a_key_that_cannot_be_encoded_is_not_sent_to_peers(
        self, prefix: str
    ) -> None:
        """Guards against gossip that one key ends at all entries."""
        gateway = Gateway(SETTINGS)
        apply(
            gateway,
            PublishedItem(f"{prefix}\ud800", 1, ANNOUNCED),
            PublishedItem("servers/i-1", 2, ANNOUNCED),
        )
        hello = pb.EntryHello(vm="entry-2")
        update, _ = ReplicaRelay(gateway).make_update(hello, Position())
        assert [item.key for item in update.items] == ["servers/i-1"]

    def test_a_rank_of_a_huge_group_costs_nothing(self) -> None:
        """Guards against memory that is used up by the size of a group."""
        gateway = Gateway(SETTINGS)
        service = {"name": "desk", "engine": ENGINE}
        table = json.dumps(make_configuration(services=[service])).encode()
        apply(
            gateway,
            PublishedItem("op/config", 1, table),
            PublishedItem("servers/i-0", 2, announce(group=RANK, size=2**53)),
        )
        assert find_rank_groups(gateway.directory) == []


ENGINE = {"experts": 4, "sets": 1, "places": 2, "spare": 1}


class TestEntry:
    def test_it_starts_beside_unreadable_items(self, site: Site) -> None:
        """Guards against entries that never start again after a power loss."""
        site.store.put("servers/i-0", NESTED)
        site.store.put("servers/i-9", UNREADABLE["infinite-start"])
        entry = site.add_entry(site.store.address)
        wait_for(entry.is_ready, "ready entry")
        assert entry.call("GET", "/lookup/1")[0] == 200

    def test_it_applies_changes_beside_an_unreadable_one(self, site: Site) -> None:
        """Guards against changes that are lost with an unreadable one."""
        with site.store.changed:
            site.store.put("servers/i-0", NESTED)
            site.store.put("op/config", make_configuration(version=7))
        wait_for(lambda: "version=7" in site.entry.log(), "the new configuration")

    def test_it_serves_beside_many_at_once(self, site: Site) -> None:
        """Guards against entries that odd items end or stop from following."""
        with site.store.changed:
            for number, value in enumerate(UNREADABLE.values()):
                site.store.put(f"servers/odd-{number}", value)
            for depth in range(900, 1_010, 10):
                site.store.put(f"servers/nested-{depth}", nest("slots", depth))
            # It replaces the item of an endpoint that serves.
            site.store.put("servers/e-1", UNREADABLE["nested-lists"])
            site.store.put("op/evacuate/" + "x" * 10_000, {})
            site.store.put("op/config", make_configuration(version=7))
        wait_for(lambda: "version=7" in site.entry.log(), "the new configuration")
        statuses = [site.entry.call("GET", "/lookup/1")[0] for _ in range(20)]
        assert statuses == [200] * 20
        site.store.put("op/config", make_configuration(version=8))
        wait_for(lambda: "version=8" in site.entry.log(), "later changes")
        entry = site.add_entry(site.store.address, [site.entry.control])
        wait_for(entry.is_ready, "ready entry")
        assert site.entry.process.poll() is None


class TestPeers:
    @pytest.mark.parametrize(
        "address", ["nowhere", "127.0.0.1:99999", "127.0.0.1:-1", "[::1", ":"]
    )
    def test_an_odd_address_costs_only_itself(self, site: Site, address: str) -> None:
        """Guards against rounds of gossip that one address ends."""
        unavailable_store = standins.Store()
        unavailable_store.is_down = True
        other = site.add_entry(unavailable_store.address, [address, site.entry.control])
        wait_for(other.is_ready, "entry updated by a peer")
        site.store.put("op/config", make_configuration(version=9))
        wait_for(lambda: "version=9" in other.log(), "relayed table")
        assert "Traceback" not in other.log()
