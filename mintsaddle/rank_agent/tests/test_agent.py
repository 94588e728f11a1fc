"""Agents beside stand-ins of engines, and entries that ask them."""

import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator

import pytest

from mintsaddle.direct._agents import AgentClient
from mintsaddle.rank_agent import (
    NO_ANSWER,
    AgentReply,
    RankAnswer,
    RankCall,
    decode_request,
    encode_reply,
)
from mintsaddle.rank_agent._agent import RankAgent
from mintsaddle.rank_agent._engine import EngineLink
from mintsaddle.rank_agent.tests.standins import Engine

REPORT = RankCall("GET", "/rank/report")
ORDER = RankCall("POST", "/rank/order", '{"op":"go"}')

TIMEOUT = 3.0
"""Seconds for answers that do come, however busy the machine is."""


@pytest.fixture
def engine() -> Iterator[Engine]:
    engine = Engine()
    yield engine
    engine.stop()


@pytest.fixture
def agent(engine: Engine) -> RankAgent:
    agent = RankAgent("127.0.0.1:0", engine.address, "/rank/", TIMEOUT)
    threading.Thread(target=agent.serve, daemon=True).start()
    return agent


@pytest.fixture
def link() -> AgentClient:
    return AgentClient("127.0.0.1", TIMEOUT)


class TestCalls:
    def test_calls_are_made_in_order_on_one_connection(
        self, engine: Engine, agent: RankAgent, link: AgentClient
    ) -> None:
        answers = link.ask({agent.address: [REPORT, ORDER]})
        assert answers == {
            agent.address: (
                RankAnswer(200, '{"step": 1}'),
                RankAnswer(200, '{"step": 2}'),
            )
        }
        link.ask({agent.address: [REPORT]})
        assert engine.calls == [REPORT, ORDER, REPORT]
        assert engine.connections == 1

    def test_callers_paths_are_not_reached_through_an_agent(
        self, engine: Engine, agent: RankAgent, link: AgentClient
    ) -> None:
        asked = link.ask({agent.address: [RankCall("POST", "/letter/1", "x")]})
        assert asked == {agent.address: (NO_ANSWER,)}
        assert engine.calls == []

    def test_garbage_doesnt_end_an_agent(
        self, engine: Engine, agent: RankAgent, link: AgentClient
    ) -> None:
        host, _, port = agent.address.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.sendto(b"garbage", (host, int(port)))
        assert agent.address in link.ask({agent.address: [REPORT]})


class TestLostAnswers:
    def test_a_read_is_repeated_on_a_fresh_connection(self, engine: Engine) -> None:
        """A group looks lost each time that its engine closes a connection."""
        engine.is_closing = True
        link = EngineLink(engine.address, TIMEOUT)
        assert [link.call(REPORT).status for _ in range(3)] == [200] * 3
        assert link.is_reached

    def test_an_order_is_not_sent_twice(self, engine: Engine) -> None:
        """Guards against an order repeated by the agent after newer ones."""
        engine.is_breaking = True
        link = EngineLink(engine.address, TIMEOUT)
        assert link.call(ORDER) is NO_ANSWER
        assert engine.calls == [ORDER]
        assert not link.is_reached

    def test_a_silent_agent_doesnt_hold_up_the_others(
        self, agent: RankAgent, link: AgentClient
    ) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as silent:
            silent.bind(("127.0.0.1", 0))
            host, port = silent.getsockname()
            answers = link.ask({f"{host}:{port}": [REPORT], agent.address: [REPORT]})
        assert list(answers) == [agent.address]

    def test_a_late_reply_isnt_taken_for_another_requests(
        self, link: AgentClient
    ) -> None:
        """A report from before an order is taken for one from after it."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as agent:
            agent.bind(("127.0.0.1", 0))
            host, port = agent.getsockname()
            address = f"{host}:{port}"
            assert link.ask({address: [REPORT]}) == {}
            data, sender = agent.recvfrom(65_535)
            number = decode_request(data).number
            agent.sendto(encode_reply(AgentReply(number, (NO_ANSWER,))), sender)
            assert link.ask({address: [REPORT]}) == {}


class TestProgram:
    def test_it_serves_until_it_is_told_to_stop(self, engine: Engine) -> None:
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "mintsaddle.rank_agent",
                "127.0.0.1:0",
                engine.address,
                "/rank/",
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert process.stdout is not None
        assert "[agent] Started" in process.stdout.readline()
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert "[agent] Stopped" in process.stdout.read()
        assert process.wait(10) == 0

    def test_bad_arguments_are_told(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "mintsaddle.rank_agent", "only-one"],
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 2
        assert "Usage:" in done.stderr
