"""Rank agents that serve entries, with fake engines behind them."""

import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from mintsaddle.direct._agents import AgentClient
from mintsaddle.rank_agent import (
    NO_RESPONSE,
    AgentReply,
    RankCall,
    RankResponse,
    decode_request,
    encode_reply,
)
from mintsaddle.rank_agent._agent import RankAgent
from mintsaddle.rank_agent._engine import EngineConnection
from mintsaddle.rank_agent.tests.standins import FakeEngine

REPORT = RankCall("GET", "/rank/report")
ORDER = RankCall("POST", "/rank/order", '{"op":"go"}')

STOPS = 40
STOPS_AT_ONCE = 8
TIMEOUT = 3.0
"""Seconds to wait for expected responses, enough for a busy machine."""


@pytest.fixture
def engine() -> Iterator[FakeEngine]:
    engine = FakeEngine()
    yield engine
    engine.stop()


@pytest.fixture
def agent(engine: FakeEngine) -> RankAgent:
    agent = RankAgent("127.0.0.1:0", engine.address, "/rank/", TIMEOUT)
    threading.Thread(target=agent.serve, daemon=True).start()
    return agent


@pytest.fixture
def client() -> AgentClient:
    return AgentClient("127.0.0.1", TIMEOUT)


class TestOddCalls:
    @pytest.mark.parametrize(
        "call",
        [
            RankCall("GET", "/rank/\ud800"),
            RankCall("GET", "/rank/\n"),
            RankCall("G\nET", "/rank/report"),
            RankCall("POST", "/rank/order", "\ud800"),
        ],
    )
    def test_one_that_cannot_be_sent_leaves_the_agent_running(
        self, agent: RankAgent, client: AgentClient, call: RankCall
    ) -> None:
        """Guards against an agent that one datagram ends."""
        answers = client.ask({agent.address: [call]})
        assert answers == {agent.address: (NO_RESPONSE,)}
        (response,) = client.ask({agent.address: [REPORT]})[agent.address]
        assert response.status == 200


class TestFailures:
    @pytest.mark.parametrize("name", ["_handle_request", "wait_for_datagram"])
    def test_one_that_fails_costs_no_other(
        self,
        monkeypatch: pytest.MonkeyPatch,
        agent: RankAgent,
        client: AgentClient,
        name: str,
    ) -> None:
        """Guards against an agent that one exception ends."""
        failed: list[bool] = []
        plain = getattr(RankAgent, name)

        def fail_once(*arguments: object) -> object:
            if not failed:
                failed.append(True)
                raise RecursionError
            return plain(*arguments)

        monkeypatch.setattr(RankAgent, name, fail_once)
        for _ in range(3):
            client.ask({agent.address: [REPORT]})
        (response,) = client.ask({agent.address: [REPORT]})[agent.address]
        assert response.status == 200
        assert failed


class TestCalls:
    def test_calls_are_made_in_order_on_one_connection(
        self, engine: FakeEngine, agent: RankAgent, client: AgentClient
    ) -> None:
        answers = client.ask({agent.address: [REPORT, ORDER]})
        assert answers == {
            agent.address: (
                RankResponse(200, '{"step": 1}'),
                RankResponse(200, '{"step": 2}'),
            )
        }
        client.ask({agent.address: [REPORT]})
        assert engine.calls == [REPORT, ORDER, REPORT]
        assert engine.connections == 1

    def test_paths_outside_the_prefix_are_rejected(
        self, engine: FakeEngine, agent: RankAgent, client: AgentClient
    ) -> None:
        answers = client.ask({agent.address: [RankCall("POST", "/letter/1", "x")]})
        assert answers == {agent.address: (NO_RESPONSE,)}
        assert engine.calls == []

    def test_an_invalid_datagram_doesnt_stop_an_agent(
        self, engine: FakeEngine, agent: RankAgent, client: AgentClient
    ) -> None:
        host, _, port = agent.address.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.sendto(b"garbage", (host, int(port)))
        assert agent.address in client.ask({agent.address: [REPORT]})


