"""Exchanging beliefs with other direct entries, by gRPC."""

import asyncio
import contextlib
from typing import Any

from grpclib.server import Server, Stream

from mintsaddle.decisions.direct import KnownEntry, Membership, UpstreamSelector
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._permits import PermitExchange
from mintsaddle.direct._relay import (
    CopyRelay,
    StaleUpstreamError,
    position_in,
    read_position,
)
from mintsaddle.observe import fields, make_logger
from mintsaddle.transport import ChannelPool, LoopThread
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import EntryPeersBase, EntryPeersStub

ROUND_SECONDS = 1.0
"""Seconds between two rounds while the platform is well."""

SEARCH_SECONDS = 0.3
"""Seconds between two rounds while it gives nothing: a relayed change then
arrives well within the two seconds that a configuration may take. A young
entry asks as often, to know the others before it takes up duties."""

HOLDER_SECONDS = 0.4
"""Seconds between two questions to the holder of a duty by its successors:
while nobody manages a group, its map stays wrong after each change."""

EXCHANGE_SECONDS = 0.5
"""Seconds for a peer's answer, which needs no waiting; 2 ms is usual."""

STALE_SECONDS = 1.0
"""Age of one's own reading from which a peer's newer one is asked for."""

CHOICE_SECONDS = 0.2
"""Seconds between two choices of a reader that might follow another entry."""

PEER_WEIGHT = 3
"""Lost datagrams that a silent peer speaks for."""

_log = make_logger("peers")


