"""Datagram client for calls to many rank agents at once."""

import itertools
import socket
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from mintsaddle.engines import is_readable
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

REPLY_TIMEOUT_SECONDS = 0.1
"""Seconds to wait for an agent's reply. It usually takes 3 ms, and an agent
waits for its engine at most twice, 40 ms each. If the agent is silent, the
rank is called over the network instead."""

_LARGEST_DATAGRAM = 65_535
_log = make_logger("agents")


SILENT_BACKOFF_SECONDS = 1.0
"""Seconds for which no requests go to a silent agent, since each one costs the
whole reply timeout."""

MAX_MISSED_REPLIES = 2
"""Consecutive missing replies after which an agent counts as silent. More than
one, because a datagram may be lost."""


class SilentAgents:
    """Tracks silent agents by engine address, so that callers skip them."""

    def __init__(self, now: Callable[[], Instant]) -> None:
        self._now = now
        self._missed_replies: Counter[str] = Counter()
        self._backoff_until: dict[str, Instant] = {}

    def may_ask(self, engine: str) -> bool:
        """Return whether to send requests to the agent on an engine's VM."""
        return self._now() >= self._backoff_until.get(engine, 0.0)

    def record_reply(self, engine: str, *, received: bool) -> None:
        """Record whether the agent on an engine's VM replied in time."""
        if received:
            self._missed_replies.pop(engine, None)
            return
        self._missed_replies[engine] += 1
        if self._missed_replies[engine] >= MAX_MISSED_REPLIES:
            self._backoff_until[engine] = self._now() + SILENT_BACKOFF_SECONDS


def agent_address(engine: str, port: int) -> str:
    """Return the address of the agent on an engine's VM."""
    host, _, _ = engine.rpartition(":")
    return f"{host}:{port}"


class AgentClient:
    """Client with one socket for all agents; for use by one thread only."""

    def __init__(self, host: str, reply_timeout: float = REPLY_TIMEOUT_SECONDS) -> None:
        """Open the socket.

        Args:
            host: The VM's own IP, to which agents reply.
            reply_timeout: Seconds to wait for replies.
        """
        self._reply_timeout = reply_timeout
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, 0))
        self._socket.setblocking(False)
        self._sequence_numbers = itertools.count(1)

    def ask(
        self, calls: Mapping[str, Sequence[RankCall]]
    ) -> dict[str, tuple[RankResponse, ...]]:
        """Return the responses of the engines whose agents reply in time.

        Args:
            calls: Calls to each agent's engine, by the agent's IP and port.
        """
        waiting = {next(self._sequence_numbers): address for address in calls}
        for sequence_number, address in waiting.items():
            self._send(address, AgentRequest(sequence_number, tuple(calls[address])))
        responses: dict[str, tuple[RankResponse, ...]] = {}
        wait_until = time.monotonic() + self._reply_timeout
        while waiting:
            seconds_left = wait_until - time.monotonic()
            if seconds_left <= 0 or not is_readable(self._socket, seconds_left):
                break
            reply = self._receive()
            # Late replies to earlier requests are ignored.
            address = waiting.pop(reply.sequence_number, "") if reply else ""
            if reply and len(reply.responses) == len(calls.get(address, ())):
                responses[address] = reply.responses
        return responses

    def _send(self, address: str, request: AgentRequest) -> None:
        host, _, port = address.rpartition(":")
        try:
            self._socket.sendto(encode_request(request), (host, int(port)))
        except OSError as error:
            # The missing reply then counts against the agent.
            _log.info("Request to agent not sent %s.", fields(agent=address, why=error))

    def _receive(self) -> AgentReply | None:
        try:
            return decode_reply(self._socket.recv(_LARGEST_DATAGRAM))
        except (OSError, AgentMessageError) as error:
            _log.info("Unreadable reply from agent %s.", fields(why=error))
            return None