class TestLostAnswers:
    def test_a_read_is_repeated_on_a_fresh_connection(self, engine: FakeEngine) -> None:
        """Guards against a group that looks down after an idle close.

        The engine closes the connection after each response, so the next read
        fails on it.
        """
        engine.closes_connections = True
        connection = EngineConnection(engine.address, TIMEOUT)
        assert [connection.call(REPORT).status for _ in range(3)] == [200] * 3
        assert connection.is_reachable

    def test_an_order_is_not_sent_twice(self, engine: FakeEngine) -> None:
        """Guards against an agent that repeats an order after newer ones."""
        engine.withholds_responses = True
        connection = EngineConnection(engine.address, TIMEOUT)
        assert connection.call(ORDER) is NO_RESPONSE
        assert engine.calls == [ORDER]
        assert not connection.is_reachable

    def test_an_unresponsive_agent_doesnt_delay_the_others(
        self, agent: RankAgent, client: AgentClient
    ) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unresponsive:
            unresponsive.bind(("127.0.0.1", 0))
            host, port = unresponsive.getsockname()
            answers = client.ask({f"{host}:{port}": [REPORT], agent.address: [REPORT]})
        assert list(answers) == [agent.address]

    def test_a_late_reply_isnt_matched_to_another_request(
        self, client: AgentClient
    ) -> None:
        """Guards against a report from before an order counted as newer."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as agent:
            agent.bind(("127.0.0.1", 0))
            host, port = agent.getsockname()
            address = f"{host}:{port}"
            assert client.ask({address: [REPORT]}) == {}
            data, sender = agent.recvfrom(65_535)
            number = decode_request(data).sequence_number
            agent.sendto(encode_reply(AgentReply(number, (NO_RESPONSE,))), sender)
            assert client.ask({address: [REPORT]}) == {}


WHOLE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 11\r\n"
    b"\r\n" + b'{"step": 1}'
)


class TestCutAnswers:
    @pytest.mark.parametrize("call", [REPORT, ORDER], ids=["report", "order"])
    def test_no_part_of_an_answer_counts_as_one(self, call: RankCall) -> None:
        """Guards against orders that count as obeyed by half a head."""
        with socket.create_server(("127.0.0.1", 0)) as engine:

            def answer_in_part(size: int) -> None:
                connection, _ = engine.accept()
                with connection:
                    connection.recv(65_536)
                    connection.sendall(WHOLE_ANSWER[:size])

            host, port = engine.getsockname()
            for size in range(len(WHOLE_ANSWER)):
                threading.Thread(
                    target=answer_in_part, args=(size,), daemon=True
                ).start()
                connection = EngineConnection(f"{host}:{port}", TIMEOUT)
                assert connection.call(call) is NO_RESPONSE, WHOLE_ANSWER[:size]


class TestProgram:
    def test_it_serves_until_sigterm(self, engine: FakeEngine) -> None:
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

    def test_a_signal_just_before_a_wait_ends_it(self, engine: FakeEngine) -> None:
        """Guards against an agent that runs on until the next datagram."""
        reader, writer = os.pipe()
        agent = RankAgent("127.0.0.1:0", engine.address, "/rank/", wakeup=reader)
        os.write(writer, b"\0")
        waiting = threading.Thread(target=agent.wait_for_datagram)
        waiting.start()
        waiting.join(TIMEOUT)
        assert not waiting.is_alive()
        os.close(reader)
        os.close(writer)

    def test_stops_right_after_the_start_are_obeyed(self, engine: FakeEngine) -> None:
        """Guards against agents that miss a signal between check and wait."""
        arguments = ["127.0.0.1:0", engine.address, "/rank/"]

        def stop_at_once(_: int) -> int:
            process = subprocess.Popen(
                [sys.executable, "-m", "mintsaddle.rank_agent", *arguments],
                stdout=subprocess.PIPE,
                text=True,
            )
            assert process.stdout is not None
            with process.stdout:
                process.stdout.readline()
                process.send_signal(signal.SIGTERM)
                try:
                    return process.wait(10)
                except subprocess.TimeoutExpired:
                    process.kill()
                    return process.wait()

        with ThreadPoolExecutor(STOPS_AT_ONCE) as pool:
            codes = list(pool.map(stop_at_once, range(STOPS)))
        assert codes == [0] * STOPS

    def test_invalid_arguments_print_usage(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "mintsaddle.rank_agent", "only-one"],
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 2
        assert "Usage:" in done.stderr
