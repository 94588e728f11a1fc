"""Gossip and replication between direct entries, over gRPC."""

import asyncio
import contextlib
from collections.abc import Iterable
from typing import Any

from grpclib.server import Server, Stream

from mintsaddle.decisions.direct import KnownEntry, Membership, UpstreamSelector
from mintsaddle.decisions.overload import MAX_REPORTED_USES
from mintsaddle.decisions.quarantine import Feature
from mintsaddle.direct._feature_exchange import FeatureExchange
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._permits import PermitExchange
from mintsaddle.direct._relay import (
    ReplicaRelay,
    StaleUpstreamError,
    decode_position,
    newest_position,
)
from mintsaddle.observe import fields, make_logger
from mintsaddle.transport import ChannelPool, LoopThread
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import EntryPeersBase, EntryPeersStub
from mintsaddle.values import Instant

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

PEER_TIMEOUT_WEIGHT = 3
"""Number of lost datagrams that a peer's timeout counts as."""

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
        self._reachability_changed = asyncio.Event()

    @property
    def permits(self) -> PermitExchange:
        """Permits for endpoints that limit their request rate."""
        return self._permits

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
        self._record_hello(hello)
        answer = self._make_full_hello(hello.features)
        update, _ = self._relay.make_update(answer, newest_position(hello))
        await stream.send_message(update)

    async def Follow(  # noqa: N802 - named by the gRPC service
        self, stream: "Stream[pb.EntryHello, pb.EntryNews]"
    ) -> None:
        """Send a follower what it lacks, then each change."""
        hello = await stream.recv_message()
        if hello is None:
            return
        self._record_hello(hello)
        await self._relay.send_updates(
            stream, self._make_brief_hello, newest_position(hello)
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
        stub = EntryPeersStub(self._channels.open(upstream.address))
        hello = self._make_hello()
        try:
            async with contextlib.aclosing(
                self._relay.receive_updates(stub, hello)
            ) as updates:
                async for update in updates:
                    self._record_hello(update.hello)
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
        stub = EntryPeersStub(self._channels.open(address))
        try:
            update = await stub.Exchange(
                self._make_hello(), timeout=EXCHANGE_TIMEOUT_SECONDS
            )
        except Exception as error:
            self._record_failure(address, error)
            return
        self._membership.record_answer(address)
        self._gateway.reach.record(update.hello.data_centre, received=True)
        if address in self._unresponsive:
            self._unresponsive.discard(address)
            _log.info("Peer reachable again %s.", fields(address=address))
        self._record_hello(update.hello)
        for position in update.hello.positions:
            if self._should_apply(position):
                self._relay.apply_update(update, position)

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

    def _make_brief_hello(
        self, asked: Iterable[pb.FeatureRecord] = ()
    ) -> pb.EntryHello:
        """Return this entry's identity, without the entries it knows.

        Includes the largest uses by workspace while this entry is overloaded,
        and the gravest features under which engines have ended.

        Args:
            asked: Features in the message that is answered.
        """
        hello = pb.EntryHello(
            vm=self._membership.vm,
            address=self._membership.address,
            leaving=self._gateway.leaving,
            data_centre=self._gateway.settings.data_centre,
            cut=self._gateway.reach.unreachable,
            features=self._features.make_gossip(asked),
        )
        with self._gateway.lock:
            uses = self._gateway.workspace_use.make_report(self._gateway.now())
        for name, rate in uses:
            hello.uses.add(name=name, rate=rate)
        return hello

    def _make_hello(self) -> pb.EntryHello:
        """Return a gossip message with the position of the replica."""
        hello = self._make_full_hello()
        hello.positions.append(self._relay.make_position(self._gateway.now()))
        return hello

    def _make_full_hello(self, asked: Iterable[pb.FeatureRecord] = ()) -> pb.EntryHello:
        """Return a gossip message with the entries that this one knows."""
        now = self._gateway.now()
        hello = self._make_brief_hello(asked)
        for entry in self._membership.most_recent_entries(now):
            hello.entries.add(
                vm=entry.vm,
                address=entry.address,
                age=now - entry.last_seen_at,
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
        if hello.vm != self._membership.vm:
            with self._gateway.lock:
                uses = [(use.name, use.rate) for use in hello.uses[:MAX_REPORTED_USES]]
                self._gateway.workspace_use.record_peer(hello.vm, uses, now)
            self._features.merge(hello.features)
        if hello.data_centre == self._gateway.settings.data_centre:
            # What a local peer can't reach may be unreachable from here too.
            for name in hello.cut:
                self._gateway.reach.record(
                    name, received=False, weight=PEER_TIMEOUT_WEIGHT
                )
        for entry in hello.entries:
            last_seen_at = now - entry.age
            self._membership.record_entry(
                KnownEntry(entry.vm, entry.address, last_seen_at, entry.data_centre)
            )


def start_peer_exchange(gateway: Gateway, membership: Membership) -> None:
    """Start gossip in an event loop and thread of its own."""
    loop_thread = LoopThread("peers")
    loop_thread.start()
    exchange = loop_thread.submit(_start(gateway, membership)).result()
    permits = exchange.permits

    def request_permit(endpoint: str) -> bool:
        return loop_thread.submit(permits.take_permit(endpoint)).result()

    def publish(endpoint: str) -> None:
        loop_thread.post(permits.mark_changed, endpoint)

    gateway.limits.set_callbacks(request_permit, publish)
    features = exchange.features

    def request_trial(feature: Feature, holder: str, until: Instant) -> bool:
        wish = features.request_trial(feature, holder, until)
        return loop_thread.submit(wish).result()

    def end_trial(feature: Feature, holder: str) -> None:
        loop_thread.submit(features.end_trial(feature, holder))

    def publish_features(changed: list[Feature]) -> None:
        loop_thread.post(features.mark_changed, changed)

    gateway.quarantine.set_callbacks(request_trial, end_trial, publish_features)


async def _start(gateway: Gateway, membership: Membership) -> PeerExchange:
    exchange = PeerExchange(gateway, membership)
    exchange.notify_on_replica_change(asyncio.get_running_loop())
    exchange.notify_on_path_change(asyncio.get_running_loop())
    server: Any = Server([exchange])
    host, _, port = gateway.settings.control.rpartition(":")
    await server.start(host, int(port))
    exchange_task = asyncio.ensure_future(exchange.run())
    holders_task = asyncio.ensure_future(exchange.watch_holders())
    upstreams_task = asyncio.ensure_future(exchange.follow_upstreams())
    permits_task = asyncio.ensure_future(exchange.permits.publish_changes())
    features_task = asyncio.ensure_future(exchange.features.publish_changes())
    gateway.keep_references(
        server,
        exchange_task,
        holders_task,
        upstreams_task,
        permits_task,
        features_task,
    )
    return exchange
