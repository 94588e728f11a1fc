"""Exchanging beliefs with other direct entries, by gRPC."""

import asyncio
from collections.abc import Sequence
from typing import Any

from grpclib.server import Server, Stream

from mintsaddle.decisions.direct import (
    KnownEntry,
    Membership,
    PublishedItem,
    Replica,
)
from mintsaddle.direct._gateway import Gateway
from mintsaddle.observe import fields, make_logger
from mintsaddle.transport import ChannelPool, LoopThread
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import EntryPeersBase, EntryPeersStub
from mintsaddle.values import Instant

ROUND_SECONDS = 1.0
"""Seconds between two rounds while the platform is well."""

SEARCH_SECONDS = 0.3
"""Seconds between two rounds while it gives nothing: a relayed change then
arrives well within the two seconds that a configuration may take. A young
entry asks as often, to know the others before it takes up duties."""

HOLDER_SECONDS = 0.4
"""Seconds between two questions to the holder of a duty by those next in line:
while nobody sees to a group, its map stays the wrong one after each change of
popularity."""

EXCHANGE_SECONDS = 0.5
"""Seconds for a peer's answer, which needs no waiting; 2 ms is usual."""

STALE_SECONDS = 1.0
"""Age of one's own reading from which a peer's newer one is asked for."""

_log = make_logger("peers")


class PeerExchange(EntryPeersBase):
    """Both sides of the exchange of one entry; runs in its loop."""

    def __init__(self, gateway: Gateway, membership: Membership) -> None:
        self._gateway = gateway
        self._membership = membership
        self._channels = ChannelPool()
        self._silent: set[str] = set()

    async def Exchange(  # noqa: N802 - the name that gRPC gives it
        self, stream: "Stream[pb.EntryHello, pb.EntryNews]"
    ) -> None:
        """Answer a peer: note what it knows, give what it is missing."""
        hello = await stream.recv_message()
        if hello is None:
            return
        self._note_hello(hello)
        news = pb.EntryNews(hello=self._make_hello())
        with self._gateway.lock:
            replica = self._gateway.replica
            news.items.extend(_missing_items(replica, _position_in(hello)))
        await stream.send_message(news)

    async def run(self) -> None:
        """Exchange beliefs, round after round, until cancelled."""
        while True:
            is_searching = self._gateway.is_platform_lost
            now = self._gateway.now()
            duties = self._gateway.duties()
            peers = self._membership.choose_peers(
                now, self._gateway.rng, duties, is_searching=is_searching
            )
            await asyncio.gather(*(self._ask(address) for address in peers))
            self._gateway.set_entries(self._membership.count(now))
            is_hurried = is_searching or not self._membership.is_settled(now)
            pause = SEARCH_SECONDS if is_hurried else ROUND_SECONDS
            await asyncio.sleep(pause * (0.75 + self._gateway.rng.random() / 2))

    async def watch_holders(self) -> None:
        """Ask the holders of duties that this entry would follow, for ever."""
        while True:
            duties, now = self._gateway.duties(), self._gateway.now()
            holders = set(self._membership.holders_to_watch(duties, now))
            await asyncio.gather(*(self._ask(address) for address in holders))
            await asyncio.sleep(HOLDER_SECONDS)

    async def _ask(self, address: str) -> None:
        stub = EntryPeersStub(self._channels.open(address))
        try:
            news = await stub.Exchange(self._make_hello(), timeout=EXCHANGE_SECONDS)
        except Exception as error:
            # Whatever grpclib raises, the peer is tried again over a fresh
            # connection in a later round.
            self._channels.drop(address)
            self._membership.note_silence(address)
            if address not in self._silent:
                self._silent.add(address)
                name = type(error).__name__
                _log.info("Peer lost %s.", fields(address=address, error=name))
            return
        self._membership.note_answer(address)
        if address in self._silent:
            self._silent.discard(address)
            _log.info("Peer regained %s.", fields(address=address))
        self._note_hello(news.hello)
        self._take_news(news)

    def _make_hello(self) -> pb.EntryHello:
        gateway, membership = self._gateway, self._membership
        now = gateway.now()
        hello = pb.EntryHello(
            vm=membership.vm, address=membership.address, leaving=gateway.leaving
        )
        replica = gateway.replica
        hello.positions.add(
            prefix=replica.prefix,
            revision=replica.position,
            age=now - replica.confirmed_at,
        )
        for entry in membership.heard_last(now):
            hello.entries.add(
                vm=entry.vm, address=entry.address, age=now - entry.heard_at
            )
        return hello

    def _note_hello(self, hello: pb.EntryHello) -> None:
        now = self._gateway.now()
        if hello.leaving:
            self._membership.remove(hello.vm, now)
        else:
            self._membership.note(KnownEntry(hello.vm, hello.address, now))
        for entry in hello.entries:
            heard_at = now - entry.age
            self._membership.note(KnownEntry(entry.vm, entry.address, heard_at))

    def _take_news(self, news: pb.EntryNews) -> None:
        """Take over items of a peer that has a newer or fresher reading."""
        now = self._gateway.now()
        items = [
            PublishedItem(
                item.key, item.revision, None if item.removed else bytes(item.value)
            )
            for item in news.items
        ]
        for position in news.hello.positions:
            self._take_position(position, items, news.hello.vm, now)

    def _take_position(
        self,
        position: pb.Position,
        items: Sequence[PublishedItem],
        source: str,
        now: Instant,
    ) -> None:
        replica = self._gateway.replica
        if position.prefix != replica.prefix or position.revision == 0:
            return
        is_behind = position.revision > replica.position
        is_stale = now - replica.confirmed_at > STALE_SECONDS
        if is_behind or (is_stale and self._gateway.is_platform_lost):
            self._gateway.take_items(
                items,
                position.revision,
                is_complete=False,
                confirmed_at=now - position.age,
                source=source,
            )


def _position_in(hello: pb.EntryHello) -> int:
    """Return the revision up to which a peer misses nothing."""
    return max((one.revision for one in hello.positions), default=0)


def _missing_items(replica: Replica, revision: int) -> list[pb.RelayedItem]:
    return [
        pb.RelayedItem(
            key=item.key,
            revision=item.revision,
            removed=item.value is None,
            value=item.value or b"",
        )
        for item in replica.changes_since(revision)
    ]


def start_peers(gateway: Gateway, membership: Membership) -> None:
    """Answer peers and ask them, in a loop of its own, from now on."""
    loop_thread = LoopThread("peers")
    loop_thread.start()
    loop_thread.submit(_start(gateway, membership)).result()


async def _start(gateway: Gateway, membership: Membership) -> None:
    exchange = PeerExchange(gateway, membership)
    server: Any = Server([exchange])
    host, _, port = gateway.settings.control.rpartition(":")
    await server.start(host, int(port))
    rounds = asyncio.ensure_future(exchange.run())
    watch = asyncio.ensure_future(exchange.watch_holders())
    gateway.keep(server, rounds, watch)
