"""Outcomes of a feature and the verdict that follows from them."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintsaddle.decisions.quarantine._records import (
    EVIDENCE_SECONDS,
    MAX_EXTRA_ENDS,
    MAX_OUTCOMES,
    MIN_ENDS,
    OTHER_ENDS_PER_END,
    QUARANTINE_SECONDS,
    WAVE_SECONDS,
    Outcome,
    Outcomes,
    Verdict,
    drop_expired,
    judge_outcomes,
    merge_outcomes,
    needed_ends,
)

NOW = 100_000.0
MANY = MIN_ENDS * OTHER_ENDS_PER_END

records = st.dictionaries(
    st.integers(0, 5),
    st.builds(Outcome, st.booleans(), st.floats(NOW - 50.0, NOW)),
    max_size=6,
)


def make_record(ends: int, survivors: int, at: float = NOW) -> dict[int, Outcome]:
    """Return a record with engines that ended or survived at an instant."""
    flags = [True] * ends + [False] * survivors
    return {number: Outcome(flag, at) for number, flag in enumerate(flags)}


class TestVerdicts:
    @pytest.mark.parametrize(
        ("ends", "survivors", "verdict"),
        [
            (0, 0, Verdict.CLEAR),
            (0, 5, Verdict.CLEAR),
            (1, 0, Verdict.SUSPECT),
            (1, 1, Verdict.CLEAR),
            (2, 0, Verdict.SUSPECT),
            (2, 1, Verdict.SUSPECT),
            (3, 0, Verdict.QUARANTINED),
            (3, 1, Verdict.QUARANTINED),
            (3, 2, Verdict.CLEAR),
            (4, 3, Verdict.CLEAR),
            (5, 2, Verdict.QUARANTINED),
        ],
    )
    def test_ends_count_against_survivors(
        self, ends: int, survivors: int, verdict: Verdict
    ) -> None:
        record = make_record(ends, survivors)
        assert judge_outcomes(record, [], NOW) is verdict

    def test_more_ends_are_needed_while_many_other_engines_end(self) -> None:
        """Guards against a rare feature quarantined for a wave of crashes."""
        record = make_record(MIN_ENDS, 0)
        recent, old = [NOW] * MANY, [NOW - WAVE_SECONDS] * MANY
        assert judge_outcomes(record, recent, NOW) is Verdict.SUSPECT
        assert judge_outcomes(record, old, NOW) is Verdict.QUARANTINED
        assert needed_ends(1_000) == MIN_ENDS + MAX_EXTRA_ENDS

    def test_a_quarantined_feature_is_tried_again_and_then_kept_longer(self) -> None:
        """Guards against callers refused after their engines were repaired."""
        record = make_record(MIN_ENDS, 0)
        later = NOW + QUARANTINE_SECONDS
        assert judge_outcomes(record, [], later - 1.0) is Verdict.QUARANTINED
        assert judge_outcomes(record, [], later) is Verdict.SUSPECT
        once_more = {**record, 9: Outcome(True, later)}
        until = later + 2 * QUARANTINE_SECONDS
        assert judge_outcomes(once_more, [], until - 1.0) is Verdict.QUARANTINED
        assert judge_outcomes(once_more, [], until) is Verdict.SUSPECT

    def test_repaired_engines_clear_a_feature(self) -> None:
        record = make_record(MIN_ENDS, 0)
        for number in range(2):
            survivor = {100 + number: Outcome(False, NOW + QUARANTINE_SECONDS)}
            record = merge_outcomes(record, survivor)
        verdict = judge_outcomes(record, [], NOW + QUARANTINE_SECONDS + 1.0)
        assert verdict is Verdict.CLEAR

    def test_evidence_outlasts_the_longest_quarantine(self) -> None:
        record = make_record(MAX_OUTCOMES, 0)
        last = NOW + EVIDENCE_SECONDS
        assert drop_expired(record, last - 1.0) == record
        assert drop_expired(record, last) == {}
        assert judge_outcomes(record, [], last - 1.0) is Verdict.SUSPECT


class TestMerging:
    @given(records, records, records)
    def test_ends_are_the_same_in_whichever_order_records_arrive(
        self, first: Outcomes, second: Outcomes, third: Outcomes
    ) -> None:
        """Guards against entries that never agree on a verdict."""
        flags = set()
        for order in itertools.permutations((first, second, third)):
            merged: Outcomes = {}
            for news in order:
                merged = merge_outcomes(merged, news)
            assert merge_outcomes(merged, merged) == merged
            flags.add(
                tuple(sorted((key, value.has_ended) for key, value in merged.items()))
            )
        assert len(flags) == 1

    def test_a_record_does_not_get_younger_as_it_goes_from_entry_to_entry(self) -> None:
        """Guards against evidence that never expires."""
        here = make_record(1, 0, at=NOW)
        for relays in range(1, 500):
            received = make_record(1, 0, at=NOW + 0.01 * relays)
            there = merge_outcomes(here, received)
            here = merge_outcomes(there, here)
        assert here[0].at - NOW <= 0.01 * 500
        assert here == make_record(1, 0, at=here[0].at)

    def test_the_newest_outcomes_are_kept(self) -> None:
        """Guards against records that grow with each engine."""
        record: Outcomes = {}
        for number in range(5 * MAX_OUTCOMES):
            news = {number: Outcome(False, NOW + number)}
            record = merge_outcomes(record, news)
        assert sorted(record) == list(range(4 * MAX_OUTCOMES, 5 * MAX_OUTCOMES))
