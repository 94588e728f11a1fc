"""Plans expert maps for one group and switches the group to them."""

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

MAX_SAMPLED_RANKS = 8
"""Maximum number of ranks whose token counts are read for one plan.

Each rank routes an equal share of the tokens, so a few ranks suffice to
estimate the popularity. Reading the counts of 128 ranks would cost the
coordinator 96 KB/s of control traffic.
"""

# Durations are in seconds.
_ORDER_TIMEOUT = 3.0
_RETRY_DELAY = 0.05
_POLL_INTERVAL = 0.5
_MAX_ROUND_ITERATIONS = 400
_POPULARITY_DECAY = 0.3
"""Weight of the old token counts at each update."""

_HELD_TAKEOVER_DELAY = 3.0
"""Takeover delay while the engine is held; otherwise three intervals."""

_RANK_BITS = 16
"""Low bits of a ballot that hold the rank of its coordinator."""

_log = make_logger("group")


class Coordinator:
    """Plans and switches the map of one group, normally on rank 0.

    Concurrent coordinators are safe but slow each other down: each round has
    its own ballot.
    """

    def __init__(self, node: DaemonNode, host: RankHost) -> None:
        self._node = node
        self._host = host
        group = host.group
        self._counts = PopularityCounts(group.layers, group.experts, _POPULARITY_DECAY)
        self._planned_at = node.now()
        self._replies: dict[int, pb.GroupReply] = {}
        self._known_map: ExpertMap | None = None
        self._sampled_ranks: set[int] = set()
        self._wants_slots = False

    async def run(self) -> None:
        """Coordinate whenever due, until this rank is retired."""
        while not self._host.retired:
            await asyncio.sleep(min(_POLL_INTERVAL, self._host.group.interval))
            if self._is_due():
                self._planned_at = self._node.now()
                await self._plan_and_switch()

    def _is_due(self) -> bool:
        """Return whether to start a round.

        Rank 0 does so once per interval. The others take over when they have
        received no order for some time; higher ranks wait longer, so that
        usually only one takes over.
        """
        host = self._host
        now = self._node.now()
        interval = host.group.interval
        if host.rank == 0:
            return now >= self._planned_at + interval
        delay = _HELD_TAKEOVER_DELAY if host.is_held else 3.0 * interval
        return now >= max(host.last_order_at, self._planned_at) + delay + host.rank

    async def _plan_and_switch(self) -> None:
        """Finish an interrupted switch, then switch maps if it pays off.

        The first round also reads the state of all ranks.
        """
        ranks = range(len(self._host.group.ranks))
        self._sampled_ranks = set(
            self._node.rng.sample(ranks, min(MAX_SAMPLED_RANKS, len(ranks)))
        )
        recovery = await self._run_round(None)
        if recovery.phase is not SwitchPhase.DONE:
            return
        # Engines report each count only once, so the later rounds of this plan
        # don't read counts.
        self._sampled_ranks = set()
        self._counts.add(self._sum_popularity())
        current = await self._get_current_map()
        if current is None:
            return
        speeds = [max(0.01, self._replies[rank].speed) for rank in ranks]
        skew = measure_skew(current, self._counts.counts, speeds)
        planned = await self._plan(current, speeds)
        if planned is None:
            self._host.record_plan(skew, "no move is worth its cost")
            return
        switch = await self._run_round(planned)
        succeeded = switch.phase is SwitchPhase.DONE and not switch.failed
        if succeeded:
            self._known_map = planned
        outcome = "active" if succeeded else "given up"
        self._host.record_plan(skew, f"map {planned.version} {outcome}")
        name = self._host.group.name
        _log.info(
            "Group %s: skew %.2f, map %d %s.", name, skew, planned.version, outcome
        )

    async def _get_current_map(self) -> ExpertMap | None:
        """Return the map active on all ranks; read its slots if unknown."""
        active = {reply.active for reply in self._replies.values()}
        if self._known_map is not None and active == {self._known_map.version}:
            return self._known_map
        self._wants_slots = True
        await self._run_round(None)
        self._wants_slots = False
        self._known_map = self._assemble_map()
        return self._known_map

    async def _plan(self, current: ExpertMap, speeds: list[float]) -> ExpertMap | None:
        group = self._host.group
        # Costs are in tokens, like the counts: the mean number of tokens per
        # rank and layer corresponds to the time of one layer.
        tokens = sum(map(sum, self._counts.counts)) / group.layers / len(group.ranks)
        tokens_per_second = tokens * group.layers / group.step
        cost = PlanCost(
            horizon_steps=HORIZON_INTERVALS * group.interval / group.step,
            move_cost=group.weight * tokens_per_second,
            switch_cost=group.pause * tokens_per_second,
        )
        plan = functools.partial(
            plan_moves, self._make_ballot(), current, self._counts.counts, speeds, cost
        )
        loop = self._node.loop_thread.loop
        return await loop.run_in_executor(self._node.executor, plan)

    async def _run_round(self, new_map: ExpertMap | None) -> SwitchRound:
        group = self._host.group
        state = start_switch_round(self._make_ballot(), len(group.ranks), new_map)
        for _ in range(_MAX_ROUND_ITERATIONS):
            orders = next_orders(state)
            if not orders:
                break
            progress = (state.sequence, len(state.answered))
            exchanges = (self._execute_order(state, order, new_map) for order in orders)
            await asyncio.gather(*exchanges)
            if (state.sequence, len(state.answered)) == progress:
                await asyncio.sleep(_RETRY_DELAY)
        return state

    async def _execute_order(
        self, state: SwitchRound, order: GroupOrder, new_map: ExpertMap | None
    ) -> None:
        group = self._host.group
        message = write_order(group.name, order, new_map)
        message.wants_popularity = order.rank in self._sampled_ranks
        message.wants_slots = self._wants_slots
        message.stamp.CopyFrom(write_stamp(self._node.stamp()))
        reply = await self._send_order(group.ranks[order.rank], message)
        if reply is None:
            return
        reading = read_reading(reply) if reply.has_reading else None
        rank_reply = RankReply(
            order, reply.stamp.boot, reply.ballot, reply.obeyed, reading
        )
        if reading is not None and order.act is GroupAct.READ:
            self._replies[order.rank] = reply
        record_reply(state, rank_reply)

    async def _send_order(
        self, vm: str, message: pb.GroupOrder
    ) -> pb.GroupReply | None:
        if vm == self._node.settings.vm:
            return await self._host.handle_order(message)
        fleet = self._node.configuration.fleet
        address = fleet.address_of(vm) if fleet else None
        if address is None:
            return None
        stub = PeerStub(self._node.channels.open(address))
        try:
            reply = await stub.OrderGroup(message, timeout=_ORDER_TIMEOUT)
        except Exception as error:
            _log.debug("Rank at %s did not answer: %s.", vm, type(error).__name__)
            self._node.channels.drop(address)
            return None
        self._node.count_control_bytes(message, reply)
        return reply

    def _make_ballot(self) -> int:
        """Return a ballot above all seen ones; its low bits are the rank."""
        now = int(self._node.now() * MILLISECONDS) << _RANK_BITS
        above_seen = (self._host.ballot >> _RANK_BITS) + 1 << _RANK_BITS
        return max(now, above_seen) | self._host.rank

    def _assemble_map(self) -> ExpertMap | None:
        """Return the map active on all ranks, assembled from their replies."""
        group = self._host.group
        replies = [self._replies.get(rank) for rank in range(len(group.ranks))]
        received = [reply for reply in replies if reply is not None]
        if (
            len(received) < len(replies)
            or len({reply.active for reply in received}) > 1
        ):
            return None
        if any(len(reply.slots) != group.layers * group.slots for reply in received):
            return None
        layers = tuple(
            tuple(
                tuple(reply.slots[layer * group.slots : (layer + 1) * group.slots])
                for reply in received
            )
            for layer in range(group.layers)
        )
        return ExpertMap(received[0].active, layers)

    def _sum_popularity(self) -> list[list[float]]:
        group = self._host.group
        totals = [[0.0] * group.experts for _ in range(group.layers)]
        for reply in self._replies.values():
            for index, tokens in enumerate(reply.popularity):
                layer, expert = divmod(index, group.experts)
                if layer < group.layers:
                    totals[layer][expert] += tokens
        return totals
