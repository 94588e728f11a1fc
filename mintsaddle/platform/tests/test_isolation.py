"""An entry whose data centre is cut off from all others."""

import contextlib
import json
import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from mintsaddle.decisions.direct import PublishedItem
from mintsaddle.direct import _paths
from mintsaddle.direct._gateway import Gateway
from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.test_taking_items import SETTINGS, take

MOST_WAITING = 4
"""Connections that fill a backlog of none, with some to spare."""


def make_gateway(far_address: str, store: str) -> Gateway:
    """Return what an entry in "a" knows of one endpoint in "b"."""
    gateway = Gateway(SETTINGS._replace(store=store))
    announcement = {
        "service": "desk",
        "address": far_address,
        "zone": "b",
        "slots": 6,
        "state": "ready",
        "born": 5,
    }
    table = json.dumps(standins.make_configuration()).encode()
    take(
        gateway,
        PublishedItem("op/config", 4, table),
        PublishedItem("servers/i-1", 5, json.dumps(announcement).encode()),
    )
    return gateway


@pytest.fixture
def listener() -> Iterator[str]:
    """The address of a VM that is there."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


@pytest.fixture
def silent(monkeypatch: pytest.MonkeyPatch) -> Iterator[str]:
    """An address from which nothing comes back: its backlog is full."""
    monkeypatch.setattr(_paths, "CHECK_SECONDS", 0.05)
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(MOST_WAITING):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(server.getsockname())
        yield f"127.0.0.1:{server.getsockname()[1]}"


def check(gateway: Gateway) -> None:
    with ThreadPoolExecutor(3) as pool:
        _paths._check_data_centre(gateway, pool, "b")


class TestIsolation:
    def test_callers_are_sent_away_while_nothing_is_reached(self, silent: str) -> None:
        """Guards against callers that wait behind a cut for nothing."""
        gateway = make_gateway(silent, silent)
        found: list[bool] = []
        gateway.reach.on_change(lambda: found.append(True))
        assert not gateway.is_cut_off()
        check(gateway)
        assert gateway.is_cut_off()
        assert found
        assert 0 < gateway.reach.failover_seconds_left <= 3.0
        gateway.reach.record("b", received=True)
        assert not gateway.is_cut_off()

    def test_an_entry_that_reaches_the_platform_stays(
        self, silent: str, listener: str
    ) -> None:
        """Guards against refusals by the last data centre that lives."""
        gateway = make_gateway(silent, listener)
        check(gateway)
        assert gateway.reach.unreachable == ["b"]
        assert not gateway.is_cut_off()

    def test_a_vm_that_refuses_a_connection_is_reached(
        self, silent: str, listener: str
    ) -> None:
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        gateway = make_gateway(address, silent)
        check(gateway)
        assert gateway.reach.unreachable == []
