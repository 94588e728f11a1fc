"""Reports, counts and orders of a group's ranks, by agents if there are any.

An agent's engine answers with what holds now; over the network a report is
some hundred milliseconds old, and every call has its price.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from returns.result import Failure, Success

from mintsaddle.decisions.expert_maps import (
    MapOrder,
    OrderAct,
    OrderOutcome,
    Popularity,
    RankReport,
)
from mintsaddle.direct._agents import AgentLink, SilentAgents, agent_address
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
from mintsaddle.rank_agent import RankAnswer, RankCall
from mintsaddle.settings import DirectSettings
from mintsaddle.values import Instant

_NETWORK_CALLS = 12
"""Calls over the network at one time."""

OVER_NETWORK = frozenset({OrderAct.HOLD})
"""Orders that don't go by agents, so that the VM of a rank that is lost never
holds a step that only this rank could release."""

_log = make_logger("maps")


class GroupPoll(NamedTuple):
    """What the ranks of a group said when they were asked."""

    reports: Mapping[int, RankReport]
    """By rank; those that gave none are missing."""

    counts: Mapping[int, Popularity]
    """How often each expert was chosen since the rank's start, by rank."""

    @property
    def running(self) -> int:
        """Requests that the ranks are writing.

        Of all ranks that were asked: one without any says nothing of a group
        with few requests for each rank.
        """
        return sum(report.running for report in self.reports.values())

    def first_of(self, ranks: Iterable[int]) -> RankReport | None:
        """Return the report of the first of some ranks that gave one."""
        found = (self.reports.get(rank) for rank in ranks)
        return next((report for report in found if report is not None), None)

    @property
    def is_fresh(self) -> bool:
        """Whether every report tells what holds now."""
        return all(report.is_fresh for report in self.reports.values())


class _Answers(NamedTuple):
    answers: tuple[RankAnswer, ...]
    is_fresh: bool


