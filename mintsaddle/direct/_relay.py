"""Relaying of replica updates between direct entries."""

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

MESSAGE_TIMEOUT_SECONDS = 0.5
"""Timeout for the first message of an upstream, and for sending a message to a
follower."""

MAX_STREAM_SECONDS = 20.0
"""Longest duration of a follower's stream. Afterwards the follower chooses the
upstream that ranks highest by then; a follower that lost power doesn't hold a
stream open any longer either."""

COMPRESSION_THRESHOLD_BYTES = 2_048
"""Size from which a value is compressed. Links between entries have little
bandwidth, and a configuration with many routes goes to each follower."""


class StaleUpstreamError(Exception):
    """An upstream responds, but hasn't confirmed its replica for too long."""


class ReplicaRelay:
    """Sends and receives replica updates of one entry.

    Runs in the event loop of the gossip.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._changed = asyncio.Event()
        self._compressed: dict[str, tuple[PublishedItem, pb.RelayedItem]] = {}

    def notify(self) -> None:
        """Wake the streams to all followers."""
        self._changed.set()
        self._changed = asyncio.Event()

    def make_position(self, now: Instant) -> pb.Position:
        """Return the position and age of this entry's replica."""
        replica = self._gateway.replica
        return pb.Position(
            prefix=replica.prefix,
            era=replica.position.era,
            revision=replica.position.revision,
            age=now - replica.confirmed_at,
            lapse_left=max(0.0, replica.lapse_until - now),
        )

    def make_update(
        self, hello: pb.EntryHello, known: Position
    ) -> tuple[pb.EntryNews, Position]:
        """Return an update for a peer, and the position that it leads to.

        Args:
            hello: Gossip message to include; the replica's position is added.
            known: Position up to which the peer's replica is complete.
        """
        with self._gateway.lock:
            replica = self._gateway.replica
            hello.positions.append(self.make_position(self._gateway.now()))
            changes = replica.changes_since(known)
            is_complete = replica.lacks_removals_since(known)
            new_position = max(known, replica.position)
        items = [self._encode_item(item) for item in changes]
        update = pb.EntryNews(hello=hello, items=items, complete=is_complete)
        return update, new_position

    async def send_updates(
        self,
        stream: "Stream[pb.EntryHello, pb.EntryNews]",
        make_hello: Callable[[], pb.EntryHello],
        known: Position,
    ) -> None:
        """Send a follower updates for at most ``MAX_STREAM_SECONDS``."""
        ends_at = self._gateway.now() + MAX_STREAM_SECONDS
        while self._gateway.now() < ends_at:
            changed = self._changed
            update, known = self.make_update(make_hello(), known)
            await asyncio.wait_for(stream.send_message(update), MESSAGE_TIMEOUT_SECONDS)
            remaining = max(0.0, ends_at - self._gateway.now())
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                return

    async def receive_updates(
        self, stub: EntryPeersStub, hello: pb.EntryHello
    ) -> AsyncGenerator[pb.EntryNews, None]:
        """Apply the updates of an upstream, and yield each of them.

        Raises:
            StaleUpstreamError: It sent no update for too long.
            Exception: It doesn't respond; grpclib raises various exceptions.
        """
        max_silence_seconds = (
            self._gateway.settings.propagation_time * STALE_AFTER_FRACTION
        )
        async with stub.Follow.open() as stream:
            send = stream.send_message(hello, end=True)
            await asyncio.wait_for(send, MESSAGE_TIMEOUT_SECONDS)
            update = await asyncio.wait_for(
                stream.recv_message(), MESSAGE_TIMEOUT_SECONDS
            )
            while update is not None:
                for position in update.hello.positions:
                    self.apply_update(update, position)
                yield update
                try:
                    update = await asyncio.wait_for(
                        stream.recv_message(), max_silence_seconds
                    )
                except TimeoutError as error:
                    raise StaleUpstreamError from error

    def apply_update(self, update: pb.EntryNews, position: pb.Position) -> None:
        """Apply an update from a peer to the replica."""
        gateway = self._gateway
        now = gateway.now()
        if position.prefix != gateway.replica.prefix or position.revision == 0:
            return
        if position.lapse_left > 0:
            gateway.expect_lapses(now + position.lapse_left)
        gateway.apply_items(
            [_decode_item(item) for item in update.items],
            decode_position(position),
            is_complete=update.complete,
            confirmed_at=now - position.age,
            source=update.hello.vm,
        )

    def _encode_item(self, item: PublishedItem) -> pb.RelayedItem:
        value = item.value or b""
        if len(value) < COMPRESSION_THRESHOLD_BYTES:
            return pb.RelayedItem(
                key=item.key,
                revision=item.revision,
                removed=item.value is None,
                value=value,
            )
        cached_item, relayed = self._compressed.get(item.key, (None, None))
        if relayed is None or cached_item != item:
            relayed = pb.RelayedItem(
                key=item.key,
                revision=item.revision,
                value=zlib.compress(value),
                compressed=True,
            )
            self._compressed[item.key] = (item, relayed)
        return relayed


def decode_position(position: pb.Position) -> Position:
    """Return the position in a peer's message."""
    return Position(position.era, position.revision)


def newest_position(hello: pb.EntryHello) -> Position:
    """Return the newest position that a peer's message states."""
    return max(map(decode_position, hello.positions), default=Position())


def _decode_item(item: pb.RelayedItem) -> PublishedItem:
    if item.removed:
        return PublishedItem(item.key, item.revision, None)
    value = zlib.decompress(item.value) if item.compressed else bytes(item.value)
    return PublishedItem(item.key, item.revision, value)
