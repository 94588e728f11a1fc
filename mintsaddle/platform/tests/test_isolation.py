"""An entry whose data centre can't reach any other."""

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
from mintsaddle.platform.tests.test_taking_items import SETTINGS, apply

BACKLOG_CONNECTIONS = 4
"""More than enough connections to fill a backlog of 0."""


def make_gateway(endpoint_address: str, store: str) -> Gateway:
    """Return the gateway of an entry in "a" that knows an endpoint in "b"."""
    gateway = Gateway(SETTINGS._replace(store=store))
    announcement = {
        "service": "desk",
        "address": endpoint_address,
        "zone": "b",
        "slots": 6,
        "state": "ready",
        "born": 5,
    }
    table = json.dumps(standins.make_configuration()).encode()
    apply(
        gateway,
        PublishedItem("op/config", 4, table),
        PublishedItem("servers/i-1", 5, json.dumps(announcement).encode()),
    )
    return gateway


@pytest.fixture
def listener() -> Iterator[str]:
    """The address of a VM that accepts connections."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


@pytest.fixture
def unresponsive(monkeypatch: pytest.MonkeyPatch) -> Iterator[str]:
    """An address that answers no connection attempt: its backlog is full."""
    monkeypatch.setattr(_paths, "CHECK_SECONDS", 0.05)
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(BACKLOG_CONNECTIONS):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(server.getsockname())
        yield f"127.0.0.1:{server.getsockname()[1]}"


def check(gateway: Gateway) -> None:
    with ThreadPoolExecutor(3) as pool:
        _paths._check_data_centre(gateway, pool, "b")


class TestIsolation:
    def test_an_entry_is_cut_off_while_it_reaches_nothing(
        self, unresponsive: str
    ) -> None:
        """Guards against callers that time out at an isolated entry."""
        gateway = make_gateway(unresponsive, unresponsive)
        notified: list[bool] = []
        gateway.reach.on_change(lambda: notified.append(True))
        assert not gateway.is_cut_off()
        check(gateway)
        assert gateway.is_cut_off()
        assert notified
        assert 0 < gateway.reach.failover_seconds_left <= 3.0
        gateway.reach.record("b", received=True)
        assert not gateway.is_cut_off()

    def test_an_entry_that_reaches_the_platform_is_not_cut_off(
        self, unresponsive: str, listener: str
    ) -> None:
        """Guards against refusals by the only data centre that still works."""
        gateway = make_gateway(unresponsive, listener)
        check(gateway)
        assert gateway.reach.unreachable == ["b"]
        assert not gateway.is_cut_off()

    def test_a_vm_that_refuses_a_connection_is_reached(
        self, unresponsive: str, listener: str
    ) -> None:
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        gateway = make_gateway(address, unresponsive)
        check(gateway)
        assert gateway.reach.unreachable == []
