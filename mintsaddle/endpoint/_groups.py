"""A rank's daemon in its group: it obeys; one of them coordinates."""

import asyncio
import functools
from collections.abc import Sequence
from typing import Any

from returns.result import Result, Success

from mintsaddle.daemon import DaemonNode
from mintsaddle.decisions.expert_maps import (
    HORIZON_INTERVALS,
    ExpertMap,
    GroupAct,
    GroupOrder,
    PlanCost,
    PopularityCounts,
    RankReading,
    RankReply,
    RankState,
    RankVerdict,
    SwitchPhase,
    SwitchState,
    judge_order,
    measure_skew,
    next_orders,
    note_reply,
    plan_moves,
    start_switch,
)
from mintsaddle.engines import send_group_order
from mintsaddle.fleet import Group
from mintsaddle.observe import make_logger
from mintsaddle.transport import write_stamp
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import PeerStub
from mintsaddle.values import MILLISECONDS

_ORDER_TIMEOUT = 3.0
_RETRY_PAUSE = 0.05
_LOOK_PAUSE = 0.5
_MOST_TRIES = 400
_KEEP = 0.3
_HELD_PATIENCE = 3.0
_RANK_BITS = 16
_log = make_logger("group")


class RankHost:
    """This daemon as one rank of one group: the only sender to its engine."""

    def __init__(self, node: DaemonNode, group: Group) -> None:
        self._node = node
        self._group = group
        self._rank = group.ranks.index(node.settings.vm)
        self._state = RankState(node.boot, node.boot_at)
        self._turn = asyncio.Lock()
        self._reading: RankReading | None = None
        self._ordered_at = node.now()
        self._skew = 0.0
        self._note = ""

    @property
    def group(self) -> Group:
        """The group as the text has it."""
        return self._group

    @property
    def rank(self) -> int:
        """This rank."""
        return self._rank

    @property
    def ordered_at(self) -> float:
        """When the last order came."""
        return self._ordered_at

    @property
    def is_held(self) -> bool:
        """Whether the engine was held when last read."""
        return self._reading is not None and self._reading.held

    @property
    def ballot(self) -> int:
        """The highest ballot seen."""
        return self._state.ballot

    def follow(self, group: Group) -> None:
        """Follow a changed text."""
        self._group = group

    def note(self, skew: float, text: str) -> None:
        """Remember what the last plan found, for the status."""
        self._skew = skew
        self._note = text

    def describe(self, status: pb.Status) -> None:
        """Add this rank to a status."""
        standing = status.groups.add(
            group=self._group.name,
            rank=self._rank,
            ballot=self._state.ballot,
            skew=self._skew,
            note=self._note,
        )
        if self._reading is not None:
            standing.active_version = self._reading.active
            standing.held = self._reading.held

    async def obey(self, message: pb.GroupOrder) -> pb.GroupReply:
        """Carry out one order, after the one before it has ended."""
        async with self._turn:
            self._ordered_at = self._node.now()
            order = read_order(message)
            verdict = judge_order(self._state, order, self._node.now())
            obeyed = verdict is not RankVerdict.REFUSE
            answer: dict[str, Any] | None = None
            if verdict is RankVerdict.OBEY:
                answer = await self._send(order.act.value, _engine_order(message))
                obeyed = answer is not None and bool(answer.get("obeyed"))
            elif verdict is RankVerdict.READ:
                answer = await self._send(GroupAct.READ.value, {"ballot": order.ballot})
            reply = self._make_reply(answer, obeyed=obeyed)
            if answer is not None:
                self._reading = read_reading(reply)
            return reply

    async def _send(self, act: str, order: dict[str, Any]) -> dict[str, Any] | None:
        engine = self._node.settings.engine
        loop = self._node.loop_thread.loop
        send = functools.partial(send_group_order, engine, act, order)
        result: Result[dict[str, Any], str] = await loop.run_in_executor(
            self._node.helpers, send
        )
        if not isinstance(result, Success):
            _log.warning("The engine did not answer '%s': %s.", act, result.failure())
        return result.value_or(None)

    def _make_reply(
        self, answer: dict[str, Any] | None, *, obeyed: bool
    ) -> pb.GroupReply:
        reply = pb.GroupReply(
            stamp=write_stamp(self._node.stamp()),
            group=self._group.name,
            ballot=self._state.ballot,
            obeyed=obeyed,
            has_reading=answer is not None,
        )
        if answer is not None:
            reply.active = answer["active"]
            reply.staged = answer["staged"]
            reply.previous = answer["previous"]
            reply.held = answer["held"]
            reply.entered = answer["entered"]
            reply.completed = answer["completed"]
            reply.popularity.extend(answer.get("popularity", ()))
            reply.slots.extend(answer.get("slots", ()))
            reply.speed = answer.get("speed", 1.0)
        return reply


