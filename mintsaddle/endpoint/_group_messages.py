"""Converts group orders and readings from and to protobuf messages."""

from collections.abc import Sequence

from mintsaddle.decisions.expert_maps import (
    ExpertMap,
    GroupAct,
    GroupOrder,
    RankReading,
)
from mintsaddle.transport.proto import peer_pb2 as pb


def read_order(message: pb.GroupOrder) -> GroupOrder:
    """Return the order that a message contains."""
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
    group: str, order: GroupOrder, new_map: ExpertMap | None
) -> pb.GroupOrder:
    """Return the message for an order, with the slots to stage if any."""
    slots: Sequence[int] = ()
    if order.act is GroupAct.STAGE and new_map is not None:
        slots = new_map.experts_of_rank(order.rank)
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
    """Return the rank state that a reply contains."""
    return RankReading(
        reply.active,
        reply.staged,
        reply.previous,
        reply.held,
        reply.entered,
        reply.completed,
    )
