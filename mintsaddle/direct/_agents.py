"""Asking rank agents, many at a time, by datagrams."""

import itertools
import select
import socket
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from mintsaddle.observe import fields, make_logger
from mintsaddle.rank_agent import (
    AgentMessageError,
    AgentReply,
    AgentRequest,
    RankCall,
    RankResponse,
    decode_reply,
    encode_request,
)
from mintsaddle.values import Instant

REPLY_SECONDS = 0.1
"""Seconds for an agent's reply: 3 ms is usual, and an agent waits for its
engine twice at most, for 40 ms each. A rank whose agent is silent is asked
over the network instead."""

_LARGEST_DATAGRAM = 65_535
_log = make_logger("agents")


REST_SECONDS = 1.0
"""Seconds for which a silent agent isn't asked: each time costs its reply's
time."""

MOST_MISSES = 2
"""Replies missing in a row after which an agent counts as silent: a datagram
may be lost."""


class SilentAgents:
    """Which agents, by their engines' addresses, aren't asked for a while."""

    def __init__(self, now: Callable[[], Instant]) -> None:
        self._now = now
        self._misses: Counter[str] = Counter()
        self._rests_until: dict[str, Instant] = {}

    def is_asked(self, engine: str) -> bool:
        """Return whether the agent beside an engine may be asked."""
        return self._now() >= self._rests_until.get(engine, 0.0)

    def record_reply(self, engine: str, *, came: bool) -> None:
        """Record whether the agent beside an engine has replied in time."""
        if came:
            self._misses.pop(engine, None)
            return
        self._misses[engine] += 1
        if self._misses[engine] >= MOST_MISSES:
            self._rests_until[engine] = self._now() + REST_SECONDS


def agent_address(engine: str, port: int) -> str:
    """Return the address of the agent on an engine's VM."""
    host, _, _ = engine.rpartition(":")
    return f"{host}:{port}"


class AgentLink:
    """One socket towards all agents; used by one thread."""

    def __init__(self, host: str, reply_seconds: float = REPLY_SECONDS) -> None:
        """Open the socket.

        Args:
            host: The VM's own IP, to which agents reply.
            reply_seconds: How long replies are waited for.
        """
        self._reply_seconds = reply_seconds
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, 0))
        self._socket.setblocking(False)
        self._numbers = itertools.count(1)

    def ask(
        self, calls: Mapping[str, Sequence[RankCall]]
    ) -> dict[str, tuple[RankResponse, ...]]:
        """Return the answers of the engines whose agents reply in time.

        Args:
            calls: For each agent's IP and port the calls to its engine.
        """
        waiting = {next(self._numbers): address for address in calls}
        for number, address in waiting.items():
            self._send(address, AgentRequest(number, tuple(calls[address])))
        answers: dict[str, tuple[RankResponse, ...]] = {}
        wait_until = time.monotonic() + self._reply_seconds
        while waiting:
            left = wait_until - time.monotonic()
            if left <= 0 or not select.select([self._socket], [], [], left)[0]:
                break
            reply = self._receive()
            # A reply to an earlier request comes too late to be of use.
            address = waiting.pop(reply.sequence_number, "") if reply else ""
            if reply and len(reply.responses) == len(calls.get(address, ())):
                answers[address] = reply.responses
        return answers

    def _send(self, address: str, request: AgentRequest) -> None:
        host, _, port = address.rpartition(":")
        try:
            self._socket.sendto(encode_request(request), (host, int(port)))
        except OSError as error:
            # Counts as an agent that is silent.
            _log.info("Request not sent %s.", fields(agent=address, why=error))

    def _receive(self) -> AgentReply | None:
        try:
            return decode_reply(self._socket.recv(_LARGEST_DATAGRAM))
        except (OSError, AgentMessageError) as error:
            _log.info("Reply unreadable %s.", fields(why=error))
            return None
