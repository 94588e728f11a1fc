"""Requests permits from other entries for rate-limited endpoints."""

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

PERMIT_TIMEOUT_SECONDS = 0.08
"""Timeout in seconds for a granter's answer, usually one round trip. Orders
have only a few hundred milliseconds in all, in which the next granter may have
to be asked as well."""

RATE_UPDATE_SECONDS = 0.2
"""Seconds between two rounds of updates about rate limits. An update needs two
rounds, from an entry to the granter and from there to all others, which take
less than half a second together."""

UPDATE_TIMEOUT_SECONDS = 0.5
"""Timeout in seconds for sending an update to an entry."""

_NO_GRANTER_SECONDS = 0.3
"""Seconds for which an endpoint isn't tried after no granter answered."""

_MAX_GRANTERS = 2

_log = make_logger("permits")


class PermitExchange:
    """Requests and grants permits; runs in the event loop of the peers."""

    def __init__(
        self, gateway: Gateway, membership: Membership, channels: ChannelPool
    ) -> None:
        self._gateway = gateway
        self._membership = membership
        self._channels = channels
        self._permit_granter = PermitGranter()
        self._changed: set[str] = set()
        self._has_changed = asyncio.Event()

    async def take_permit(self, endpoint: str) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        for _ in range(_MAX_GRANTERS):
            granter = self._granter_of(endpoint)
            if granter is None:
                permit = self._grant(endpoint)
            else:
                answer = await self._request_permit(granter, endpoint)
                if answer is None:
                    continue
                permit = answer
            if not permit.is_granted:
                self._gateway.limits.record_denied(endpoint, permit.next_at)
            return permit.is_granted
        now = self._gateway.now()
        self._gateway.limits.record_denied(endpoint, now + _NO_GRANTER_SECONDS)
        return False

    def answer_permit_request(self, request: pb.PermitWish) -> pb.PermitAnswer:
        """Answer an entry that asks for a permit for an endpoint."""
        self.record_rates([request.rate])
        endpoint = request.rate.endpoint
        permit = self._grant(endpoint)
        wait = max(0.0, permit.next_at - self._gateway.now())
        rate = self._make_rate(endpoint)
        return pb.PermitAnswer(granted=permit.is_granted, wait=wait, rate=rate)

    def record_rates(self, rates: Iterable[pb.EndpointRate]) -> None:
        """Record the rate limits that another entry knows of."""
        now = self._gateway.now()
        for endpoint_rate in rates:
            rate = endpoint_rate.rate if endpoint_rate.limited else None
            self._gateway.record_rate_limit(
                endpoint_rate.endpoint, rate, now - endpoint_rate.age
            )

    def mark_changed(self, endpoint: str) -> None:
        """Schedule an update of an endpoint's limit to other entries."""
        self._changed.add(endpoint)
        self._has_changed.set()

    async def publish_changes(self) -> None:
        """Send changed limits to other entries until cancelled."""
        while True:
            await self._has_changed.wait()
            self._has_changed.clear()
            changed, self._changed = self._changed, set()
            self._permit_granter.keep_only(self._gateway.directory.endpoints)
            await asyncio.gather(*(self._publish(endpoint) for endpoint in changed))
            await asyncio.sleep(RATE_UPDATE_SECONDS)

    async def _publish(self, endpoint: str) -> None:
        """Send a limit to its granter; the granter sends it to all."""
        rate = self._make_rate(endpoint)
        granter = self._granter_of(endpoint)
        others = self._membership.reachable(self._gateway.now())
        recipients = others if granter is None else [granter]
        _log.info(
            "Rate limit changed %s.",
            fields(
                endpoint=endpoint,
                rate=rate.rate if rate.limited else None,
                age=rate.age,
                granter=granter.vm if granter else self._membership.vm,
            ),
        )
        await asyncio.gather(
            *(self._send_rate(recipient, rate) for recipient in recipients)
        )

    async def _send_rate(self, entry: KnownEntry, rate: pb.EndpointRate) -> None:
        stub = EntryPeersStub(self._channels.open(entry.address))
        try:
            await stub.NoteRates(
                pb.RateNews(rates=[rate]), timeout=UPDATE_TIMEOUT_SECONDS
            )
        except Exception as error:
            self._record_unreachable(entry, error)

    async def _request_permit(
        self, granter: KnownEntry, endpoint: str
    ) -> PermitDecision | None:
        """Return the granter's answer; None if it doesn't answer."""
        stub = EntryPeersStub(self._channels.open(granter.address))
        request = pb.PermitWish(rate=self._make_rate(endpoint))
        try:
            answer = await stub.AskPermit(request, timeout=PERMIT_TIMEOUT_SECONDS)
        except Exception as error:
            self._record_unreachable(granter, error)
            return None
        self.record_rates([answer.rate])
        return PermitDecision(answer.granted, self._gateway.now() + answer.wait)

    def _grant(self, endpoint: str) -> PermitDecision:
        now: Instant = self._gateway.now()
        limit = self._gateway.limits.limit_of(endpoint)
        if limit.rate is None:
            return PermitDecision(True, now)
        return self._permit_granter.request_permit(endpoint, limit.rate, now)

    def _granter_of(self, endpoint: str) -> KnownEntry | None:
        """Return the entry that grants permits; None if it is this one."""
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

    def _record_unreachable(self, entry: KnownEntry, error: Exception) -> None:
        """Record that a call to a peer failed, whatever grpclib raised."""
        self._channels.drop(entry.address)
        self._membership.record_timeout(entry.address)
        name = type(error).__name__
        _log.info("Permit peer unreachable %s.", fields(vm=entry.vm, error=name))
