"""Planning and switching the map of one group."""

import asyncio
import functools

from mintsaddle.daemon import DaemonNode
from mintsaddle.decisions.expert_maps import (
    HORIZON_INTERVALS,
    ExpertMap,
    GroupAct,
    GroupOrder,
    PlanCost,
    PopularityCounts,
    RankReply,
    SwitchPhase,
    SwitchRound,
    measure_skew,
    next_orders,
    plan_moves,
    record_reply,
    start_switch_round,
)
from mintsaddle.endpoint._group_messages import read_reading, write_order
from mintsaddle.endpoint._ranks import RankHost
from mintsaddle.observe import make_logger
from mintsaddle.transport import write_stamp
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import PeerStub
from mintsaddle.values import MILLISECONDS

SAMPLE = 8
"""Ranks whose token counts one plan takes.

Each rank routes an equal part of the tokens, so a few tell the popularity;
the counts of 128 ranks would be 96 KB/s of control for the coordinator.
"""

_ORDER_TIMEOUT = 3.0
_RETRY_PAUSE = 0.05
_LOOK_PAUSE = 0.5
_MOST_TRIES = 400
_KEEP = 0.3
_HELD_TIMEOUT = 3.0
_RANK_BITS = 16
_log = make_logger("group")


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
        self._known: ExpertMap | None = None
        self._sample: set[int] = set()
        self._wants_slots = False

    async def run(self) -> None:
        """Coordinate while it is this daemon's turn, until it is no rank."""
        while not self._host.retired:
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
        silence = _HELD_TIMEOUT if host.is_held else 3.0 * interval
        return now >= max(host.ordered_at, self._planned_at) + silence + host.rank

    async def _plan_and_switch(self) -> None:
        """Read all ranks, mend what a lost round left, move if worth it."""
        ranks = range(len(self._host.group.ranks))
        self._sample = set(self._node.rng.sample(ranks, min(SAMPLE, len(ranks))))
        mended = await self._run_round(None)
        if mended.phase is not SwitchPhase.DONE:
            return
        # Later rounds of this turn read no counts: an engine tells each once.
        self._sample = set()
        self._counts.add(self._read_popularity())
        current = await self._find_map()
        if current is None:
            return
        speeds = [max(0.01, self._replies[rank].speed) for rank in ranks]
        skew = measure_skew(current, self._counts.counts, speeds)
        planned = await self._plan(current, speeds)
        if planned is None:
            self._host.note(skew, "no move is worth its cost")
            return
        done = await self._run_round(planned)
        good = done.phase is SwitchPhase.DONE and not done.failed
        if good:
            self._known = planned
        word = "active" if good else "given up"
        self._host.note(skew, f"map {planned.version} {word}")
        name = self._host.group.name
        _log.info("Group %s: skew %.2f, map %d %s.", name, skew, planned.version, word)

    async def _find_map(self) -> ExpertMap | None:
        """Return the map that all ranks have; read its slots if unknown."""
        active = {reply.active for reply in self._replies.values()}
        if self._known is not None and active == {self._known.version}:
            return self._known
        self._wants_slots = True
        await self._run_round(None)
        self._wants_slots = False
        self._known = self._read_map()
        return self._known

    async def _plan(self, current: ExpertMap, speeds: list[float]) -> ExpertMap | None:
        group = self._host.group
        # The counts are tokens; a mean rank's tokens take one layer's time.
        tokens = sum(map(sum, self._counts.counts)) / group.layers / len(group.ranks)
        tokens_in_second = tokens * group.layers / group.step
        cost = PlanCost(
            horizon_steps=HORIZON_INTERVALS * group.interval / group.step,
            move_cost=group.weight * tokens_in_second,
            switch_cost=group.pause * tokens_in_second,
        )
        plan = functools.partial(
            plan_moves, self._make_ballot(), current, self._counts.counts, speeds, cost
        )
        loop = self._node.loop_thread.loop
        return await loop.run_in_executor(self._node.executor, plan)

    async def _run_round(self, wanted: ExpertMap | None) -> SwitchRound:
        group = self._host.group
        state = start_switch_round(self._make_ballot(), len(group.ranks), wanted)
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
        self, state: SwitchRound, order: GroupOrder, wanted: ExpertMap | None
    ) -> None:
        group = self._host.group
        message = write_order(group.name, order, wanted)
        message.wants_popularity = order.rank in self._sample
        message.wants_slots = self._wants_slots
        message.stamp.CopyFrom(write_stamp(self._node.stamp()))
        reply = await self._carry(group.ranks[order.rank], message)
        if reply is None:
            return
        reading = read_reading(reply) if reply.has_reading else None
        answer = RankReply(order, reply.stamp.boot, reply.ballot, reply.obeyed, reading)
        if reading is not None and order.act is GroupAct.READ:
            self._replies[order.rank] = reply
        record_reply(state, answer)

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
        self._node.count_control_bytes(message, reply)
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
