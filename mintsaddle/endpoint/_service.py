"""The gRPC service by which entries hand requests to an endpoint daemon."""

import itertools
from collections.abc import Iterator
from typing import NamedTuple

from grpclib.server import Stream

from mintsaddle.decisions.arrivals import Arrival
from mintsaddle.endpoint._host import EndpointHost
from mintsaddle.endpoint._mailbox import Mailbox
from mintsaddle.endpoint._words import (
    Accepted,
    Broken,
    Chunk,
    End,
    Head,
    Refused,
    Word,
    is_final,
)
from mintsaddle.transport import read_stamp, write_load, write_refusal, write_stamp
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import EndpointCallsBase
from mintsaddle.values import Claim, OrderKey, Reason, Refusal, parse_key

_BACK_SOON = 0.5
_CallStream = Stream[pb.CallRequest, pb.CallReply]


class _Chunks(NamedTuple):
    """Chunks that waited together; they travel as one message."""

    first: int
    """Sequence of the first one."""

    data: tuple[bytes, ...]


class CallService(EndpointCallsBase):
    """Takes requests from entries."""

    def __init__(self, host: EndpointHost) -> None:
        self._host = host

    async def Call(self, stream: _CallStream) -> None:  # noqa: N802
        """Run one attempt and send its words."""
        message = await stream.recv_message()
        if message is None:
            return
        node = self._host.node
        known = await node.catch_up(read_stamp(message.stamp), message.sender_address)
        if not known or not node.is_serving():
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
            await self._send_words(stream, mailbox)
        finally:
            # Reached by a cancel of the entry, too.
            self._host.close(message.request_id)

    async def _send_words(self, stream: _CallStream, mailbox: Mailbox) -> None:
        while True:
            words = await mailbox.take()
            for word in _join_chunks(words):
                await stream.send_message(self._make_reply(word))
            if any(map(is_final, words)):
                return

    async def _refuse(self, stream: _CallStream, message: pb.CallRequest) -> None:
        """Refuse before any decision: nothing ran, but a key may be known."""
        claim = Claim.NONE if message.key else Claim.NEVER
        retry_at = self._host.node.now() + _BACK_SOON
        refusal = Refusal(claim, Reason.BEHIND, retry_at)
        await stream.send_message(self._make_reply(Refused(refusal)))

    def _make_reply(self, word: Word | _Chunks) -> pb.CallReply:
        reply = pb.CallReply()
        match word:
            case _Chunks(first, data):
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
        # Chunks are the bulk of all messages: they carry neither stamp nor
        # load, which their stream's other messages bring.
        reply.stamp.CopyFrom(write_stamp(self._host.node.stamp()))
        reply.load.CopyFrom(write_load(self._host.load()))
        return reply


def _join_chunks(words: list[Word]) -> Iterator[Word | _Chunks]:
    for is_chunk, run in itertools.groupby(words, lambda word: isinstance(word, Chunk)):
        if not is_chunk:
            yield from run
            continue
        chunks = [word for word in run if isinstance(word, Chunk)]
        data = tuple(chunk.data for chunk in chunks)
        yield _Chunks(chunks[0].sequence, data)


def _read_key(message: pb.CallRequest) -> OrderKey | None:
    if not message.key:
        return None
    # An entry sends no key that it couldn't read; unwrap fails the stream.
    return parse_key(message.key).unwrap()
