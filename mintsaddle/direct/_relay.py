"""Relaying the copy of what is published between direct entries."""

import asyncio
import zlib
from collections.abc import AsyncGenerator, Callable
from typing import TYPE_CHECKING

from mintsaddle.decisions.direct import STALE_AFTER_FRACTION, Position, PublishedItem
from mintsaddle.direct._gateway import Gateway
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import EntryPeersStub
from mintsaddle.values import Instant

if TYPE_CHECKING:
    from grpclib.server import Stream

ANSWER_SECONDS = 0.5
"""Seconds for an upstream's first message, and for a follower to take one."""

STREAM_SECONDS = 20.0
"""Seconds after which a follower is let go: it then follows whoever ranks
highest, and a follower that lost power keeps no stream for longer."""

COMPRESSED_BYTES = 2_048
"""Size from which a value is compressed: links of entries are narrow, and a
configuration of many routes goes to each follower."""


class StaleUpstreamError(Exception):
    """An upstream answers but has confirmed nothing for too long."""


class CopyRelay:
    """Both sides of relaying one entry's copy; runs in the peers' loop."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._changed = asyncio.Event()
        self._compressed: dict[str, tuple[PublishedItem, pb.RelayedItem]] = {}

    def notify(self) -> None:
        """Wake the streams of all followers."""
        self._changed.set()
        self._changed = asyncio.Event()

    def make_position(self, now: Instant) -> pb.Position:
        """Return how new this entry's copy is."""
        replica = self._gateway.replica
        return pb.Position(
            prefix=replica.prefix,
            era=replica.position.era,
            revision=replica.position.revision,
            age=now - replica.confirmed_at,
            lapse_left=max(0.0, replica.lapse_until - now),
        )

    def make_news(
        self, hello: pb.EntryHello, known: Position
    ) -> tuple[pb.EntryNews, Position]:
        """Return what a peer is missing, and where it stands with that.

        Args:
            hello: Who tells; its position is filled in.
            known: Up to where the peer misses nothing.
        """
        with self._gateway.lock:
            replica = self._gateway.replica
            hello.positions.append(self.make_position(self._gateway.now()))
            changes = replica.changes_since(known)
            is_complete = replica.lacks_removals_since(known)
            reached = max(known, replica.position)
        items = [self._encode(item) for item in changes]
        news = pb.EntryNews(hello=hello, items=items, complete=is_complete)
        return news, reached

    async def serve(
        self,
        stream: "Stream[pb.EntryHello, pb.EntryNews]",
        make_hello: Callable[[], pb.EntryHello],
        known: Position,
    ) -> None:
        """Send a follower each change and confirmation, for a limited time."""
        ends_at = self._gateway.now() + STREAM_SECONDS
        while self._gateway.now() < ends_at:
            changed = self._changed
            news, known = self.make_news(make_hello(), known)
            await asyncio.wait_for(stream.send_message(news), ANSWER_SECONDS)
            left = max(0.0, ends_at - self._gateway.now())
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                return

    async def follow(
        self, stub: EntryPeersStub, hello: pb.EntryHello
    ) -> AsyncGenerator[pb.EntryNews, None]:
        """Take over what an upstream tells, and give each message.

        Raises:
            StaleUpstreamError: It has confirmed nothing for too long.
            Exception: It doesn't answer; whatever grpclib raises.
        """
        silent_seconds = self._gateway.settings.propagation_time * STALE_AFTER_FRACTION
        async with stub.Follow.open() as stream:
            send = stream.send_message(hello, end=True)
            await asyncio.wait_for(send, ANSWER_SECONDS)
            news = await asyncio.wait_for(stream.recv_message(), ANSWER_SECONDS)
            while news is not None:
                for position in news.hello.positions:
                    self.take(news, position)
                yield news
                try:
                    news = await asyncio.wait_for(stream.recv_message(), silent_seconds)
                except TimeoutError as error:
                    raise StaleUpstreamError from error

    def take(self, news: pb.EntryNews, position: pb.Position) -> None:
        """Take over what a peer tells."""
        gateway = self._gateway
        now = gateway.now()
        if position.prefix != gateway.replica.prefix or position.revision == 0:
            return
        if position.lapse_left > 0:
            gateway.expect_lapses(now + position.lapse_left)
        gateway.apply_items(
            [_decode(item) for item in news.items],
            read_position(position),
            is_complete=news.complete,
            confirmed_at=now - position.age,
            source=news.hello.vm,
        )

    def _encode(self, item: PublishedItem) -> pb.RelayedItem:
        value = item.value or b""
        if len(value) < COMPRESSED_BYTES:
            return pb.RelayedItem(
                key=item.key,
                revision=item.revision,
                removed=item.value is None,
                value=value,
            )
        source, relayed = self._compressed.get(item.key, (None, None))
        if relayed is None or source != item:
            relayed = pb.RelayedItem(
                key=item.key,
                revision=item.revision,
                value=zlib.compress(value),
                compressed=True,
            )
            self._compressed[item.key] = (item, relayed)
        return relayed


def read_position(position: pb.Position) -> Position:
    """Return where a peer's copy stands."""
    return Position(position.era, position.revision)


def position_in(hello: pb.EntryHello) -> Position:
    """Return up to where a peer misses nothing."""
    return max(map(read_position, hello.positions), default=Position())


def _decode(item: pb.RelayedItem) -> PublishedItem:
    if item.removed:
        return PublishedItem(item.key, item.revision, None)
    value = zlib.decompress(item.value) if item.compressed else bytes(item.value)
    return PublishedItem(item.key, item.revision, value)
