"""Gossip and replication between direct entries, over gRPC."""

import asyncio
import contextlib

from grpclib.server import Stream

from mintsaddle.decisions.direct import KnownEntry, Membership, UpstreamSelector
from mintsaddle.direct._feature_exchange import FeatureExchange
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._hellos import PEER_TIMEOUT_WEIGHT, HelloMessages
from mintsaddle.direct._permits import PermitExchange
from mintsaddle.direct._relay import (
    ReplicaRelay,
    StaleUpstreamError,
    decode_position,
    newest_position,
)
from mintsaddle.observe import fields, make_logger
from mintsaddle.transport import ChannelPool
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import EntryPeersBase, EntryPeersStub

EXCHANGE_INTERVAL_SECONDS = 1.0
"""Interval between gossip rounds while the platform is available."""

FAST_EXCHANGE_INTERVAL_SECONDS = 0.3
"""Interval between gossip rounds while the platform is unavailable. A relayed
change then arrives well within the two seconds that a configuration change may
take. A newly started entry uses the same interval, to learn of the others
before it takes up duties."""

HOLDER_CHECK_INTERVAL_SECONDS = 0.4
"""Interval at which the successors for a duty poll its holder. While no entry
manages a group, the group's expert map stays wrong after each change."""

EXCHANGE_TIMEOUT_SECONDS = 0.5
"""Timeout for a peer's response. A peer responds without waiting for anything,
usually within 2 ms."""

STALE_REPLICA_SECONDS = 1.0
"""Seconds since the replica was last confirmed after which an update from a
peer is applied even if its position isn't newer."""

UPSTREAM_CHECK_INTERVAL_SECONDS = 0.2
"""Interval at which a reader checks whether it should follow another entry."""

_log = make_logger("peers")