class Coordinator:
    """Plans and switches for one group; by convention in the lowest rank.

    Two at once are safe and only slow: each round has a ballot of its own.
    """

    def __init__(self, node: DaemonNode, host: RankHost) -> None:
        self._node = node
        self._host = host
        group = host.group
        self._counts = PopularityCounts(group.layers, group.experts, _KEEP)
        self._planned_at = node.now()
        self._replies: dict[int, pb.GroupReply] = {}

    async def run(self) -> None:
        """Coordinate while it is this daemon's turn, until cancelled."""
        while True:
            await asyncio.sleep(min(_LOOK_PAUSE, self._host.group.interval))
            if self._is_due():
                self._planned_at = self._node.now()
                await self._plan_and_switch()

    def _is_due(self) -> bool:
        """Return whether to act: rank 0 in turns, others if it is lost.

        A higher rank waits longer, so that usually only one takes over.
        """
        host = self._host
        now = self._node.now()
        interval = host.group.interval
        if host.rank == 0:
            return now >= self._planned_at + interval
        silence = _HELD_PATIENCE if host.is_held else 3.0 * interval
        return now >= max(host.ordered_at, self._planned_at) + silence + host.rank

    async def _plan_and_switch(self) -> None:
        """Read all ranks, mend what a lost round left, move if worth it."""
        mended = await self._run_round(None)
        if mended.phase is not SwitchPhase.DONE:
            return
        current = self._read_map()
        if current is None:
            return
        self._counts.add(self._read_popularity())
        speeds = [
            max(0.01, self._replies[rank].speed) for rank in sorted(self._replies)
        ]
        skew = measure_skew(current, self._counts.counts, speeds)
        planned = await self._plan(current, speeds)
        if planned is None:
            self._host.note(skew, "no move is worth its cost")
            return
        done = await self._run_round(planned)
        good = done.phase is SwitchPhase.DONE and not done.failed
        self._host.note(
            skew, f"map {planned.version} {'active' if good else 'given up'}"
        )
        _log.info(
            "Group %s: skew %.2f, map %d %s.",
            self._host.group.name,
            skew,
            planned.version,
            "is active" if good else "was given up",
        )

    async def _plan(self, current: ExpertMap, speeds: list[float]) -> ExpertMap | None:
        group = self._host.group
        # The counts are tokens; a mean rank's tokens take one layer's time.
        tokens = sum(map(sum, self._counts.counts)) / group.layers / len(group.ranks)
        tokens_in_second = tokens * group.layers / group.step
        cost = PlanCost(
            horizon=HORIZON_INTERVALS * group.interval / group.step,
            weight=group.weight * tokens_in_second,
            pause=group.pause * tokens_in_second,
        )
        plan = functools.partial(
            plan_moves, self._make_ballot(), current, self._counts.counts, speeds, cost
        )
        loop = self._node.loop_thread.loop
        return await loop.run_in_executor(self._node.helpers, plan)

    async def _run_round(self, wanted: ExpertMap | None) -> SwitchState:
        group = self._host.group
        state = start_switch(self._make_ballot(), len(group.ranks), wanted)
        for _ in range(_MOST_TRIES):
            orders = next_orders(state)
            if not orders:
                break
            before = (state.sequence, len(state.answered))
            asked = (self._ask(state, order, wanted) for order in orders)
            await asyncio.gather(*asked)
            if (state.sequence, len(state.answered)) == before:
                await asyncio.sleep(_RETRY_PAUSE)
        return state

    async def _ask(
        self, state: SwitchState, order: GroupOrder, wanted: ExpertMap | None
    ) -> None:
        group = self._host.group
        message = write_order(group.name, order, wanted)
        message.stamp.CopyFrom(write_stamp(self._node.stamp()))
        reply = await self._carry(group.ranks[order.rank], message)
        if reply is None:
            return
        reading = read_reading(reply) if reply.has_reading else None
        answer = RankReply(order, reply.stamp.boot, reply.ballot, reply.obeyed, reading)
        if reading is not None and reply.slots:
            self._replies[order.rank] = reply
        note_reply(state, answer)

    async def _carry(self, vm: str, message: pb.GroupOrder) -> pb.GroupReply | None:
        if vm == self._node.settings.vm:
            return await self._host.obey(message)
        fleet = self._node.configuration.fleet
        address = fleet.address_of(vm) if fleet else None
        if address is None:
            return None
        stub = PeerStub(self._node.channels.open(address))
        try:
            reply = await stub.OrderGroup(message, timeout=_ORDER_TIMEOUT)
        except Exception as error:
            _log.debug("Rank at %s is silent: %s.", vm, type(error).__name__)
            self._node.channels.drop(address)
            return None
        self._node.count_control(message, reply)
        return reply

    def _make_ballot(self) -> int:
        """Return a ballot above all seen; its low bits are the rank."""
        now = int(self._node.now() * MILLISECONDS) << _RANK_BITS
        above = (self._host.ballot >> _RANK_BITS) + 1 << _RANK_BITS
        return max(now, above) | self._host.rank

    def _read_map(self) -> ExpertMap | None:
        """Return the map that all ranks have, from what they read back."""
        group = self._host.group
        replies = [self._replies.get(rank) for rank in range(len(group.ranks))]
        known = [reply for reply in replies if reply is not None]
        if len(known) < len(replies) or len({reply.active for reply in known}) > 1:
            return None
        if any(len(reply.slots) != group.layers * group.slots for reply in known):
            return None
        layers = tuple(
            tuple(
                tuple(reply.slots[layer * group.slots : (layer + 1) * group.slots])
                for reply in known
            )
            for layer in range(group.layers)
        )
        return ExpertMap(known[0].active, layers)

    def _read_popularity(self) -> list[list[float]]:
        group = self._host.group
        totals = [[0.0] * group.experts for _ in range(group.layers)]
        for reply in self._replies.values():
            for place, tokens in enumerate(reply.popularity):
                layer, expert = divmod(place, group.experts)
                if layer < group.layers:
                    totals[layer][expert] += tokens
        return totals