class PeerExchange(EntryPeersBase):
    """Both sides of the exchange of one entry; runs in its loop."""

    def __init__(self, gateway: Gateway, membership: Membership) -> None:
        self._gateway = gateway
        self._membership = membership
        self._channels = ChannelPool()
        self._silent: set[str] = set()
        self._relay = CopyRelay(gateway)
        self._upstreams = UpstreamSelector(membership.vm, gateway.settings.data_centre)
        self._permits = PermitExchange(gateway, membership, self._channels)
        self._cut_found = asyncio.Event()

    @property
    def permits(self) -> PermitExchange:
        """Permits of endpoints that limit their requests."""
        return self._permits

    async def Exchange(  # noqa: N802 - the name that gRPC gives it
        self, stream: "Stream[pb.EntryHello, pb.EntryNews]"
    ) -> None:
        """Answer a peer: note what it knows, give what it is missing."""
        hello = await stream.recv_message()
        if hello is None:
            return
        self._record_hello(hello)
        news, _ = self._relay.make_news(self._make_full_hello(), position_in(hello))
        await stream.send_message(news)

    async def Follow(  # noqa: N802 - the name that gRPC gives it
        self, stream: "Stream[pb.EntryHello, pb.EntryNews]"
    ) -> None:
        """Give a follower what it is missing, then each change."""
        hello = await stream.recv_message()
        if hello is None:
            return
        self._record_hello(hello)
        await self._relay.serve(stream, self._make_brief_hello, position_in(hello))

    async def AskPermit(  # noqa: N802 - the name that gRPC gives it
        self, stream: "Stream[pb.PermitWish, pb.PermitAnswer]"
    ) -> None:
        """Answer a peer that has a request for a limited endpoint."""
        wish = await stream.recv_message()
        if wish is not None:
            await stream.send_message(self._permits.answer_permit_request(wish))

    async def NoteRates(  # noqa: N802 - the name that gRPC gives it
        self, stream: "Stream[pb.RateNews, pb.RateNoted]"
    ) -> None:
        """Take over which endpoints limit their requests."""
        news = await stream.recv_message()
        if news is not None:
            self._permits.record_rates(news.rates)
            await stream.send_message(pb.RateNoted())

    def watch_copy(self, loop: asyncio.AbstractEventLoop) -> None:
        """Tell followers in the given loop of each change of the copy."""

        def notify() -> None:
            loop.call_soon_threadsafe(self._relay.notify)

        self._gateway.on_replica_update(notify)

    def watch_cuts(self, loop: asyncio.AbstractEventLoop) -> None:
        """Tell neighbours in the given loop when a path is cut or back."""

        def notify() -> None:
            loop.call_soon_threadsafe(self._cut_found.set)

        self._gateway.reach.on_change(notify)

    async def run(self) -> None:
        """Exchange beliefs, round after round, until cancelled."""
        while True:
            has_cuts = bool(self._gateway.reach.cut)
            is_searching = self._gateway.is_platform_lost or has_cuts
            now = self._gateway.now()
            duties = self._gateway.duties()
            peers = self._membership.choose_peers(
                now, self._gateway.rng, duties, is_searching=is_searching
            )
            await asyncio.gather(*(self._ask(address) for address in peers))
            self._gateway.set_entry_count(self._membership.count(now))
            is_hurried = is_searching or not self._membership.is_settled(now)
            pause = SEARCH_SECONDS if is_hurried else ROUND_SECONDS
            pause *= 0.75 + self._gateway.rng.random() / 2
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._cut_found.wait(), pause)
                self._cut_found.clear()
                await self._tell_neighbours()

    async def _tell_neighbours(self) -> None:
        """Exchange at once with all entries of the own data centre.

        Callers are sent to other data centres once none of these is ready.
        """
        now, here = self._gateway.now(), self._gateway.settings.data_centre
        reachable = self._membership.reachable(now)
        near = [one.address for one in reachable if one.data_centre == here]
        await asyncio.gather(*(self._ask(address) for address in near))

    async def follow_upstreams(self) -> None:
        """Follow one upstream after the other, until cancelled."""
        while True:
            now = self._gateway.now()
            upstream = None
            if self._membership.is_settled(now):
                reachable = self._membership.reachable(now)
                upstream = self._upstreams.choose(reachable, now)
                self._gateway.set_reader(upstream is None)
            if upstream is None:
                await asyncio.sleep(CHOICE_SECONDS)
            else:
                await self._follow(upstream)

    async def _follow(self, upstream: KnownEntry) -> None:
        """Follow one entry until it fails, leaves or ends the stream."""
        gateway = self._gateway
        stub = EntryPeersStub(self._channels.open(upstream.address))
        hello = self._make_hello()
        try:
            async with contextlib.aclosing(self._relay.follow(stub, hello)) as told:
                async for news in told:
                    self._record_hello(news.hello)
                    if news.hello.leaving:
                        return
        except StaleUpstreamError:
            # Its copy is as old as this one's while the platform is down.
            if not gateway.must_poll:
                self._upstreams.reject(upstream.vm, gateway.now())
                _log.info("Upstream rejected %s.", fields(vm=upstream.vm))
        except Exception as error:
            self._record_silence(upstream.address, error)

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
            self._record_silence(address, error)
            return
        self._membership.record_answer(address)
        self._gateway.reach.record(news.hello.data_centre, came=True)
        if address in self._silent:
            self._silent.discard(address)
            _log.info("Peer regained %s.", fields(address=address))
        self._record_hello(news.hello)
        for position in news.hello.positions:
            if self._is_news(position):
                self._relay.take(news, position)

    def _record_silence(self, address: str, error: Exception) -> None:
        """Record that a peer failed, whatever grpclib raised.

        It is tried again over a fresh connection in a later round.
        """
        self._channels.drop(address)
        self._membership.record_timeout(address)
        data_centre = self._membership.data_centre_of(address)
        # A peer is waited for much longer than a datagram.
        self._gateway.reach.record(data_centre, came=False, weight=PEER_WEIGHT)
        if address not in self._silent:
            self._silent.add(address)
            name = type(error).__name__
            _log.info("Peer lost %s.", fields(address=address, error=name))

    def _is_news(self, position: pb.Position) -> bool:
        """Return whether a peer has a newer or fresher copy."""
        replica, now = self._gateway.replica, self._gateway.now()
        is_behind = read_position(position) > replica.position
        return is_behind or now - replica.confirmed_at > STALE_SECONDS

    def _make_brief_hello(self) -> pb.EntryHello:
        """Return who this entry is, without whom it knows."""
        return pb.EntryHello(
            vm=self._membership.vm,
            address=self._membership.address,
            leaving=self._gateway.leaving,
            data_centre=self._gateway.settings.data_centre,
            cut=self._gateway.reach.cut,
        )

    def _make_hello(self) -> pb.EntryHello:
        """Return who this entry is, whom it knows and what it has read."""
        hello = self._make_full_hello()
        hello.positions.append(self._relay.make_position(self._gateway.now()))
        return hello

    def _make_full_hello(self) -> pb.EntryHello:
        """Return who this entry is and whom it knows."""
        now = self._gateway.now()
        hello = self._make_brief_hello()
        for entry in self._membership.most_recent_entries(now):
            hello.entries.add(
                vm=entry.vm,
                address=entry.address,
                age=now - entry.heard_at,
                data_centre=entry.data_centre,
            )
        return hello

    def _record_hello(self, hello: pb.EntryHello) -> None:
        now = self._gateway.now()
        if hello.leaving:
            self._membership.remove(hello.vm, now)
        else:
            self._membership.record_entry(
                KnownEntry(hello.vm, hello.address, now, hello.data_centre)
            )
        if hello.data_centre == self._gateway.settings.data_centre:
            # What a neighbour doesn't reach, this one may not reach either.
            for name in hello.cut:
                self._gateway.reach.record(name, came=False, weight=PEER_WEIGHT)
        for entry in hello.entries:
            heard_at = now - entry.age
            self._membership.record_entry(
                KnownEntry(entry.vm, entry.address, heard_at, entry.data_centre)
            )


def start_peers(gateway: Gateway, membership: Membership) -> None:
    """Answer peers and ask them, in a loop of its own, from now on."""
    loop_thread = LoopThread("peers")
    loop_thread.start()
    exchange = loop_thread.submit(_start(gateway, membership)).result()
    permits = exchange.permits

    def take_permit(endpoint: str) -> bool:
        return loop_thread.submit(permits.take_permit(endpoint)).result()

    def tell_of(endpoint: str) -> None:
        loop_thread.post(permits.mark_changed, endpoint)

    gateway.limits.set_callbacks(take_permit, tell_of)


async def _start(gateway: Gateway, membership: Membership) -> PeerExchange:
    exchange = PeerExchange(gateway, membership)
    exchange.watch_copy(asyncio.get_running_loop())
    exchange.watch_cuts(asyncio.get_running_loop())
    server: Any = Server([exchange])
    host, _, port = gateway.settings.control.rpartition(":")
    await server.start(host, int(port))
    rounds = asyncio.ensure_future(exchange.run())
    watch = asyncio.ensure_future(exchange.watch_holders())
    following = asyncio.ensure_future(exchange.follow_upstreams())
    telling = asyncio.ensure_future(exchange.permits.publish_changes())
    gateway.keep_references(server, rounds, watch, following, telling)
    return exchange
