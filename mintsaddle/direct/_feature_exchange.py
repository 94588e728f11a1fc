"""Exchanges records of features, and trials of them, with other entries."""

import asyncio
import math
from collections.abc import Iterable
from typing import Final

from mintsaddle.decisions.direct import KnownEntry, Membership
from mintsaddle.decisions.quarantine import (
    Feature,
    FeatureReport,
    Outcome,
    RequestFeatures,
    TrialLeases,
    Verdict,
    rank_arbiters,
)
from mintsaddle.direct._gateway import Gateway
from mintsaddle.observe import fields, make_logger
from mintsaddle.transport import ChannelPool
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import EntryPeersStub
from mintsaddle.values import Instant

TRIAL_TIMEOUT_SECONDS: Final = 0.08
"""Timeout in seconds for an arbiter's answer, usually one round trip."""

SHARE_TIMEOUT_SECONDS: Final = 0.5
"""Timeout in seconds for sending records to an entry."""

SHARE_INTERVAL_SECONDS: Final = 0.1
"""Seconds between two rounds of sending. Several requests on one engine end
at the same moment, and their features go into one message."""

MAX_RECORDS: Final = 64
"""Features that are read of one message."""

MAX_OUTCOMES_READ: Final = 32
"""Outcomes that are read of one feature."""

_MAX_ARBITERS = 2

_log = make_logger("quarantine")


def encode_reports(
    reports: Iterable[FeatureReport], now: Instant
) -> list[pb.FeatureRecord]:
    """Return records as they are sent, with ages instead of instants."""
    return [
        pb.FeatureRecord(
            feature=feature,
            outcomes=[
                pb.EngineOutcome(
                    engine=engine, ended=outcome.has_ended, age=now - outcome.at
                )
                for engine, outcome in outcomes.items()
            ],
        )
        for feature, outcomes in reports
    ]


def decode_records(
    records: Iterable[pb.FeatureRecord], now: Instant
) -> list[FeatureReport]:
    """Return received records; parts that can't be right are left out."""
    return [
        FeatureReport(
            Feature(record.feature),
            {
                outcome.engine: Outcome(outcome.ended, now - max(0.0, outcome.age))
                for outcome in list(record.outcomes)[:MAX_OUTCOMES_READ]
                if math.isfinite(outcome.age)
            },
        )
        for record in list(records)[:MAX_RECORDS]
    ]


