"""Tests of the work of calls and of its exchange between entries."""

import pytest

from mintsaddle.decisions.direct import KeyHolder, Membership
from mintsaddle.decisions.direct.tests.samples import ROUTE
from mintsaddle.decisions.overload import MAX_REPORTED_USES
from mintsaddle.direct._calls import make_call
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._hellos import HelloMessages
from mintsaddle.direct._peers import PeerExchange
from mintsaddle.direct.tests.clocks import Clock
from mintsaddle.platform import read_request_head
from mintsaddle.platform.tests.test_taking_items import SETTINGS
from mintsaddle.transport.proto import peer_pb2 as pb


class TestWorkOfCalls:
    @pytest.mark.parametrize(
        ("usage", "work"),
        [("100,20", 300.0), ("", 1.0), ("many", 1.0), ("9,-9", 1.0)],
    )
    def test_it_follows_the_usage_that_the_caller_names(
        self, usage: str, work: float
    ) -> None:
        head = read_request_head({"HTTP_X_MINTSADDLE_TOKEN_USAGE": usage})
        call = make_call(head, ROUTE, KeyHolder("north", None), 0.0, 0.4)
        assert call.work == work


class TestHellos:
    @pytest.fixture
    def gateway(self, monkeypatch: pytest.MonkeyPatch, clock: Clock) -> Gateway:
        gateway = Gateway(SETTINGS)
        monkeypatch.setattr(gateway, "now", clock)
        return gateway

    @pytest.fixture
    def hellos(self, gateway: Gateway) -> HelloMessages:
        membership = Membership("entry-1", "127.0.0.1:3", ())
        return PeerExchange(gateway, membership).hellos

    def test_uses_are_sent_only_under_overload(
        self, gateway: Gateway, hellos: HelloMessages, clock: Clock
    ) -> None:
        """Guards against larger hellos while capacity is sufficient."""
        for number in range(20):
            gateway.workspace_use.record(f"w{number}", 10.0 + number, clock.now)
        assert not hellos.make_brief().uses
        gateway.workspace_use.record_not_admitted(clock.now)
        uses = hellos.make_brief().uses
        assert [use.name for use in uses] == [
            f"w{number}" for number in range(19, 19 - MAX_REPORTED_USES, -1)
        ]
        clock.now += 60.0
        assert not hellos.make_brief().uses

    def test_uses_of_a_peer_are_recorded(
        self, gateway: Gateway, hellos: HelloMessages, clock: Clock
    ) -> None:
        """Guards against shares of what this entry sees alone."""
        for name in ("a", "b"):
            gateway.workspace_use.record(name, 10.0, clock.now)
        hello = pb.EntryHello(
            vm="entry-2",
            address="10.0.0.2:3",
            uses=[pb.WorkspaceUse(name="a", rate=50.0)],
        )
        hellos.record(hello)
        gateway.workspace_use.record_not_admitted(clock.now)
        assert gateway.workspace_use.is_over_share("a", clock.now)
        assert not gateway.workspace_use.is_over_share("b", clock.now)

    def test_hellos_of_older_entries_have_no_uses(
        self, gateway: Gateway, hellos: HelloMessages, clock: Clock
    ) -> None:
        """Guards against a failure while versions are mixed."""
        hellos.record(pb.EntryHello(vm="entry-2", address="10.0.0.2:3"))
        gateway.workspace_use.record_not_admitted(clock.now)
        assert not gateway.workspace_use.is_over_share("", clock.now)
