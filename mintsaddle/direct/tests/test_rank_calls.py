"""Tests of calls to ranks through their agents and over the network."""

import threading
from collections import Counter
from collections.abc import Iterator
from typing import Any

import pytest

from mintsaddle.decisions.direct import ExpertLayout, Incarnation, RankAssignment
from mintsaddle.decisions.expert_maps import (
    MapOrder,
    OrderAct,
    OrderOutcome,
    RankReport,
)
from mintsaddle.direct import _agents, _rank_calls
from mintsaddle.direct._agents import AgentClient
from mintsaddle.direct._rank_calls import GroupPoll, RankCalls
from mintsaddle.direct._rank_groups import RankGroup
from mintsaddle.direct.tests.clocks import Clock
from mintsaddle.platform.tests.test_taking_items import SETTINGS
from mintsaddle.rank_agent._agent import RankAgent
from mintsaddle.rank_agent.tests.standins import FakeEngine

MODEL = ExpertLayout(
    layers=1, experts=2, max_experts=2, max_new_experts=1, load_seconds=0.1
)
TIMEOUT = 3.0
"""Seconds to wait for expected responses, enough for a busy machine."""


def answer_call(path: str) -> Any:
    if "picked" in path:
        return {"counts": [[5, 7]]}
    return {
        "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
        "step": 9,
        "num_running": 4,
    }


@pytest.fixture
def engine() -> Iterator[FakeEngine]:
    engine = FakeEngine(answer_call)
    yield engine
    engine.stop()


@pytest.fixture
def agent(engine: FakeEngine) -> RankAgent:
    agent = RankAgent("127.0.0.1:0", engine.address, "/mintsaddle/", TIMEOUT)
    threading.Thread(target=agent.serve, daemon=True).start()
    return agent


def make_group(*engines: FakeEngine) -> RankGroup:
    ranks = tuple(
        Incarnation(
            f"r-{rank}",
            "llm",
            engine.address,
            "a",
            6,
            False,
            0.0,
            1,
            RankAssignment("g", 3, rank, len(engines), True),
        )
        for rank, engine in enumerate(engines)
    )
    return RankGroup("g", "llm", ranks, MODEL, tuple(range(len(engines))))


def make_calls(
    monkeypatch: pytest.MonkeyPatch, clock: Clock, port: int, seconds: float = TIMEOUT
) -> tuple[RankCalls, Counter[str]]:
    def make_client(host: str) -> AgentClient:
        return AgentClient(host, seconds)

    monkeypatch.setattr(_rank_calls, "AgentClient", make_client)
    metric_counts: Counter[str] = Counter()
    settings = SETTINGS._replace(agent_port=port)
    calls = RankCalls(settings, clock, lambda name: metric_counts.update([name]))
    return calls, metric_counts


def port_of(agent: RankAgent) -> int:
    return int(agent.address.rpartition(":")[2])


class TestByAgents:
    def test_reports_by_an_agent_are_fresh(
        self,
        monkeypatch: pytest.MonkeyPatch,
        clock: Clock,
        engine: FakeEngine,
        agent: RankAgent,
    ) -> None:
        calls, _ = make_calls(monkeypatch, clock, port_of(agent))
        poll = calls.poll(make_group(engine), [0], [0])
        assert poll.is_fresh
        assert (poll.running, poll.counts) == (4, {0: ((5, 7),)})
        assert engine.connections == 1

    def test_a_hold_doesnt_go_by_the_ranks_own_vm(
        self,
        monkeypatch: pytest.MonkeyPatch,
        clock: Clock,
        engine: FakeEngine,
        agent: RankAgent,
    ) -> None:
        """Guards against a hold that stays unreleased while a VM is suspended.

        That happens if the hold is sent through the rank's own VM.
        """
        calls, _ = make_calls(monkeypatch, clock, port_of(agent))
        group = make_group(engine)
        calls.poll(group, [0])
        for act in (OrderAct.ARM, OrderAct.HOLD):
            order = MapOrder(0, act, epoch=3, version=4, step=12)
            assert calls.send(group, [order]) == {order: OrderOutcome.DONE}
        # The agent reuses one connection; the hold opened a second one.
        assert engine.connections == 2


class TestGroupPoll:
    def test_a_group_has_work_though_some_rank_has_none(self) -> None:
        """Guards against a group that counts as idle because one rank is."""
        idle = RankReport(0, 3, True, False, 9, 0, 1, None, None, None)
        busy = idle._replace(rank=1, running=2)
        assert GroupPoll({0: idle, 1: busy}, {}).running == 2


class TestWithoutAgents:
    def test_an_unresponsive_agent_is_left_out_for_a_while(
        self, monkeypatch: pytest.MonkeyPatch, clock: Clock, engine: FakeEngine
    ) -> None:
        """Guards against every poll waiting for an agent that is down."""
        calls, metric_counts = make_calls(monkeypatch, clock, port=9, seconds=0.02)
        group = make_group(engine)
        for _ in range(4):
            poll = calls.poll(group, [0])
            assert poll.reports[0].step == 9
            assert not poll.is_fresh
        assert metric_counts["agent_silent"] == _agents.MAX_MISSED_REPLIES
        assert calls.reachable_ranks(group) == frozenset()
        clock.now += _agents.SILENT_BACKOFF_SECONDS
        assert calls.reachable_ranks(group) == frozenset({0})

    def test_no_agents_are_asked_where_there_are_none(
        self, monkeypatch: pytest.MonkeyPatch, clock: Clock, engine: FakeEngine
    ) -> None:
        calls, metric_counts = make_calls(monkeypatch, clock, port=0)
        group = make_group(engine)
        assert not calls.poll(group, [0]).is_fresh
        assert not calls.has_agents(group)
        assert not metric_counts

    def test_an_engine_that_gives_no_answer_is_missing(
        self, monkeypatch: pytest.MonkeyPatch, clock: Clock, engine: FakeEngine
    ) -> None:
        calls, _ = make_calls(monkeypatch, clock, port=0)
        engine.withholds_responses = True
        group = make_group(engine)
        poll = calls.poll(group, [0], [0])
        assert (poll.reports, poll.counts) == ({}, {})
        assert poll.first_report([0]) is None
        assert calls.read_reports(group) is None
        order = MapOrder(0, OrderAct.ARM, epoch=3, version=4, step=12)
        assert calls.send(group, [order]) == {order: OrderOutcome.UNKNOWN}
