"""Entries whose ledgers merge, lose and learn records, in any order."""

from typing import ClassVar

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mintsaddle.decisions.quarantine import (
    MAX_REPORTED,
    CrashLedger,
    Feature,
    RequestFeatures,
    Verdict,
)
from mintsaddle.decisions.quarantine._ledger import FeatureReport
from mintsaddle.decisions.quarantine._records import MIN_ENDS, QUARANTINE_SECONDS

ENTRIES = 3
FIRST, CRASHING = Feature(1), Feature(2)
ENTRY = st.integers(0, ENTRIES - 1)


class LedgerMachine(RuleBasedStateMachine):
    """Three entries; most requests share a part, and some end engines."""

    ledger_type: ClassVar[type[CrashLedger]] = CrashLedger

    def __init__(self) -> None:
        super().__init__()
        self._ledgers = [self.ledger_type() for _ in range(ENTRIES)]
        self._now = 1_000.0
        self._number = 100
        self._ends = 0

    @rule(entry=ENTRY)
    def serve(self, entry: int) -> None:
        """Serve a sound request at an engine of its own."""
        features, engine = self._next_request()
        self._ledgers[entry].record_survived(features, engine, self._now)

    @rule(entry=ENTRY)
    def crash(self, entry: int) -> None:
        """End an engine, after sound requests have gone well elsewhere."""
        self.serve(entry)
        features, engine = self._next_request(CRASHING)
        self._ledgers[entry].record_ended(features, engine, self._now)
        self._ends += 1

    @rule(entry=ENTRY)
    def end_by_itself(self, entry: int) -> None:
        """End an engine for another reason."""
        self.serve(entry)
        features, engine = self._next_request()
        self._ledgers[entry].record_ended(features, engine, self._now)

    @rule(sender=ENTRY, receiver=ENTRY)
    def gossip(self, sender: int, receiver: int) -> None:
        reports = self._ledgers[sender].report(self._now)
        assert len(reports) <= MAX_REPORTED
        self._ledgers[receiver].merge(reports, self._now)

    @rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds: float) -> None:
        self._now += seconds
        for ledger in self._ledgers:
            ledger.discard_expired(self._now)

    @invariant()
    def sound_requests_are_not_quarantined(self) -> None:
        """Check that no request is refused for the part that most share."""
        sound = RequestFeatures((FIRST,), None)
        for ledger in self._ledgers:
            assert ledger.judge(sound, self._now).verdict is not Verdict.QUARANTINED

    def teardown(self) -> None:
        """Check that entries which have heard of all ends refuse alike."""
        for _ in range(2):
            for sender in self._ledgers:
                for receiver in self._ledgers:
                    records: list[FeatureReport] = sender.report_on([CRASHING])
                    receiver.merge(records, self._now)
        crashing = RequestFeatures((FIRST, CRASHING), None)
        verdicts = {
            ledger.judge(crashing, self._now).verdict for ledger in self._ledgers
        }
        assert len(verdicts) == 1
        # Others that end are at most as many as can ask for two more ends.
        if self._ends >= MIN_ENDS + 2 and self._now < 1_000.0 + QUARANTINE_SECONDS:
            assert verdicts == {Verdict.QUARANTINED}

    def _next_request(self, *parts: Feature) -> tuple[RequestFeatures, int]:
        self._number += 1
        whole = Feature(self._number)
        return RequestFeatures((FIRST, *parts), whole), self._number


class _ForgetfulLedger(CrashLedger):
    """A ledger that remembers no survivors."""

    def record_survived(
        self, features: RequestFeatures, engine: int, now: float
    ) -> list[Feature]:
        return []


class _PermissiveMachine(LedgerMachine):
    ledger_type = _ForgetfulLedger


class TestLedgers:
    EXAMPLES = settings(max_examples=150, stateful_step_count=40, deadline=None)

    def test_entries_agree_and_refuse_no_sound_request(self) -> None:
        """Guards against verdicts that depend on the order of messages."""
        run_state_machine_as_test(LedgerMachine, settings=self.EXAMPLES)

    def test_without_survivors_sound_requests_would_be_refused(self) -> None:
        """Guards against a machine that finds nothing."""
        with pytest.raises((AssertionError, ExceptionGroup)):
            run_state_machine_as_test(_PermissiveMachine, settings=self.EXAMPLES)
