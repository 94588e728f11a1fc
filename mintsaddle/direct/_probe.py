"""Reads the loads of a few engines from their rank agents."""

import threading
from collections.abc import Sequence

from returns.result import Success

from mintsaddle.decisions.direct import EngineLoad, Incarnation
from mintsaddle.decisions.expert_maps import FIRST_VERSION
from mintsaddle.direct._agents import AgentClient, SilentAgents, agent_address
from mintsaddle.platform import decode_rank_report, report_call
from mintsaddle.settings import DirectSettings
from mintsaddle.values import Clock

REPLY_SECONDS = 0.03
"""Timeout in seconds for replies, which usually take a few milliseconds. A
request doesn't wait longer, as loads only improve its placement."""


class LoadProbe:
    """Reads loads of engines. Thread-safe."""

    def __init__(self, settings: DirectSettings, now: Clock) -> None:
        self._host = settings.host
        self._port = settings.agent_port
        self._silent_agents = SilentAgents(now)
        self._idle_clients: list[AgentClient] = []
        self._lock = threading.Lock()

    def read_loads(self, endpoints: Sequence[Incarnation]) -> dict[str, EngineLoad]:
        """Return the loads of those engines whose agents reply in time.

        Args:
            endpoints: Engines. Those outside rank groups have no agent and are
                skipped.
        """
        agents = {
            agent_address(endpoint.address, self._port): endpoint
            for endpoint in endpoints
            if self._port
            and endpoint.assignment
            and self._silent_agents.may_ask(endpoint.address)
        }
        if not agents:
            return {}
        client = self._acquire_client()
        replies = client.ask({agent: [report_call()] for agent in agents})
        with self._lock:
            self._idle_clients.append(client)
        loads = {}
        for agent, endpoint in agents.items():
            self._silent_agents.record_reply(
                endpoint.address, received=agent in replies
            )
            if agent not in replies or endpoint.assignment is None:
                continue
            match decode_rank_report(replies[agent][0], endpoint.assignment.rank):
                case Success(report):
                    requests = report.running + report.queued
                    loads[endpoint.name] = EngineLoad(
                        requests,
                        report.epoch,
                        report.step,
                        has_first_map=report.version == FIRST_VERSION,
                    )
        return loads

    def _acquire_client(self) -> AgentClient:
        """Return a client that no other thread is using."""
        with self._lock:
            if self._idle_clients:
                return self._idle_clients.pop()
        return AgentClient(self._host, REPLY_SECONDS)
