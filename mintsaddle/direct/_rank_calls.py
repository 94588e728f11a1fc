"""Reports, counts and orders of a group's ranks, through agents if available.

Reports through agents show the engine's current state. Over the network a
report is some hundred milliseconds old, and every call has a cost.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from returns.result import Failure, Success

from mintsaddle.decisions.expert_maps import (
    MapOrder,
    OrderAct,
    OrderOutcome,
    Popularity,
    RankReport,
)
from mintsaddle.direct._agents import AgentClient, SilentAgents, agent_address
from mintsaddle.direct._rank_groups import RankGroup
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform import (
    call_rank,
    counts_call,
    decode_expert_counts,
    decode_order_outcome,
    decode_rank_experts,
    decode_rank_report,
    experts_call,
    order_call,
    report_call,
)
from mintsaddle.process import WorkerPool
from mintsaddle.rank_agent import RankCall, RankResponse
from mintsaddle.settings import DirectSettings
from mintsaddle.values import Instant

_MAX_NETWORK_CALLS = 12
"""Most concurrent calls over the network."""

NETWORK_ONLY_ACTS = frozenset({OrderAct.HOLD})
"""Orders that aren't sent through agents. Otherwise the VM of a lost rank
could hold a step that only this rank could release."""

_log = make_logger("maps")


class GroupPoll(NamedTuple):
    """Result of a poll of a group's ranks."""

    reports: Mapping[int, RankReport]
    """Reports by rank; ranks without a readable report are missing."""

    counts: Mapping[int, Popularity]
    """How often each expert was chosen since the rank started, by rank."""

    earlier: Mapping[int, RankReport] = MappingProxyType({})
    """Last reports of ranks that were left out of this poll, by rank."""

    @property
    def running(self) -> int:
        """Requests that the ranks are generating output for.

        Adds up all known reports: in a group with few requests per rank, a
        single rank may have none while the group is busy.
        """
        known = {**self.earlier, **self.reports}
        return sum(report.running for report in known.values())

    def first_report(self, ranks: Iterable[int]) -> RankReport | None:
        """Return the report of the first of these ranks that has one."""
        reports = (self.reports.get(rank) for rank in ranks)
        return next((report for report in reports if report is not None), None)

    @property
    def is_fresh(self) -> bool:
        """Whether every report is current."""
        return all(report.is_fresh for report in self.reports.values())


class _EngineResponses(NamedTuple):
    responses: tuple[RankResponse, ...]
    is_fresh: bool


