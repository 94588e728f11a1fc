"""Asking other entries for permits of endpoints that limit their requests."""

import asyncio
from collections.abc import Iterable

from mintsaddle.decisions.direct import (
    KnownEntry,
    Membership,
    PermitDecision,
    PermitGranter,
)
from mintsaddle.direct._gateway import Gateway
from mintsaddle.observe import fields, make_logger
from mintsaddle.transport import ChannelPool
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import EntryPeersStub
from mintsaddle.values import Instant, rank_by_score

ASK_SECONDS = 0.08
"""Seconds for a granter's answer; one round trip is usual. Orders have a few
hundred milliseconds in all, and the next granter may still be asked."""

NEWS_SECONDS = 0.2
"""Seconds between two rounds of news of limits: two of them, from an entry to
the granter and from there to all, take less than half a second."""

TELL_SECONDS = 0.5
"""Seconds for an entry to take news."""

_UNREACHABLE_SECONDS = 0.3
"""Seconds for which an endpoint isn't tried while no granter answers."""

_MOST_GRANTERS = 2

_log = make_logger("permits")


class PermitExchange:
    """Both sides of asking for permits; runs in the peers' loop."""

    def __init__(
        self, gateway: Gateway, membership: Membership, channels: ChannelPool
    ) -> None:
        self._gateway = gateway
        self._membership = membership
        self._channels = channels
        self._grants = PermitGranter()
        self._changed: set[str] = set()
        self._has_changed = asyncio.Event()

    async def take(self, endpoint: str) -> bool:
        """Return whether one request may be sent to an endpoint now."""
        for _ in range(_MOST_GRANTERS):
            granter = self._granter_of(endpoint)
            if granter is None:
                permit = self._grant(endpoint)
            else:
                asked = await self._ask(granter, endpoint)
                if asked is None:
                    continue
                permit = asked
            if not permit.is_granted:
                self._gateway.limits.record_denied(endpoint, permit.next_at)
            return permit.is_granted
        now = self._gateway.now()
        self._gateway.limits.record_denied(endpoint, now + _UNREACHABLE_SECONDS)
        return False

    def answer_wish(self, wish: pb.PermitWish) -> pb.PermitAnswer:
        """Answer another entry that has a request for an endpoint."""
        self.note([wish.rate])
        endpoint = wish.rate.endpoint
        permit = self._grant(endpoint)
        wait = max(0.0, permit.next_at - self._gateway.now())
        rate = self._make_rate(endpoint)
        return pb.PermitAnswer(granted=permit.is_granted, wait=wait, rate=rate)

    def note(self, rates: Iterable[pb.EndpointRate]) -> None:
        """Take over what other entries have heard of limits."""
        now = self._gateway.now()
        for one in rates:
            rate = one.rate if one.limited else None
            self._gateway.record_rate_limit(one.endpoint, rate, now - one.age)

    def mark_changed(self, endpoint: str) -> None:
        """Note that others have to hear of an endpoint's limit."""
        self._changed.add(endpoint)
        self._has_changed.set()

    async def tell_changes(self) -> None:
        """Tell others of limits that have changed, until cancelled."""
        while True:
            await self._has_changed.wait()
            self._has_changed.clear()
            changed, self._changed = self._changed, set()
            self._grants.keep_only(self._gateway.directory.endpoints)
            await asyncio.gather(*(self._tell(endpoint) for endpoint in changed))
            await asyncio.sleep(NEWS_SECONDS)

    async def _tell(self, endpoint: str) -> None:
        """Tell the granter, or as the granter all others."""
        rate = self._make_rate(endpoint)
        granter = self._granter_of(endpoint)
        others = self._membership.reachable(self._gateway.now())
        told = others if granter is None else [granter]
        _log.info(
            "Rate limit changed %s.",
            fields(
                endpoint=endpoint,
                rate=rate.rate if rate.limited else None,
                age=rate.age,
                granter=granter.vm if granter else self._membership.vm,
            ),
        )
        await asyncio.gather(*(self._tell_one(one, rate) for one in told))

    async def _tell_one(self, entry: KnownEntry, rate: pb.EndpointRate) -> None:
        stub = EntryPeersStub(self._channels.open(entry.address))
        try:
            await stub.NoteRates(pb.RateNews(rates=[rate]), timeout=TELL_SECONDS)
        except Exception as error:
            self._record_silence(entry, error)

    async def _ask(self, granter: KnownEntry, endpoint: str) -> PermitDecision | None:
        """Return the granter's answer, or None if it doesn't answer."""
        stub = EntryPeersStub(self._channels.open(granter.address))
        wish = pb.PermitWish(rate=self._make_rate(endpoint))
        try:
            answer = await stub.AskPermit(wish, timeout=ASK_SECONDS)
        except Exception as error:
            self._record_silence(granter, error)
            return None
        self.note([answer.rate])
        return PermitDecision(answer.granted, self._gateway.now() + answer.wait)

    def _grant(self, endpoint: str) -> PermitDecision:
        now: Instant = self._gateway.now()
        limit = self._gateway.limits.limit_of(endpoint)
        if limit.rate is None:
            return PermitDecision(True, now)
        return self._grants.request_permit(endpoint, limit.rate, now)

    def _granter_of(self, endpoint: str) -> KnownEntry | None:
        """Return the entry that grants for an endpoint; None for this one."""
        others = self._membership.reachable(self._gateway.now())
        by_name = {entry.vm: entry for entry in others}
        names = {*by_name, self._membership.vm}
        return by_name.get(rank_by_score(f"permits {endpoint}", names)[0])

    def _make_rate(self, endpoint: str) -> pb.EndpointRate:
        limit = self._gateway.limits.limit_of(endpoint)
        return pb.EndpointRate(
            endpoint=endpoint,
            limited=limit.rate is not None,
            rate=limit.rate or 0.0,
            age=max(0.0, self._gateway.now() - limit.observed_at),
        )

    def _record_silence(self, entry: KnownEntry, error: Exception) -> None:
        """Record that a peer failed, whatever grpclib raised."""
        self._channels.drop(entry.address)
        self._membership.record_timeout(entry.address)
        name = type(error).__name__
        _log.info("Granter silent %s.", fields(vm=entry.vm, error=name))