class FeatureExchange:
    """Sends records and grants trials; runs in the event loop of the peers."""

    def __init__(
        self, gateway: Gateway, membership: Membership, channels: ChannelPool
    ) -> None:
        self._gateway = gateway
        self._membership = membership
        self._channels = channels
        self._leases = TrialLeases()
        self._granted_by: dict[tuple[Feature, str], KnownEntry] = {}
        self._changed: set[Feature] = set()
        self._has_changed = asyncio.Event()

    def merge(self, records: Iterable[pb.FeatureRecord]) -> bool:
        """Merge received records; return whether a verdict has changed."""
        reports = decode_records(records, self._gateway.now())
        return self._gateway.quarantine.merge(reports)

    def make_gossip(
        self, asked: Iterable[pb.FeatureRecord] = ()
    ) -> list[pb.FeatureRecord]:
        """Return the records for a gossip message.

        Args:
            asked: Records in the message that is answered. What this entry
                knows of them is added, since it may clear them.
        """
        quarantine = self._gateway.quarantine
        reports = {report.feature: report for report in quarantine.report()}
        others = [Feature(record.feature) for record in list(asked)[:MAX_RECORDS]]
        for report in quarantine.report_on(others):
            reports[report.feature] = report
        return encode_reports(reports.values(), self._gateway.now())

    def answer_share(self, news: pb.FeatureNews) -> pb.FeatureNews:
        """Merge a peer's records; return what this entry knows of them."""
        self.merge(news.records)
        features = [Feature(record.feature) for record in news.records]
        return pb.FeatureNews(records=self._encode(features[:MAX_RECORDS]))

    def answer_trial(self, wish: pb.TrialWish) -> pb.TrialAnswer:
        """Grant or end a trial for another entry."""
        self.merge([wish.record])
        feature = Feature(wish.record.feature)
        if wish.ended:
            self._leases.end(feature, wish.holder)
            return pb.TrialAnswer()
        until = self._gateway.now() + max(0.0, wish.seconds)
        is_granted = self._grant(feature, wish.holder, until)
        records = self._encode([feature])
        return pb.TrialAnswer(
            granted=is_granted, record=records[0] if records else None
        )

    async def request_trial(
        self, feature: Feature, holder: str, until: Instant
    ) -> bool:
        """Return whether a request may be sent with a suspected feature."""
        for _ in range(_MAX_ARBITERS):
            arbiter = self._arbiter_of(feature)
            if arbiter is None:
                break
            answer = await self._ask(arbiter, self._make_wish(feature, holder, until))
            if answer is not None:
                self.merge([answer.record])
                if answer.granted:
                    self._granted_by[feature, holder] = arbiter
                return answer.granted
        # An entry that reaches no arbiter limits its own requests.
        return self._grant(feature, holder, until)

    async def end_trial(self, feature: Feature, holder: str) -> None:
        """End a trial, whatever came of it."""
        self._leases.end(feature, holder)
        arbiter = self._granted_by.pop((feature, holder), None)
        if arbiter is not None:
            wish = self._make_wish(feature, holder, self._gateway.now())
            wish.ended = True
            await self._ask(arbiter, wish)

    def mark_changed(self, features: Iterable[Feature]) -> None:
        """Schedule the records of features to be sent to other entries."""
        self._changed.update(features)
        self._has_changed.set()

    async def publish_changes(self) -> None:
        """Send changed records to other entries until cancelled.

        What the others know comes back. If it changes a verdict, it is sent
        in the next round; nothing is new to anyone then.
        """
        while True:
            await self._has_changed.wait()
            self._has_changed.clear()
            changed, self._changed = self._changed, set()
            news = pb.FeatureNews(records=self._encode(changed)[:MAX_RECORDS])
            others = self._membership.reachable(self._gateway.now())
            await asyncio.gather(*(self._share(entry, news) for entry in others))
            await asyncio.sleep(SHARE_INTERVAL_SECONDS)

    async def _share(self, entry: KnownEntry, news: pb.FeatureNews) -> None:
        stub = EntryPeersStub(self._channels.open(entry.address))
        try:
            answer = await stub.ShareFeatures(news, timeout=SHARE_TIMEOUT_SECONDS)
        except Exception as error:
            self._record_unreachable(entry, error)
            return
        if self.merge(answer.records):
            self.mark_changed(Feature(record.feature) for record in news.records)

    async def _ask(
        self, arbiter: KnownEntry, wish: pb.TrialWish
    ) -> pb.TrialAnswer | None:
        """Return the arbiter's answer; None if it doesn't answer."""
        stub = EntryPeersStub(self._channels.open(arbiter.address))
        try:
            return await stub.AskTrial(wish, timeout=TRIAL_TIMEOUT_SECONDS)
        except Exception as error:
            self._record_unreachable(arbiter, error)
            return None

    def _encode(self, features: Iterable[Feature]) -> list[pb.FeatureRecord]:
        """Return the records of some features, as far as they are known."""
        reports = self._gateway.quarantine.report_on(features)
        return encode_reports(reports, self._gateway.now())

    def _grant(self, feature: Feature, holder: str, until: Instant) -> bool:
        quarantine = self._gateway.quarantine
        match quarantine.judge(RequestFeatures((feature,), None)).verdict:
            case Verdict.CLEAR:
                return True
            case Verdict.QUARANTINED:
                return False
        max_trials = quarantine.max_trials(feature)
        now = self._gateway.now()
        return self._leases.request(feature, holder, max_trials, until, now)

    def _arbiter_of(self, feature: Feature) -> KnownEntry | None:
        """Return the entry that grants trials; None if it is this one."""
        others = self._membership.reachable(self._gateway.now())
        by_name = {entry.vm: entry for entry in others}
        first = rank_arbiters(feature, {*by_name, self._membership.vm})[0]
        return by_name.get(first)

    def _make_wish(self, feature: Feature, holder: str, until: Instant) -> pb.TrialWish:
        records = self._encode([feature])
        return pb.TrialWish(
            record=records[0] if records else pb.FeatureRecord(feature=feature),
            holder=holder,
            seconds=max(0.0, until - self._gateway.now()),
        )

    def _record_unreachable(self, entry: KnownEntry, error: Exception) -> None:
        """Record that a call to a peer failed, whatever grpclib raised."""
        self._channels.drop(entry.address)
        self._membership.record_timeout(entry.address)
        name = type(error).__name__
        _log.info("Quarantine peer unreachable %s.", fields(vm=entry.vm, error=name))
