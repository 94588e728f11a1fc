"""Records of features and trials between entries."""

import asyncio
import math

import pytest

from mintsaddle.decisions.direct import Membership
from mintsaddle.decisions.quarantine import Feature, RequestFeatures, Verdict
from mintsaddle.direct._feature_exchange import (
    MAX_OUTCOMES_READ,
    MAX_RECORDS,
    FeatureExchange,
    decode_records,
    encode_reports,
)
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._peers import PeerExchange
from mintsaddle.platform.tests.test_taking_items import SETTINGS
from mintsaddle.transport.proto import peer_pb2 as pb

CRASHING, FIRST = Feature(2**64 - 1), Feature(7)
REQUEST = RequestFeatures((FIRST, CRASHING), None)


def make_entry(name: str) -> tuple[Gateway, FeatureExchange]:
    gateway = Gateway(SETTINGS._replace(vm=name))
    membership = Membership(name, "127.0.0.1:3", ())
    return gateway, PeerExchange(gateway, membership).features


def verdict_on(gateway: Gateway, feature: Feature) -> Verdict:
    return gateway.quarantine.judge(RequestFeatures((feature,), None)).verdict


class TestRecords:
    def test_a_verdict_arrives_as_it_was_sent(self) -> None:
        (here, _), (there, exchange) = make_entry("entry-1"), make_entry("entry-2")
        for number in range(3):
            here.quarantine.record_ended(REQUEST, f"engine-{number}")
        records = encode_reports(here.quarantine.report(), here.now())
        assert exchange.merge(records)
        assert there.quarantine.judge(REQUEST).verdict is Verdict.QUARANTINED
        assert not exchange.merge(records)

    def test_what_a_peer_knows_comes_back(self) -> None:
        """Guards against a new entry that suspects what all requests share."""
        (new, _), (old, exchange) = make_entry("entry-1"), make_entry("entry-2")
        sound = RequestFeatures((FIRST,), None)
        for number in range(4):
            old.quarantine.record_survived(sound, f"other-{number}")
        new.quarantine.record_ended(sound, "engine-1")
        news = encode_reports(new.quarantine.report(), new.now())
        answer = exchange.answer_share(pb.FeatureNews(records=news))
        gossip = exchange.make_gossip(news)
        for records in (answer.records, gossip):
            reports = decode_records(records, new.now())
            assert [report.feature for report in reports] == [FIRST]
            assert len(reports[0].outcomes) == 5
        new.quarantine.merge(decode_records(answer.records, new.now()))
        assert verdict_on(new, FIRST) is Verdict.CLEAR

    @pytest.mark.parametrize("age", [math.nan, math.inf, -math.inf])
    def test_ages_that_cannot_be_right_are_left_out(self, age: float) -> None:
        outcome = pb.EngineOutcome(engine=1, ended=True, age=age)
        record = pb.FeatureRecord(feature=5, outcomes=[outcome])
        (report,) = decode_records([record], 100.0)
        assert report.outcomes == {}

    def test_an_age_before_it_was_seen_counts_as_now(self) -> None:
        outcome = pb.EngineOutcome(engine=1, ended=True, age=-50.0)
        record = pb.FeatureRecord(feature=5, outcomes=[outcome])
        (report,) = decode_records([record], 100.0)
        assert report.outcomes[1].at == 100.0

    def test_long_messages_are_read_in_part(self) -> None:
        """Guards against a peer that fills an entry's memory."""
        outcomes = [pb.EngineOutcome(engine=number) for number in range(500)]
        record = pb.FeatureRecord(feature=5, outcomes=outcomes)
        reports = decode_records([record] * 500, 100.0)
        assert len(reports) == MAX_RECORDS
        assert len(reports[0].outcomes) == MAX_OUTCOMES_READ

    def test_entries_of_another_version_have_no_features(self) -> None:
        _, exchange = make_entry("entry-1")
        assert not exchange.merge(pb.EntryHello(vm="entry-2").features)
        assert exchange.make_gossip() == []


class TestTrials:
    def test_an_arbiter_grants_what_is_missing_for_a_verdict(self) -> None:
        gateway, arbiter = make_entry("entry-1")
        gateway.quarantine.record_ended(REQUEST, "engine-1")
        granted = [
            arbiter.answer_trial(self.make_wish(f"entry-{number}/1")).granted
            for number in range(4)
        ]
        assert granted == [True, True, False, False]
        arbiter.answer_trial(self.make_wish("entry-0/1", ended=True))
        assert arbiter.answer_trial(self.make_wish("entry-3/1")).granted

    def test_an_arbiter_learns_from_the_wish(self) -> None:
        """Guards against a new arbiter that knows of no end."""
        (gateway, _), (new, arbiter) = make_entry("entry-1"), make_entry("entry-2")
        for number in range(3):
            gateway.quarantine.record_ended(REQUEST, f"engine-{number}")
        wish = self.make_wish("entry-1/1")
        reports = gateway.quarantine.report_on([CRASHING])
        wish.record.CopyFrom(encode_reports(reports, gateway.now())[0])
        assert not arbiter.answer_trial(wish).granted
        assert verdict_on(new, CRASHING) is Verdict.QUARANTINED

    def test_an_entry_without_peers_limits_its_own_requests(self) -> None:
        gateway, exchange = make_entry("entry-1")
        gateway.quarantine.record_ended(REQUEST, "engine-1")
        until = gateway.now() + 5.0

        async def request(holder: str) -> bool:
            return await exchange.request_trial(CRASHING, holder, until)

        granted = [asyncio.run(request(holder)) for holder in ("a", "b", "c")]
        assert granted == [True, True, False]
        asyncio.run(exchange.end_trial(CRASHING, "a"))
        assert asyncio.run(request("c"))

    def test_a_feature_without_ends_needs_no_trial(self) -> None:
        _, arbiter = make_entry("entry-1")
        assert all(
            arbiter.answer_trial(self.make_wish(f"{number}")).granted
            for number in range(9)
        )

    @staticmethod
    def make_wish(holder: str, *, ended: bool = False) -> pb.TrialWish:
        record = pb.FeatureRecord(feature=CRASHING)
        return pb.TrialWish(record=record, holder=holder, seconds=5.0, ended=ended)