class RankCalls:
    """Calls to ranks; used by one thread."""

    def __init__(
        self,
        settings: DirectSettings,
        now: Callable[[], Instant],
        count: Callable[[str], None],
    ) -> None:
        """Open the way to the agents.

        Args:
            settings: Names the port of agents, if there are any.
            now: Returns the present instant.
            count: Adds one to a counter.
        """
        self._port = settings.agent_port
        self._link = AgentLink(settings.host) if settings.agent_port else None
        self._now = now
        self._count = count
        self._pool = ThreadPoolExecutor(_NETWORK_CALLS, "ranks")
        self._silent = SilentAgents(now)

    def reachable_ranks(self, group: RankGroup) -> frozenset[int]:
        """Return the ranks whose agents replied when they were last asked."""
        return frozenset(
            rank for rank, one in enumerate(group.ranks) if self._is_asked(one.address)
        )

    def has_agents(self, group: RankGroup) -> bool:
        """Return whether all agents of a group replied when last asked."""
        return len(self.reachable_ranks(group)) == len(group.ranks)

    def read_report(self, address: str, rank: int) -> RankReport | None:
        """Return what one rank says of itself, if it answers."""
        (found,) = self._ask({address: [report_call()]}).values()
        report = decode_rank_report(found.answers[0], rank)
        return report.value_or(None)

    def poll(
        self, group: RankGroup, ranks: Iterable[int], counted: Iterable[int] = ()
    ) -> GroupPoll:
        """Ask ranks what they say of themselves.

        Args:
            group: The group.
            ranks: Whose reports are wanted.
            counted: Of these ranks the counts are wanted too.
        """
        with_counts = frozenset(counted)
        calls = {
            rank: [report_call(), *([counts_call()] if rank in with_counts else [])]
            for rank in ranks
        }
        reports: dict[int, RankReport] = {}
        counts: dict[int, Popularity] = {}
        for rank, found in self._ask_ranks(group, calls).items():
            match decode_rank_report(found.answers[0], rank):
                case Success(report):
                    reports[rank] = report._replace(is_fresh=found.is_fresh)
                case Failure(problem):
                    self._log_missing(group, rank, problem)
            if rank in with_counts:
                self._record_counts(group, rank, found.answers[1], counts)
        return GroupPoll(reports, counts)

    def read_reports(self, group: RankGroup) -> list[RankReport] | None:
        """Return a report of every rank, or None if one is missing."""
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
        """Return the experts that each rank holds by layer, if all tell."""
        calls = {rank: [experts_call()] for rank in range(len(group.ranks))}
        held = []
        for rank, found in sorted(self._ask_ranks(group, calls).items()):
            match decode_rank_experts(found.answers[0]):
                case Success(experts):
                    held.append(experts)
                case Failure(problem):
                    self._log_missing(group, rank, problem)
                    return None
        return held

    def send(
        self, group: RankGroup, orders: Sequence[MapOrder]
    ) -> Mapping[MapOrder, OrderOutcome]:
        """Give orders; at most one to a rank."""
        calls = {order.rank: [order_call(order)] for order in orders}
        if any(order.act in OVER_NETWORK for order in orders):
            addresses = {group.ranks[rank].address: calls[rank] for rank in calls}
            over_network = self._ask_network(addresses)
            found = {r: over_network[group.ranks[r].address] for r in calls}
        else:
            found = self._ask_ranks(group, calls)
        return {
            order: decode_order_outcome(found[order.rank].answers[0])
            for order in orders
        }

    def _ask_ranks(
        self, group: RankGroup, calls: Mapping[int, Sequence[RankCall]]
    ) -> dict[int, _Answers]:
        found = self._ask({group.ranks[r].address: calls[r] for r in calls})
        return {rank: found[group.ranks[rank].address] for rank in calls}

    def _ask(self, calls: Mapping[str, Sequence[RankCall]]) -> dict[str, _Answers]:
        """Ask engines by agents, and over the network where no agent replies.

        Args:
            calls: For each engine's IP and port the calls to it.
        """
        found = self._ask_agents(calls)
        left = {one: calls[one] for one in calls if one not in found}
        return {**found, **self._ask_network(left)}

    def _ask_network(
        self, calls: Mapping[str, Sequence[RankCall]]
    ) -> dict[str, _Answers]:
        def call_all(address: str) -> _Answers:
            answers = tuple(call_rank(address, call) for call in calls[address])
            return _Answers(answers, is_fresh=False)

        return dict(zip(calls, self._pool.map(call_all, calls), strict=True))

    def _ask_agents(
        self, calls: Mapping[str, Sequence[RankCall]]
    ) -> dict[str, _Answers]:
        if self._link is None:
            return {}
        asked = {
            one: agent_address(one, self._port) for one in calls if self._is_asked(one)
        }
        replies = self._link.ask({agent: calls[one] for one, agent in asked.items()})
        for engine, agent in asked.items():
            self._record_reply(engine, came=agent in replies)
        return {
            engine: _Answers(replies[agent], is_fresh=True)
            for engine, agent in asked.items()
            if agent in replies
        }

    def _record_reply(self, engine: str, *, came: bool) -> None:
        self._silent.record_reply(engine, came=came)
        if not came:
            self._count("agent_silent")

    def _is_asked(self, engine: str) -> bool:
        return self._link is not None and self._silent.is_asked(engine)

    def _record_counts(
        self,
        group: RankGroup,
        rank: int,
        answer: RankAnswer,
        counts: dict[int, Popularity],
    ) -> None:
        model = group.model
        match decode_expert_counts(answer, model.layers, model.experts):
            case Success(found):
                counts[rank] = found
            case Failure(problem):
                self._log_missing(group, rank, problem)

    def _log_missing(self, group: RankGroup, rank: int, problem: str) -> None:
        _log.info(
            "Answer missing %s.", fields(group=group.name, rank=rank, why=problem)
        )
