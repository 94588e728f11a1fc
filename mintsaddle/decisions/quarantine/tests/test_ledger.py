"""One entry's ledger of features that may end engines."""

from mintsaddle.decisions.quarantine import (
    NO_FEATURES,
    CrashLedger,
    Feature,
    Judgement,
    Outcome,
    RequestFeatures,
    Verdict,
    extract_features,
)
from mintsaddle.decisions.quarantine._ledger import (
    MAX_ENDED_ENGINES,
    MAX_IMPLICATED,
    MAX_REPORTED,
    MAX_SURVIVED,
    FeatureReport,
)
from mintsaddle.decisions.quarantine._records import MIN_ENDS

FIRST, OTHER, CRASHING = Feature(1), Feature(2), Feature(3)
NOW = 1_000.0


def make_request(number: int, *shared: Feature) -> RequestFeatures:
    """Return features of a request that is like no other one."""
    return RequestFeatures(shared, Feature(1_000_000 + number))


def crash(ledger: CrashLedger, *shared: Feature, ends: int = MIN_ENDS) -> None:
    """Record ends of engines under requests, no two alike."""
    for number in range(ends):
        ledger.record_ended(make_request(number, *shared), 500 + number, NOW)


def verdict_on(ledger: CrashLedger, *shared: Feature) -> Verdict:
    """Return the verdict on a request that is like no other one."""
    return ledger.judge(make_request(-1, *shared), NOW).verdict


class TestSharedFeatures:
    def test_a_part_of_most_requests_is_cleared_by_those_that_went_well(self) -> None:
        """Guards against callers refused for a part that all of them share."""
        ledger = CrashLedger()
        for engine in range(4):
            ledger.record_survived(make_request(engine, FIRST), engine, NOW)
        crash(ledger, FIRST, CRASHING)
        assert verdict_on(ledger, FIRST) is Verdict.CLEAR
        assert verdict_on(ledger, FIRST, CRASHING) is Verdict.QUARANTINED

    def test_ends_are_explained_by_the_part_with_the_fewest_survivors(self) -> None:
        """Guards against a new entry that quarantines what all share."""
        ledger = CrashLedger()
        crash(ledger, FIRST, CRASHING, ends=6)
        ledger.record_survived(make_request(1, FIRST), 1, NOW)
        assert verdict_on(ledger, FIRST) is Verdict.CLEAR
        assert verdict_on(ledger, CRASHING) is Verdict.QUARANTINED

    def test_parts_that_cannot_be_told_apart_are_refused_only_together(self) -> None:
        """Guards against a part condemned with another that ends engines."""
        ledger = CrashLedger()
        crash(ledger, FIRST, CRASHING)
        assert verdict_on(ledger, FIRST, CRASHING) is Verdict.QUARANTINED
        assert verdict_on(ledger, FIRST, OTHER) is Verdict.SUSPECT
        assert verdict_on(ledger, OTHER) is Verdict.CLEAR

    def test_two_parts_that_end_engines_are_both_found(self) -> None:
        ledger = CrashLedger()
        for number in range(2 * MIN_ENDS):
            crashing = CRASHING if number % 2 else OTHER
            ledger.record_ended(make_request(number, FIRST, crashing), number, NOW)
            ledger.record_survived(make_request(number, FIRST), 50 + number, NOW)
        assert verdict_on(ledger, CRASHING) is Verdict.QUARANTINED
        assert verdict_on(ledger, OTHER) is Verdict.QUARANTINED
        assert verdict_on(ledger, FIRST) is Verdict.CLEAR


class TestWholeRequests:
    def test_a_request_that_comes_again_unchanged_is_quarantined(self) -> None:
        """Guards against a request without parts that ends many engines."""
        ledger = CrashLedger()
        request = extract_features((), "north", "GET", "/lookup/1", [b"body"])
        for engine in range(MIN_ENDS):
            ledger.record_ended(request, engine, NOW)
        assert ledger.judge(request, NOW).verdict is Verdict.QUARANTINED
        for changed in (
            ("south", "GET", "/lookup/1", [b"body"]),
            ("north", "POST", "/lookup/1", [b"body"]),
            ("north", "GET", "/lookup/2", [b"body"]),
            ("north", "GET", "/lookup/1", [b""]),
        ):
            other = extract_features((), *changed)
            assert ledger.judge(other, NOW).verdict is Verdict.CLEAR

    def test_a_request_without_features_is_sent(self) -> None:
        ledger = CrashLedger()
        crash(ledger, CRASHING)
        ledger.record_ended(NO_FEATURES, 77, NOW)
        assert ledger.judge(NO_FEATURES, NOW) == Judgement(Verdict.CLEAR)