class PeerExchange(EntryPeersBase):
    """Client and server of gossip for one entry, in one event loop."""

    def __init__(self, gateway: Gateway, membership: Membership) -> None:
        self._gateway = gateway
        self._membership = membership
        self._channels = ChannelPool()
        self._unresponsive: set[str] = set()
        self._relay = ReplicaRelay(gateway)
        self._upstreams = UpstreamSelector(membership.vm, gateway.settings.data_centre)
        self._permits = PermitExchange(gateway, membership, self._channels)
        self._features = FeatureExchange(gateway, membership, self._channels)
        self._hellos = HelloMessages(gateway, membership, self._relay, self._features)
        self._reachability_changed = asyncio.Event()

    @property
    def permits(self) -> PermitExchange:
        """Permits for endpoints that limit their request rate."""
        return self._permits

    @property
    def hellos(self) -> HelloMessages:
        """Gossip messages of this entry."""
        return self._hellos

    @property
    def features(self) -> FeatureExchange:
        """Records of features that end engines, and trials of them."""
        return self._features

    async def Exchange(  # noqa: N802 - named by the gRPC service
        self, stream: "Stream[pb.EntryHello, pb.EntryNews]"
    ) -> None:
        """Record what a peer knows, and respond with what it lacks."""
        hello = await stream.recv_message()
        if hello is None:
            return
        self._hellos.record(hello)
        answer = self._hellos.make_full(hello.features)
        update, _ = self._relay.make_update(answer, newest_position(hello))
        await stream.send_message(update)

    async def Follow(  # noqa: N802 - named by the gRPC service
        self, stream: "Stream[pb.EntryHello, pb.EntryNews]"
    ) -> None:
        """Send a follower what it lacks, then each change."""
        hello = await stream.recv_message()
        if hello is None:
            return
        self._hellos.record(hello)
        await self._relay.send_updates(
            stream, self._hellos.make_brief, newest_position(hello)
        )

    async def AskPermit(  # noqa: N802 - named by the gRPC service
        self, stream: "Stream[pb.PermitWish, pb.PermitAnswer]"
    ) -> None:
        """Respond to a peer that asks for a permit for a limited endpoint."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._permits.answer_permit_request(request))

    async def NoteRates(  # noqa: N802 - named by the gRPC service
        self, stream: "Stream[pb.RateNews, pb.RateNoted]"
    ) -> None:
        """Record the rate limits of endpoints that a peer sends."""
        update = await stream.recv_message()
        if update is not None:
            self._permits.record_rates(update.rates)
            await stream.send_message(pb.RateNoted())

    async def AskTrial(  # noqa: N802 - named by the gRPC service
        self, stream: "Stream[pb.TrialWish, pb.TrialAnswer]"
    ) -> None:
        """Respond to a peer that asks for a trial of a feature."""
        wish = await stream.recv_message()
        if wish is not None:
            await stream.send_message(self._features.answer_trial(wish))

    async def ShareFeatures(  # noqa: N802 - named by the gRPC service
        self, stream: "Stream[pb.FeatureNews, pb.FeatureNews]"
    ) -> None:
        """Merge a peer's records of features, and respond with own ones."""
        news = await stream.recv_message()
        if news is not None:
            await stream.send_message(self._features.answer_share(news))

    def notify_on_replica_change(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wake follower streams in the given loop when the replica changes."""

        def notify() -> None:
            loop.call_soon_threadsafe(self._relay.notify)

        self._gateway.on_replica_update(notify)

    def notify_on_path_change(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wake the gossip in the given loop when reachability changes."""

        def notify() -> None:
            loop.call_soon_threadsafe(self._reachability_changed.set)

        self._gateway.reach.on_change(notify)

    async def run(self) -> None:
        """Run gossip rounds until cancelled."""
        while True:
            has_unreachable = bool(self._gateway.reach.unreachable)
            is_searching = self._gateway.is_platform_lost or has_unreachable
            now = self._gateway.now()
            duties = self._gateway.duties()
            peers = self._membership.choose_peers(
                now, self._gateway.rng, duties, is_searching=is_searching
            )
            await asyncio.gather(*(self._exchange_with(address) for address in peers))
            is_settled = self._membership.is_settled(now)
            if is_settled:
                self._gateway.set_entry_count(self._membership.count(now))
            is_fast = is_searching or not is_settled
            pause = (
                FAST_EXCHANGE_INTERVAL_SECONDS if is_fast else EXCHANGE_INTERVAL_SECONDS
            )
            pause *= 0.75 + self._gateway.rng.random() / 2
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._reachability_changed.wait(), pause)
                self._reachability_changed.clear()
                await self._exchange_with_local_peers()

    async def _exchange_with_local_peers(self) -> None:
        """Exchange messages with all entries of the same data centre at once.

        The balancer sends callers to other data centres only once none of
        these entries is ready.
        """
        now, own_data_centre = self._gateway.now(), self._gateway.settings.data_centre
        reachable = self._membership.reachable(now)
        addresses = [
            entry.address for entry in reachable if entry.data_centre == own_data_centre
        ]
        await asyncio.gather(*(self._exchange_with(address) for address in addresses))

    async def follow_upstreams(self) -> None:
        """Follow the chosen upstream, or the next one, until cancelled."""
        while True:
            now = self._gateway.now()
            upstream = None
            if self._membership.is_settled(now):
                reachable = self._membership.reachable(now)
                upstream = self._upstreams.choose(reachable, now)
                self._gateway.set_reader(upstream is None)
            if upstream is None:
                await asyncio.sleep(UPSTREAM_CHECK_INTERVAL_SECONDS)
            else:
                await self._follow(upstream)

    async def _follow(self, upstream: KnownEntry) -> None:
        """Follow an entry until it fails, leaves or ends the stream."""
        gateway = self._gateway
        hello = self._hellos.make()
        try:
            stub = EntryPeersStub(self._channels.open(upstream.address))
            async with contextlib.aclosing(
                self._relay.receive_updates(stub, hello)
            ) as updates:
                async for update in updates:
                    self._hellos.record(update.hello)
                    if update.hello.leaving:
                        return
        except StaleUpstreamError:
            # During an outage of the platform, both replicas are equally old.
            if not gateway.must_poll:
                self._upstreams.reject(upstream.vm, gateway.now())
                _log.info("Upstream rejected as stale %s.", fields(vm=upstream.vm))
        except Exception as error:
            self._record_failure(upstream.address, error)

    async def watch_holders(self) -> None:
        """Poll the holders of duties that this entry may succeed, forever."""
        while True:
            duties, now = self._gateway.duties(), self._gateway.now()
            holders = set(self._membership.holders_to_watch(duties, now))
            await asyncio.gather(*(self._exchange_with(address) for address in holders))
            await asyncio.sleep(HOLDER_CHECK_INTERVAL_SECONDS)

    async def _exchange_with(self, address: str) -> None:
        try:
            stub = EntryPeersStub(self._channels.open(address))
            update = await stub.Exchange(
                self._hellos.make(), timeout=EXCHANGE_TIMEOUT_SECONDS
            )
        except Exception as error:
            self._record_failure(address, error)
            return
        self._membership.record_answer(address)
        self._gateway.reach.record(update.hello.data_centre, received=True)
        if address in self._unresponsive:
            self._unresponsive.discard(address)
            _log.info("Peer reachable again %s.", fields(address=address))
        try:
            self._hellos.record(update.hello)
            for position in update.hello.positions:
                if self._should_apply(position):
                    self._relay.apply_update(update, position)
        except Exception:
            # The other peers' updates, and later rounds, still count.
            _log.exception("Update not applied %s.", fields(address=address))

    def _record_failure(self, address: str, error: Exception) -> None:
        """Record that a peer failed with any exception that grpclib raises.

        A later round tries it again over a new connection.
        """
        self._channels.drop(address)
        self._membership.record_timeout(address)
        data_centre = self._membership.data_centre_of(address)
        # The timeout for a peer is much longer than for a datagram.
        self._gateway.reach.record(
            data_centre, received=False, weight=PEER_TIMEOUT_WEIGHT
        )
        if address not in self._unresponsive:
            self._unresponsive.add(address)
            name = type(error).__name__
            _log.info("Peer unreachable %s.", fields(address=address, error=name))

    def _should_apply(self, position: pb.Position) -> bool:
        """Return whether to apply a peer's update at a position."""
        replica, now = self._gateway.replica, self._gateway.now()
        is_behind = decode_position(position) > replica.position
        return is_behind or now - replica.confirmed_at > STALE_REPLICA_SECONDS
