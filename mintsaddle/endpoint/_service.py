"""gRPC service that receives requests from entries."""

import itertools
from collections.abc import Iterator
from typing import NamedTuple

from grpclib.server import Stream

from mintsaddle.decisions.arrivals import Arrival
from mintsaddle.endpoint._host import EndpointHost
from mintsaddle.endpoint._mailbox import Mailbox
from mintsaddle.endpoint._reply_events import (
    Accepted,
    Broken,
    Chunk,
    End,
    Head,
    Refused,
    ReplyEvent,
    is_final,
)
from mintsaddle.transport import read_stamp, write_load, write_refusal, write_stamp
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import EndpointCallsBase
from mintsaddle.values import Claim, OrderKey, Reason, Refusal, parse_key

_RETRY_DELAY = 0.5
"""Seconds after which a refused request may be retried."""

_CallStream = Stream[pb.CallRequest, pb.CallReply]


class _ChunkBatch(NamedTuple):
    """Consecutive chunks that are sent in one message."""

    first: int
    """Sequence number of the first chunk."""

    data: tuple[bytes, ...]


class CallService(EndpointCallsBase):
    """Runs the requests that entries send."""

    def __init__(self, host: EndpointHost) -> None:
        self._host = host

    async def Call(self, stream: _CallStream) -> None:  # noqa: N802
        """Run one attempt and stream its reply events."""
        message = await stream.recv_message()
        if message is None:
            return
        node = self._host.node
        is_up_to_date = await node.catch_up(
            read_stamp(message.stamp), message.sender_address
        )
        if not is_up_to_date or not node.is_serving():
            await self._refuse(stream, message)
            return
        key = _read_key(message)
        arrival = Arrival(
            request_id=message.request_id,
            service=message.service,
            workspace=message.workspace,
            priority=message.priority,
            deadline=message.deadline,
            key=key,
            resumes=message.resume_after > 0,
        )
        mailbox = self._host.open(arrival, message)
        try:
            await self._send_events(stream, mailbox)
        finally:
            # Also runs when the entry cancels the stream.
            self._host.close(message.request_id)

    async def _send_events(self, stream: _CallStream, mailbox: Mailbox) -> None:
        while True:
            events = await mailbox.take_all()
            for event in _batch_chunks(events):
                await stream.send_message(self._make_reply(event))
            if any(map(is_final, events)):
                return

    async def _refuse(self, stream: _CallStream, message: pb.CallRequest) -> None:
        """Refuse an attempt before any decision.

        This attempt did not run. An order with the same key may have run,
        so for orders the claim is NONE.
        """
        claim = Claim.NONE if message.key else Claim.NEVER
        retry_at = self._host.node.now() + _RETRY_DELAY
        refusal = Refusal(claim, Reason.BEHIND, retry_at)
        await stream.send_message(self._make_reply(Refused(refusal)))

    def _make_reply(self, event: ReplyEvent | _ChunkBatch) -> pb.CallReply:
        reply = pb.CallReply()
        match event:
            case _ChunkBatch(first, data):
                reply.chunks.first = first
                reply.chunks.data.extend(data)
                return reply
            case Accepted():
                reply.accepted.SetInParent()
            case Refused(refusal):
                reply.refused.CopyFrom(write_refusal(refusal))
            case Head(status, content_type):
                reply.head.status = status
                reply.head.content_type = content_type
            case End(count):
                reply.end.count = count
            case Broken(reason):
                reply.broken.reason = reason.value
        # Most messages are chunks. They carry no stamp and no load; the other
        # messages of the stream do.
        reply.stamp.CopyFrom(write_stamp(self._host.node.stamp()))
        reply.load.CopyFrom(write_load(self._host.load()))
        return reply


def _batch_chunks(events: list[ReplyEvent]) -> Iterator[ReplyEvent | _ChunkBatch]:
    for is_chunk, group in itertools.groupby(
        events, lambda event: isinstance(event, Chunk)
    ):
        if not is_chunk:
            yield from group
            continue
        chunks = [event for event in group if isinstance(event, Chunk)]
        data = tuple(chunk.data for chunk in chunks)
        yield _ChunkBatch(chunks[0].sequence, data)


def _read_key(message: pb.CallRequest) -> OrderKey | None:
    if not message.key:
        return None
    # Entries reject malformed keys, so parsing succeeds; otherwise unwrap
    # raises and the stream fails.
    return parse_key(message.key).unwrap()
