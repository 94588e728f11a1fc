"""Executes the orders that a group's coordinator sends to this rank."""

import asyncio
import functools
from typing import Any

from returns.result import Result, Success

from mintsaddle.daemon import DaemonNode
from mintsaddle.decisions.expert_maps import (
    GroupAct,
    OrderDecision,
    RankReading,
    RankState,
    check_order,
)
from mintsaddle.endpoint._group_messages import read_order, read_reading
from mintsaddle.engines import send_group_order
from mintsaddle.fleet import Group
from mintsaddle.observe import make_logger
from mintsaddle.transport import write_stamp
from mintsaddle.transport.proto import peer_pb2 as pb

_log = make_logger("group")


class RankHost:
    """This daemon's rank in one group.

    It is the only sender of group orders to the engine and executes them one
    at a time.
    """

    def __init__(self, node: DaemonNode, group: Group) -> None:
        self._node = node
        self._group = group
        self._rank = group.ranks.index(node.settings.vm)
        self._state = RankState(node.boot, node.boot_at)
        self._order_lock = asyncio.Lock()
        self._reading: RankReading | None = None
        self._last_order_at = node.now()
        self._retired = False
        self._skew = 0.0
        self._plan_note = ""

    @property
    def group(self) -> Group:
        """The group as configured."""
        return self._group

    @property
    def rank(self) -> int:
        """Index of this rank in the group."""
        return self._rank

    @property
    def last_order_at(self) -> float:
        """When the last order was received; initially the creation time."""
        return self._last_order_at

    @property
    def is_held(self) -> bool:
        """Whether the engine was held at the last reading."""
        return self._reading is not None and self._reading.held

    @property
    def ballot(self) -> int:
        """The highest ballot seen."""
        return self._state.ballot

    @property
    def retired(self) -> bool:
        """Whether the configuration no longer has this rank in this group."""
        return self._retired

    def retire(self) -> None:
        """Mark this rank as removed from the group."""
        self._retired = True

    def update_group(self, group: Group) -> None:
        """Replace the group after a configuration change."""
        self._group = group

    def record_plan(self, skew: float, note: str) -> None:
        """Record the result of the last plan for the status."""
        self._skew = skew
        self._plan_note = note

    def add_to_status(self, status: pb.Status) -> None:
        """Add this rank to a status message."""
        standing = status.groups.add(
            group=self._group.name,
            rank=self._rank,
            ballot=self._state.ballot,
            skew=self._skew,
            note=self._plan_note,
        )
        if self._reading is not None:
            standing.active_version = self._reading.active
            standing.held = self._reading.held

    async def handle_order(self, message: pb.GroupOrder) -> pb.GroupReply:
        """Execute one order after the previous one has finished."""
        async with self._order_lock:
            self._last_order_at = self._node.now()
            order = read_order(message)
            decision = check_order(self._state, order, self._node.now())
            obeyed = decision is not OrderDecision.REFUSE
            answer: dict[str, Any] | None = None
            if decision is OrderDecision.OBEY:
                answer = await self._send(order.act.value, _make_engine_order(message))
                obeyed = answer is not None and bool(answer.get("obeyed"))
            elif decision is OrderDecision.READ:
                answer = await self._send(GroupAct.READ.value, {"ballot": order.ballot})
            reply = self._make_reply(answer, obeyed=obeyed)
            if answer is not None and message.wants_popularity:
                reply.popularity.extend(answer.get("popularity", ()))
            if answer is not None and message.wants_slots:
                reply.slots.extend(answer.get("slots", ()))
            if answer is not None:
                self._reading = read_reading(reply)
            return reply

    async def _send(self, act: str, order: dict[str, Any]) -> dict[str, Any] | None:
        engine = self._node.settings.engine
        loop = self._node.loop_thread.loop
        send = functools.partial(send_group_order, engine, act, order)
        result: Result[dict[str, Any], str] = await loop.run_in_executor(
            self._node.executor, send
        )
        if not isinstance(result, Success):
            _log.warning("Engine call '%s' failed: %s.", act, result.failure())
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
            reply.speed = answer.get("speed", 1.0)
        return reply


def _make_engine_order(message: pb.GroupOrder) -> dict[str, Any]:
    return {
        "ballot": message.ballot,
        "version": message.version,
        "limit": message.limit,
        "slots": list(message.slots),
    }
