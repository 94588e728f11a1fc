"""What an answer that broke says of the features of its request."""

import json
import socket
from typing import Any

import pytest

from mintsaddle.decisions.direct import DirectCall, PublishedItem
from mintsaddle.decisions.direct.tests.samples import ROUTE
from mintsaddle.decisions.quarantine import SURVIVAL_SECONDS, Verdict, extract_features
from mintsaddle.direct._broken_answers import record_broken_answer
from mintsaddle.direct._exchange import Exchange
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._reading import StreamCutError
from mintsaddle.direct._watchdog import WatchedExchange
from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.test_taking_items import SETTINGS, apply

FEATURES = extract_features(("a0",), "north", "POST", "/letter/1", [])
NAME = "i-1"


def announce(
    gateway: Gateway, address: str, revision: int, name: str = NAME, **overrides: Any
) -> None:
    announcement = {
        "service": "desk",
        "address": address,
        "zone": "b",
        "slots": 6,
        "state": "ready",
        "born": 5,
        **overrides,
    }
    value = json.dumps(announcement).encode()
    apply(gateway, PublishedItem(f"servers/{name}", revision, value))


def closed_address() -> str:
    """Return an address at which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


def judge_after_break(
    gateway: Gateway,
    name: str = NAME,
    *,
    begun_seconds: float | None = 0.1,
    has_event: bool = False,
    is_aborted: bool = False,
) -> Verdict:
    """Record an answer that broke; return the verdict on its features."""
    now = gateway.now()
    endpoint = gateway.directory.endpoints[name]
    call = DirectCall("id", ROUTE, "desk", "north", now, now + 8.0, features=FEATURES)
    exchange = Exchange(endpoint.address)
    if is_aborted:
        exchange.abort()
    watched = WatchedExchange(exchange, lambda: False, now + 8.0)
    begun_at = None if begun_seconds is None else now - begun_seconds
    record_broken_answer(
        gateway,
        call,
        endpoint,
        watched,
        StreamCutError(),
        begun_at,
        has_event=has_event,
    )
    return gateway.quarantine.judge(FEATURES).verdict


@pytest.fixture
def gateway() -> Gateway:
    """Return the gateway of an entry with a table but no endpoints."""
    gateway = Gateway(SETTINGS)
    table = json.dumps(standins.make_configuration()).encode()
    apply(gateway, PublishedItem("op/config", 4, table))
    return gateway


class TestEnds:
    @pytest.mark.parametrize("begun_seconds", [None, 0.1, SURVIVAL_SECONDS - 0.05])
    def test_an_engine_that_is_gone_has_ended(
        self, gateway: Gateway, begun_seconds: float | None
    ) -> None:
        announce(gateway, closed_address(), 5)
        verdict = judge_after_break(gateway, begun_seconds=begun_seconds)
        assert verdict is Verdict.SUSPECT

    def test_an_engine_that_still_listens_has_not_ended(self, gateway: Gateway) -> None:
        """Guards against callers refused for connections that were reset."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            announce(gateway, f"127.0.0.1:{server.getsockname()[1]}", 5)
            assert judge_after_break(gateway) is Verdict.CLEAR

    def test_an_engine_that_was_to_leave_is_no_evidence(self, gateway: Gateway) -> None:
        """Guards against callers refused because engines are replaced."""
        announce(gateway, closed_address(), 5, state="draining")
        assert judge_after_break(gateway) is Verdict.CLEAR

    def test_an_engine_that_said_that_it_leaves_is_no_evidence(
        self, gateway: Gateway
    ) -> None:
        announce(gateway, closed_address(), 5)
        gateway.record_said_leaving(gateway.directory.endpoints[NAME])
        assert judge_after_break(gateway) is Verdict.CLEAR

    def test_a_request_whose_caller_has_left_is_no_evidence(
        self, gateway: Gateway
    ) -> None:
        announce(gateway, closed_address(), 5)
        assert judge_after_break(gateway, is_aborted=True) is Verdict.CLEAR


class TestSurvivors:
    def test_only_a_stream_that_had_an_event_has_survived_a_stall(
        self, gateway: Gateway
    ) -> None:
        """Guards against a part cleared by a rank that stalled early."""
        seconds = SURVIVAL_SECONDS + 0.5
        for revision, name in enumerate((NAME, "i-2", "i-3"), 5):
            announce(gateway, closed_address(), revision, name)
        assert judge_after_break(gateway) is Verdict.SUSPECT
        verdict = judge_after_break(gateway, "i-2", begun_seconds=seconds)
        assert verdict is Verdict.SUSPECT
        verdict = judge_after_break(
            gateway, "i-3", begun_seconds=seconds, has_event=True
        )
        assert verdict is Verdict.CLEAR
