"""Gossip messages between direct entries: how they are made and recorded."""

from collections.abc import Iterable

from mintsaddle.decisions.direct import KnownEntry, Membership
from mintsaddle.decisions.overload import MAX_REPORTED_USES
from mintsaddle.direct._feature_exchange import FeatureExchange
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._relay import ReplicaRelay
from mintsaddle.transport.proto import peer_pb2 as pb

PEER_TIMEOUT_WEIGHT = 3
"""Number of lost datagrams that a peer's timeout counts as."""


class HelloMessages:
    """Makes this entry's messages, and records those of its peers."""

    def __init__(
        self,
        gateway: Gateway,
        membership: Membership,
        relay: ReplicaRelay,
        features: FeatureExchange,
    ) -> None:
        self._gateway = gateway
        self._membership = membership
        self._relay = relay
        self._features = features

    def make_brief(self, asked: Iterable[pb.FeatureRecord] = ()) -> pb.EntryHello:
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

    def make(self) -> pb.EntryHello:
        """Return a gossip message with the position of the replica."""
        hello = self.make_full()
        hello.positions.append(self._relay.make_position(self._gateway.now()))
        return hello

    def make_full(self, asked: Iterable[pb.FeatureRecord] = ()) -> pb.EntryHello:
        """Return a gossip message with the entries that this one knows."""
        now = self._gateway.now()
        hello = self.make_brief(asked)
        for entry in self._membership.most_recent_entries(now):
            hello.entries.add(
                vm=entry.vm,
                address=entry.address,
                age=now - entry.last_seen_at,
                data_centre=entry.data_centre,
            )
        return hello

    def record(self, hello: pb.EntryHello) -> None:
        """Record what a peer says of itself, of others and of features."""
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
