"""Reading the loads of engines through rank agents."""

import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest

from mintsaddle.decisions.direct import EngineLoad, Incarnation, RankAssignment
from mintsaddle.direct import _agents, _probe
from mintsaddle.direct._probe import LoadProbe
from mintsaddle.direct.tests.clocks import Clock
from mintsaddle.platform.tests.test_taking_items import SETTINGS
from mintsaddle.rank_agent._agent import RankAgent
from mintsaddle.rank_agent.tests.standins import FakeEngine

TIMEOUT = 3.0
"""Seconds to wait for expected responses, enough for a busy machine."""


def read_status(_: str) -> Any:
    return {
        "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
        "step": 9,
        "num_running": 3,
        "queue_depth": 2,
    }


@pytest.fixture
def engine() -> Iterator[FakeEngine]:
    engine = FakeEngine(read_status)
    yield engine
    engine.stop()


def make_endpoint(address: str, *, is_rank: bool = True) -> Incarnation:
    assignment = RankAssignment("g", 3, 0, 1, is_open=True) if is_rank else None
    return Incarnation("i-0", "letters", address, "a", 3, False, 0.0, 1, assignment)


class TestLoadProbe:
    def test_running_and_waiting_requests_are_reported(
        self, monkeypatch: pytest.MonkeyPatch, clock: Clock, engine: FakeEngine
    ) -> None:
        monkeypatch.setattr(_probe, "REPLY_SECONDS", TIMEOUT)
        agent = RankAgent("127.0.0.1:0", engine.address, "/mintsaddle/", TIMEOUT)
        threading.Thread(target=agent.serve, daemon=True).start()
        port = int(agent.address.rpartition(":")[2])
        probe = LoadProbe(SETTINGS._replace(agent_port=port), clock)
        loads = probe.read_loads([make_endpoint(engine.address)])
        assert loads == {"i-0": EngineLoad(5, epoch=3, step=9, has_first_map=True)}

    def test_a_plain_service_is_not_probed(self, clock: Clock) -> None:
        probe = LoadProbe(SETTINGS._replace(agent_port=9), clock)
        assert probe.read_loads([make_endpoint("127.0.0.1:1", is_rank=False)]) == {}

    def test_an_unresponsive_agent_is_not_asked_for_a_while(self, clock: Clock) -> None:
        """Guards against requests that all wait for an unresponsive agent."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unresponsive:
            unresponsive.bind(("127.0.0.1", 0))
            port = unresponsive.getsockname()[1]
            probe = LoadProbe(SETTINGS._replace(agent_port=port), clock)
            endpoint = make_endpoint("127.0.0.1:1")
            for _ in range(_agents.MAX_MISSED_REPLIES + 3):
                assert probe.read_loads([endpoint]) == {}
            unresponsive.setblocking(False)
            assert self._count(unresponsive) == _agents.MAX_MISSED_REPLIES
            clock.now += _agents.SILENT_BACKOFF_SECONDS
            probe.read_loads([endpoint])
            assert self._count(unresponsive) == 1

    def _count(self, receiver: socket.socket) -> int:
        """Return how many datagrams arrived since the last call."""
        count = 0
        while True:
            try:
                receiver.recv(65_535)
            except BlockingIOError:
                return count
            count += 1
