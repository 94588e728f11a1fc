"""Applying published items."""

import json
import zlib

import pytest

from mintsaddle.decisions.direct import Position, PublishedItem
from mintsaddle.decisions.routing import record_failed
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._relay import COMPRESSION_THRESHOLD_BYTES, ReplicaRelay
from mintsaddle.platform.tests.standins import make_configuration
from mintsaddle.settings import DirectSettings
from mintsaddle.transport.proto import peer_pb2 as pb

ANNOUNCED = (
    b'{"service":"desk","address":"10.0.0.9:80","zone":"a","version":"v1",'
    b'"slots":6,"state":"ready","sequence":1,"cold_left_ms":0,"born":5}'
)

SETTINGS = DirectSettings(
    vm="entry-1",
    data_centre="a",
    host="127.0.0.1",
    callers="127.0.0.1:1",
    ready="127.0.0.1:2",
    control="127.0.0.1:3",
    metrics="",
    peers=(),
    agent_port=0,
    store="127.0.0.1:4",
    stop_seconds=8.0,
    propagation_time=2.0,
    lease=3.6,
    retry_share=0.2,
    retry_slack=90.0,
    retry_window=10.0,
    cold_factor=1.5,
    cold_slack=5.0,
    stall=1.5,
    first_start=True,
    memory_megabytes=200,
    descriptors=4100,
)


@pytest.fixture
def gateway() -> Gateway:
    gateway = Gateway(SETTINGS)
    apply(gateway, PublishedItem("servers/i-1", 5, ANNOUNCED))
    return gateway


def apply(gateway: Gateway, *items: PublishedItem) -> None:
    gateway.apply_items(
        items,
        Position(0, max(item.revision for item in items)),
        is_complete=False,
        confirmed_at=gateway.now(),
        source="test",
    )


class TestRecoveredGroups:
    def test_ranks_of_a_group_that_is_back_get_work_at_once(
        self, gateway: Gateway
    ) -> None:
        """Guards against avoiding ranks whose failures their group caused."""
        group = {"name": "g", "epoch": 1, "rank": 0, "state": "open"}
        value = {**json.loads(ANNOUNCED), "group": group, "size": 2}
        apply(gateway, PublishedItem("servers/i-2", 6, json.dumps(value).encode()))
        rank = gateway.directory.endpoints["i-2"].assignment
        assert rank is not None
        for _ in range(4):
            record_failed(gateway.routing, "i-2", gateway.now())
        gateway.record_group_refusal(rank.group, 1, "i-9")
        gateway.record_group(rank.group, 2, is_open=True)
        assert gateway.routing.view("i-2").blocked_until <= gateway.now()


class TestRemovals:
    def test_a_removal_after_a_long_watch_applies_at_once(
        self, gateway: Gateway
    ) -> None:
        """Guards against taking a watch without events for an outage."""
        replica = gateway.replica
        assert replica.lapse_until == 0.0

        apply(gateway, PublishedItem("servers/i-1", 6, None))

        assert "i-1" not in gateway.directory.endpoints

    def test_a_removal_after_an_outage_gets_a_grace_period(
        self, gateway: Gateway
    ) -> None:
        gateway.record_platform_lost()
        gateway.record_platform_recovered()

        apply(gateway, PublishedItem("servers/i-1", 6, None))

        assert "i-1" in gateway.directory.endpoints
        assert "i-1" in gateway.directory.lapsed


class TestUnrelatedChanges:
    """What is known of an endpoint outlasts changes that don't concern it."""

    def test_a_settings_change_keeps_count_of_sends_to_cold_endpoints(
        self, gateway: Gateway
    ) -> None:
        """Guards against a second share for cold endpoints after a reload."""
        service = {"name": "desk", "cold_per_s": 2.0, "cold_start_s": 9.0}
        configuration = make_configuration(services=[service])
        cold = {**json.loads(ANNOUNCED), "cold_left_ms": 9000}
        apply(
            gateway,
            PublishedItem("op/config", 6, json.dumps(configuration).encode()),
            PublishedItem("servers/i-1", 7, json.dumps(cold).encode()),
        )
        endpoint = gateway.directory.endpoints["i-1"]
        while gateway.takes_work(endpoint):
            gateway.record_chosen(endpoint)
        gateway.replace_settings(SETTINGS._replace(retry_slack=45.0))
        assert not gateway.takes_work(endpoint)

    def test_a_rate_limit_outlasts_the_announcement(self, gateway: Gateway) -> None:
        """Guards against a limit that is lost with an announcement."""
        gateway.record_rate_limit("i-1", 4.0, gateway.now())
        apply(gateway, PublishedItem("servers/i-1", 6, None))
        apply(gateway, PublishedItem("servers/i-1", 7, ANNOUNCED))
        assert gateway.limits.limit_of("i-1").rate == 4.0


class TestOtherUsers:
    def test_items_of_others_are_not_kept(self, gateway: Gateway) -> None:
        """Guards against memory use by items that other systems write."""
        apply(gateway, PublishedItem("others/1", 6, b"x" * 1000))
        assert [item.key for item in gateway.replica.changes_since(Position())] == [
            "servers/i-1"
        ]
        assert gateway.replica.position == Position(0, 6)


class TestGroups:
    def test_each_lost_and_regained_group_is_logged_once(
        self, gateway: Gateway, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against a lost group whose recovery isn't logged."""
        caplog.set_level("INFO")
        gateway.record_group_refusal("g", 1, "i-7")
        gateway.record_group_refusal("g", 1, "i-7")
        gateway.record_group("g", 2, True)
        gateway.record_group("g", 2, True)
        lines = [line for line in caplog.messages if "Group" in line]
        assert len(lines) == 2
        assert "at_fault=i-7" in lines[0]
        assert "Group regained group=g epoch=2" in lines[1]


class TestRelays:
    def test_a_value_with_a_reused_revision_is_relayed(self, gateway: Gateway) -> None:
        """Guards against a compressed value cached before a restore."""
        relay = ReplicaRelay(gateway)
        for era, content in enumerate((b"old", b"new")):
            item = PublishedItem("op/config", 7, content * COMPRESSION_THRESHOLD_BYTES)
            gateway.apply_items(
                [item],
                Position(era, 7),
                is_complete=True,
                confirmed_at=gateway.now(),
                source="test",
            )
            update, _ = relay.make_update(pb.EntryHello(), Position())
        (relayed,) = [sent for sent in update.items if sent.key == "op/config"]
        assert zlib.decompress(relayed.value).startswith(b"new")
