"""Between a group's typed orders and readings and their messages."""

from collections.abc import Sequence

from mintsaddle.decisions.expert_maps import (
    ExpertMap,
    GroupAct,
    GroupOrder,
    RankReading,
)
from mintsaddle.transport.proto import peer_pb2 as pb


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
        slots = wanted.experts_of_rank(order.rank)
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