class TestTrials:
    def test_as_many_may_run_as_ends_are_missing(self) -> None:
        ledger = CrashLedger()
        allowed = []
        for number in range(MIN_ENDS + 2):
            ledger.record_ended(make_request(number, CRASHING), number, NOW)
            allowed.append(ledger.max_trials(CRASHING, NOW))
        assert allowed == [2, 1, 1, 1, 1]

    def test_a_trial_that_goes_well_clears_a_witness(self) -> None:
        ledger = CrashLedger()
        crash(ledger, OTHER, ends=1)
        judgement = ledger.judge(make_request(5, OTHER), NOW)
        assert judgement == Judgement(Verdict.SUSPECT, (OTHER,))
        assert OTHER in ledger.record_survived(make_request(5, OTHER), 1, NOW)
        assert verdict_on(ledger, OTHER) is Verdict.CLEAR


class TestMerging:
    def test_entries_that_saw_one_end_each_agree_on_the_verdict(self) -> None:
        """Guards against ends that no single entry sees enough of."""
        entries = [CrashLedger() for _ in range(MIN_ENDS)]
        for number, entry in enumerate(entries):
            entry.record_ended(make_request(number, CRASHING), number, NOW)
            assert verdict_on(entry, CRASHING) is Verdict.SUSPECT
        for entry in entries[1:]:
            entries[0].merge(entry.report(NOW), NOW)
        assert verdict_on(entries[0], CRASHING) is Verdict.QUARANTINED
        new = CrashLedger()
        assert CRASHING in new.merge(entries[0].report(NOW), NOW)
        assert verdict_on(new, CRASHING) is Verdict.QUARANTINED
        assert new.merge(entries[0].report(NOW), NOW) == []

    def test_survivors_that_another_entry_has_seen_clear_a_part(self) -> None:
        new, old = CrashLedger(), CrashLedger()
        for engine in range(2):
            old.record_survived(make_request(engine, FIRST), engine, NOW)
        crash(new, FIRST, ends=1)
        old.merge(new.report_on([FIRST]), NOW)
        assert new.merge(old.report_on([FIRST]), NOW) == [FIRST]
        assert verdict_on(new, FIRST) is Verdict.CLEAR

    def test_records_without_an_end_are_not_taken_over(self) -> None:
        ledger = CrashLedger()
        report = FeatureReport(FIRST, {1: Outcome(False, NOW)})
        assert ledger.merge([report, FeatureReport(OTHER, {})], NOW) == []
        assert (ledger.is_empty, ledger.size) == (True, 0)


class TestBounds:
    def test_memory_does_not_grow_with_the_parts_that_callers_choose(self) -> None:
        """Guards against callers that fill an entry's memory."""
        ledger = CrashLedger()
        crash(ledger, CRASHING)
        for number in range(3 * MAX_SURVIVED):
            part = Feature(10_000 + number)
            ledger.record_survived(make_request(number, part), number, NOW)
        assert ledger.size <= MAX_SURVIVED + MAX_IMPLICATED
        for number in range(2 * MAX_IMPLICATED):
            request = make_request(number, Feature(50_000 + number))
            ledger.record_ended(request, 2 * MAX_ENDED_ENGINES + number % 2, NOW)
        assert ledger.size <= MAX_SURVIVED + MAX_IMPLICATED
        assert verdict_on(ledger, CRASHING) is Verdict.QUARANTINED
        reported = [report.feature for report in ledger.report(NOW)]
        assert reported[0] == CRASHING
        assert len(reported) <= MAX_REPORTED

    def test_a_feature_that_was_discarded_has_an_empty_record(self) -> None:
        """Guards against a change reported of a record that made room."""
        ledger = CrashLedger()
        crash(ledger, CRASHING, ends=4)
        news = [
            FeatureReport(Feature(10_000 + number), {number: Outcome(True, NOW)})
            for number in range(2 * MAX_IMPLICATED)
        ]
        changed = ledger.merge(news, NOW)
        assert any(not ledger.outcomes(feature) for feature in changed)
        assert len(ledger.outcomes(CRASHING)) == 4