class GroupRunner:
    """The groups in which this daemon is a rank."""

    def __init__(self, node: DaemonNode) -> None:
        self._node = node
        self._hosts: dict[str, RankHost] = {}

    def follow(self) -> None:
        """Follow a changed text: join the groups that list this daemon."""
        fleet = self._node.configuration.fleet
        for group in fleet.groups.values() if fleet else ():
            if self._node.settings.vm not in group.ranks:
                continue
            host = self._hosts.get(group.name)
            if host is not None and host.group.ranks == group.ranks:
                host.follow(group)
                continue
            host = RankHost(self._node, group)
            self._hosts[group.name] = host
            self._node.spawn(Coordinator(self._node, host).run())

    async def obey(self, message: pb.GroupOrder) -> pb.GroupReply:
        """Pass an order to the group that it is for."""
        host = self._hosts.get(message.group)
        if host is None:
            return pb.GroupReply(stamp=write_stamp(self._node.stamp()))
        return await host.obey(message)

    def describe(self, status: pb.Status) -> None:
        """Add the groups to a status."""
        for host in self._hosts.values():
            host.describe(status)


def read_order(message: pb.GroupOrder) -> GroupOrder:
    """Return the order in a message."""
    return GroupOrder(
        message.ballot,
        message.sequence,
        message.rank,
        message.boot,
        GroupAct(message.act),
        message.version,
        message.limit,
    )


def write_order(
    group: str, order: GroupOrder, wanted: ExpertMap | None
) -> pb.GroupOrder:
    """Return the message form of an order, with the slots to stage."""
    slots: Sequence[int] = ()
    if order.act is GroupAct.STAGE and wanted is not None:
        slots = wanted.slots_of(order.rank)
    return pb.GroupOrder(
        group=group,
        ballot=order.ballot,
        sequence=order.sequence,
        rank=order.rank,
        boot=order.boot,
        act=order.act.value,
        version=order.version,
        limit=order.limit,
        slots=slots,
    )


def read_reading(reply: pb.GroupReply) -> RankReading:
    """Return where a rank stands."""
    return RankReading(
        reply.active,
        reply.staged,
        reply.previous,
        reply.held,
        reply.entered,
        reply.completed,
    )


def _engine_order(message: pb.GroupOrder) -> dict[str, Any]:
    return {
        "ballot": message.ballot,
        "version": message.version,
        "limit": message.limit,
        "slots": list(message.slots),
    }
