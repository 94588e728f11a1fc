"""Datagrams that no entry sends, at a real agent."""

import json
import socket
import subprocess
import sys
import time
import zlib
from collections.abc import Iterator

import pytest

from mintsaddle.platform.tests.footprint import peak_megabytes
from mintsaddle.platform.tests.standins import free_ports
from mintsaddle.rank_agent import AgentRequest, RankCall, decode_reply, encode_request
from mintsaddle.rank_agent.tests.standins import FakeEngine

pytestmark = pytest.mark.crowd

VM_MEGABYTES = 168
REPLY_SECONDS = 20.0
REPORT = RankCall("GET", "/mintsaddle/report")


class RunningAgent:
    """An agent that runs as a process, and its engine."""

    def __init__(self) -> None:
        self.engine = FakeEngine()
        (port,) = free_ports(1)
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "mintsaddle.rank_agent",
                f"127.0.0.1:{port}",
                self.engine.address,
                "/mintsaddle/",
            ],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.connect(("127.0.0.1", port))
        self.socket.settimeout(0.5)

    def is_reporting(self) -> bool:
        """Ask for a report, again and again; return whether one comes."""
        deadline = time.monotonic() + REPLY_SECONDS
        number = 1_000
        while time.monotonic() < deadline:
            number += 1
            try:
                self.socket.send(encode_request(AgentRequest(number, (REPORT,))))
                while True:
                    reply = decode_reply(self.socket.recv(65_535))
                    if reply.sequence_number == number:
                        break
            except OSError:
                continue
            # The engine of a busy machine may answer too late for one call.
            if reply.responses[0].status == 200:
                return True
        return False

    def stop(self) -> None:
        self.process.kill()
        self.process.wait()
        self.socket.close()
        self.engine.stop()


@pytest.fixture
def agent() -> Iterator[RunningAgent]:
    running = RunningAgent()
    try:
        assert running.is_reporting()
        yield running
    finally:
        running.stop()


def compress(text: str) -> bytes:
    return zlib.compress(text.encode(), 9)


DATAGRAMS = {
    "many-calls": compress(json.dumps([1, [list(REPORT)] * 20_000])),
    "many-failing-calls": compress(
        json.dumps([1, [["GET", "/mintsaddle/\n"]] * 9_999])
    ),
    "expands-far": compress(" " * 60_000_000),
    "empty-lists": compress(f"[1,[{'[],' * 300_000}[]]]"),
    "nested": compress("[" * 500_000),
    "long-integer": compress(f"[{'9' * 500_000},[]]"),
    "no-compression": b"no compression",
    "truncated": compress("[1,[]]")[:-6],
    "empty": b"",
}


class TestDatagrams:
    @pytest.mark.parametrize("datagram", DATAGRAMS.values(), ids=DATAGRAMS)
    def test_an_agent_goes_on_after_many_of_them(
        self, agent: RunningAgent, datagram: bytes
    ) -> None:
        """Guards against an agent that one sender keeps busy or ends."""
        assert len(datagram) < 65_000
        for _ in range(50):
            agent.socket.send(datagram)
        assert agent.is_reporting()
        assert agent.process.poll() is None
        assert peak_megabytes(agent.process.pid) <= VM_MEGABYTES