class RankCalls:
    """Makes calls to ranks; for use by one thread only."""

    def __init__(
        self,
        settings: DirectSettings,
        now: Callable[[], Instant],
        count: Callable[[str], None],
    ) -> None:
        """Set up the calls, with a client for agents if they are configured.

        Args:
            settings: Settings; a port of 0 means that there are no agents.
            now: Returns the current time.
            count: Increments the counter of a given name.
        """
        self._port = settings.agent_port
        self._client = AgentClient(settings.host) if settings.agent_port else None
        self._now = now
        self._count = count
        self._pool = WorkerPool(_MAX_NETWORK_CALLS, "ranks")
        self._silent_agents = SilentAgents(now)

    def reachable_ranks(self, group: RankGroup) -> frozenset[int]:
        """Return the ranks whose agents aren't skipped as silent."""
        return frozenset(
            rank
            for rank, endpoint in enumerate(group.ranks)
            if self._may_ask_agent(endpoint.address)
        )

    def has_agents(self, group: RankGroup) -> bool:
        """Return whether no agent of a group is skipped as silent."""
        return len(self.reachable_ranks(group)) == len(group.ranks)

    def read_report(self, address: str, rank: int) -> RankReport | None:
        """Return the report of one rank, or None if it gives none."""
        (result,) = self._call_engines({address: [report_call()]}).values()
        report = decode_rank_report(result.responses[0], rank)
        return report.value_or(None)

    def poll(
        self, group: RankGroup, ranks: Iterable[int], counted_ranks: Iterable[int] = ()
    ) -> GroupPoll:
        """Poll ranks for their reports and counts.

        Args:
            group: The group.
            ranks: The ranks whose reports are read.
            counted_ranks: The ranks whose expert counts are read.
        """
        with_report, with_counts = frozenset(ranks), frozenset(counted_ranks)
        calls = {rank: [report_call()] for rank in with_report}
        for rank in with_counts:
            calls.setdefault(rank, []).append(counts_call())
        reports: dict[int, RankReport] = {}
        counts: dict[int, Popularity] = {}
        for rank, result in self._call_ranks(group, calls).items():
            if rank in with_report:
                match decode_rank_report(result.responses[0], rank):
                    case Success(report):
                        reports[rank] = report._replace(is_fresh=result.is_fresh)
                    case Failure(problem):
                        self._log_missing_answer(group, rank, problem)
            if rank in with_counts:
                self._record_counts(group, rank, result.responses[-1], counts)
        return GroupPoll(reports, counts)

    def read_reports(self, group: RankGroup) -> list[RankReport] | None:
        """Return the reports of all ranks, by rank.

        Returns None if one is missing or the epochs differ.
        """
        reports = self.poll(group, range(len(group.ranks))).reports
        known = [report for _, report in sorted(reports.items())]
        if len(known) < len(group.ranks):
            return None
        if len({report.epoch for report in known}) > 1:
            return None
        return known

    def read_experts(
        self, group: RankGroup
    ) -> list[tuple[tuple[int, ...], ...]] | None:
        """Return each rank's experts by layer, or None if one is missing."""
        calls = {rank: [experts_call()] for rank in range(len(group.ranks))}
        held = []
        for rank, result in sorted(self._call_ranks(group, calls).items()):
            match decode_rank_experts(result.responses[0]):
                case Success(experts):
                    held.append(experts)
                case Failure(problem):
                    self._log_missing_answer(group, rank, problem)
                    return None
        return held

    def send(
        self, group: RankGroup, orders: Sequence[MapOrder]
    ) -> Mapping[MapOrder, OrderOutcome]:
        """Send orders, at most one to each rank; return their outcomes."""
        calls = {order.rank: [order_call(order)] for order in orders}
        if any(order.act in NETWORK_ONLY_ACTS for order in orders):
            addresses = {group.ranks[rank].address: calls[rank] for rank in calls}
            over_network = self._call_network(addresses)
            results = {r: over_network[group.ranks[r].address] for r in calls}
        else:
            results = self._call_ranks(group, calls)
        return {
            order: decode_order_outcome(results[order.rank].responses[0])
            for order in orders
        }

    def _call_ranks(
        self, group: RankGroup, calls: Mapping[int, Sequence[RankCall]]
    ) -> dict[int, _EngineResponses]:
        results = self._call_engines({group.ranks[r].address: calls[r] for r in calls})
        return {rank: results[group.ranks[rank].address] for rank in calls}

    def _call_engines(
        self, calls: Mapping[str, Sequence[RankCall]]
    ) -> dict[str, _EngineResponses]:
        """Call engines through agents, or the network if an agent is silent.

        Args:
            calls: Calls to each engine, by its IP and port.
        """
        results = self._call_agents(calls)
        remaining = {
            address: calls[address] for address in calls if address not in results
        }
        return {**results, **self._call_network(remaining)}

    def _call_network(
        self, calls: Mapping[str, Sequence[RankCall]]
    ) -> dict[str, _EngineResponses]:
        def call_all(address: str) -> _EngineResponses:
            responses = tuple(call_rank(address, call) for call in calls[address])
            return _EngineResponses(responses, is_fresh=False)

        return dict(zip(calls, self._pool.map(call_all, calls), strict=True))

    def _call_agents(
        self, calls: Mapping[str, Sequence[RankCall]]
    ) -> dict[str, _EngineResponses]:
        if self._client is None:
            return {}
        agents = {
            address: agent_address(address, self._port)
            for address in calls
            if self._may_ask_agent(address)
        }
        replies = self._client.ask(
            {agent: calls[address] for address, agent in agents.items()}
        )
        for engine, agent in agents.items():
            self._record_reply(engine, received=agent in replies)
        return {
            engine: _EngineResponses(replies[agent], is_fresh=True)
            for engine, agent in agents.items()
            if agent in replies
        }

    def _record_reply(self, engine: str, *, received: bool) -> None:
        self._silent_agents.record_reply(engine, received=received)
        if not received:
            self._count("agent_silent")

    def _may_ask_agent(self, engine: str) -> bool:
        return self._client is not None and self._silent_agents.may_ask(engine)

    def _record_counts(
        self,
        group: RankGroup,
        rank: int,
        response: RankResponse,
        counts: dict[int, Popularity],
    ) -> None:
        layout = group.layout
        match decode_expert_counts(response, layout.layers, layout.experts):
            case Success(rank_counts):
                counts[rank] = rank_counts
            case Failure(problem):
                self._log_missing_answer(group, rank, problem)

    def _log_missing_answer(self, group: RankGroup, rank: int, problem: str) -> None:
        _log.info(
            "Answer missing %s.", fields(group=group.name, rank=rank, why=problem)
        )
