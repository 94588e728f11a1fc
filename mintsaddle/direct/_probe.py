"""Asking rank agents for the loads of a few engines."""

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
"""Seconds for the replies; a few milliseconds are usual. A request waits no
longer for what would only place it better."""


class LoadProbe:
    """Reads loads of engines; used by all callers' threads."""

    def __init__(self, settings: DirectSettings, now: Clock) -> None:
        self._host = settings.host
        self._port = settings.agent_port
        self._silent = SilentAgents(now)
        self._idle: list[AgentClient] = []
        self._lock = threading.Lock()

    def ask(self, endpoints: Sequence[Incarnation]) -> dict[str, EngineLoad]:
        """Return the loads of those engines whose agents reply in time.

        Args:
            endpoints: Engines; those that belong to no rank group have no
                agent and are left out.
        """
        asked = {
            agent_address(one.address, self._port): one
            for one in endpoints
            if self._port and one.place and self._silent.may_ask(one.address)
        }
        if not asked:
            return {}
        link = self._take_link()
        replies = link.ask({agent: [report_call()] for agent in asked})
        with self._lock:
            self._idle.append(link)
        loads = {}
        for agent, one in asked.items():
            self._silent.record_reply(one.address, received=agent in replies)
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

    def _take_link(self) -> AgentClient:
        """Return a link that no other thread uses meanwhile."""
        with self._lock:
            if self._idle:
                return self._idle.pop()
        return AgentClient(self._host, REPLY_SECONDS)
