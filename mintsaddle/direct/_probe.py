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
        self._idle_links: list[AgentClient] = []
        self._lock = threading.Lock()

    def read_loads(self, endpoints: Sequence[Incarnation]) -> dict[str, EngineLoad]:
        """Return the loads of those engines whose agents reply in time.

        Args:
            endpoints: Engines. Those outside rank groups have no agent and are
                skipped.
        """
        agents = {
            agent_address(one.address, self._port): one
            for one in endpoints
            if self._port and one.place and self._silent_agents.may_ask(one.address)
        }
        if not agents:
            return {}
        link = self._acquire_link()
        replies = link.ask({agent: [report_call()] for agent in agents})
        with self._lock:
            self._idle_links.append(link)
        loads = {}
        for agent, one in agents.items():
            self._silent_agents.record_reply(one.address, received=agent in replies)
            if agent not in replies or one.place is None:
                continue
            match decode_rank_report(replies[agent][0], one.place.rank):
                case Success(report):
                    requests = report.running + report.queued
                    loads[one.name] = EngineLoad(
                        requests,
                        report.epoch,
                        report.step,
                        has_first_map=report.version == FIRST_VERSION,
                    )
        return loads

    def _acquire_link(self) -> AgentClient:
        """Return a link that no other thread is using."""
        with self._lock:
            if self._idle_links:
                return self._idle_links.pop()
        return AgentClient(self._host, REPLY_SECONDS)
