"""Tests admission: the cold limit, engine feedback and the fair queue."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintsaddle.decisions.admission import (
    CONFIRMATION_TTL,
    AdmissionDecision,
    AdmissionRules,
    AdmissionState,
    Candidate,
    EngineFeedback,
    confirm_engine,
    current_limit,
    expire_queue,
    finish,
    mark_engine_down,
    try_admit,
)

NOW = 1000.0
RULES = AdmissionRules(2, 10, 1.0, 0.6, 0.5)


def candidate(
    name: str, workspace: str = "w", share: float = 1.0, priority: int = 0
) -> Candidate:
    return Candidate(name, workspace, share, priority, NOW + 100.0)


def started(rules: AdmissionRules = RULES) -> AdmissionState:
    state = AdmissionState()
    confirm_engine(state, 1, None, NOW)
    return state


class TestLimit:
    @pytest.mark.parametrize(
        ("feedback", "limit"),
        [
            ([], 2),
            ([EngineFeedback.GOOD] * 3, 5),
            ([EngineFeedback.GOOD] * 20, 10),
            ([EngineFeedback.GOOD] * 8 + [EngineFeedback.OVERLOADED], 6),
            ([EngineFeedback.GOOD] * 8 + [EngineFeedback.FAILED] * 2, 4),
            ([EngineFeedback.GOOD] * 8 + [EngineFeedback.SLOW], 9),
            ([EngineFeedback.NONE] * 8, 2),
        ],
    )
    def test_grows_on_good_feedback_only(
        self, feedback: list[EngineFeedback], limit: int
    ) -> None:
        state = started()
        for number, sample in enumerate(feedback):
            try_admit(state, RULES, candidate(str(number)), NOW)
            finish(state, RULES, str(number), sample, NOW)
        assert current_limit(state, RULES, NOW) == limit

    def test_new_engine_run_is_cold(self) -> None:
        """Guards against a warm limit that outlives an engine restart."""
        state = self._warm()
        confirm_engine(state, 2, None, NOW)
        assert current_limit(state, RULES, NOW) == 2

    def test_unseen_engine_counts_as_cold(self) -> None:
        state = self._warm()
        later = NOW + CONFIRMATION_TTL + 0.01
        assert current_limit(state, RULES, later) == 2

    def test_feedback_of_an_earlier_run_is_ignored(self) -> None:
        state = started()
        try_admit(state, RULES, candidate("old"), NOW)
        confirm_engine(state, 2, None, NOW)
        finish(state, RULES, "old", EngineFeedback.GOOD, NOW)
        assert current_limit(state, RULES, NOW) == 2

    def test_engine_that_is_down_gets_nothing(self) -> None:
        state = self._warm()
        mark_engine_down(state)
        assert (
            try_admit(state, RULES, candidate("new"), NOW).decision
            is AdmissionDecision.REFUSE
        )

    def test_reported_limit_bounds_the_limit(self) -> None:
        state = self._warm()
        confirm_engine(state, 1, 4, NOW)
        assert current_limit(state, RULES, NOW) == 4

    @given(st.lists(st.sampled_from(["offer", "good", "failed", "restart", "lose"])))
    def test_never_holds_more_than_the_engine_can_handle(
        self, operations: list[str]
    ) -> None:
        state = started()
        held: list[str] = []
        served = 0
        boot = 1
        for number, operation in enumerate(operations):
            if operation == "offer":
                decision = try_admit(state, RULES, candidate(str(number)), NOW).decision
                held += [str(number)] if decision is AdmissionDecision.START else []
            elif operation == "restart":
                boot += 1
                served = 0
                confirm_engine(state, boot, None, NOW)
            elif operation == "lose":
                mark_engine_down(state)
                confirm_engine(state, boot, None, NOW)
                served = 0
            elif held:
                good = operation == "good"
                served += good
                sample = EngineFeedback.GOOD if good else EngineFeedback.FAILED
                held += finish(state, RULES, held.pop(0), sample, NOW)
            capacity = min(RULES.limit, RULES.cold_limit + served)
            new_here = sum(run.epoch == state.epoch for run in state.running.values())
            assert new_here <= capacity, operations

    @staticmethod
    def _warm() -> AdmissionState:
        state = started()
        for number in range(20):
            try_admit(state, RULES, candidate(str(number)), NOW)
            finish(state, RULES, str(number), EngineFeedback.GOOD, NOW)
        assert current_limit(state, RULES, NOW) == RULES.limit
        return state


class TestQueue:
    def _full(self, rules: AdmissionRules) -> AdmissionState:
        state = started()
        for name in ("held1", "held2"):
            assert (
                try_admit(state, rules, candidate(name), NOW).decision
                is AdmissionDecision.START
            )
        return state

    def _order(self, rules: AdmissionRules, names: list[Candidate]) -> list[str]:
        state = self._full(rules)
        for item in names:
            assert (
                try_admit(state, rules, item, NOW).decision is AdmissionDecision.WAIT
            ), item
        order: list[str] = []
        running = ["held1", "held2"]
        while running:
            newly_started = finish(
                state, rules, running.pop(0), EngineFeedback.NONE, NOW
            )
            order += newly_started
            running += newly_started
        return order

    def test_small_workspace_goes_between_a_large_ones_backlog(self) -> None:
        names = [candidate(f"large{n}", "large") for n in range(4)]
        names += [candidate("small", "small")]
        assert self._order(RULES, names).index("small") <= 1

    def test_share_is_weighted(self) -> None:
        rules = AdmissionRules(12, 12, 1.0, 0.6, 0.5)
        state = started(rules)
        for number in range(12):
            try_admit(state, rules, candidate(f"first{number}"), NOW)
        for number in range(12):
            try_admit(state, rules, candidate(f"a{number}", "a", 3.0), NOW)
            try_admit(state, rules, candidate(f"b{number}", "b", 1.0), NOW)
        for number in range(12):
            finish(state, rules, f"first{number}", EngineFeedback.NONE, NOW)
        assert (state.held_by("a"), state.held_by("b")) == (9, 3)

    def test_last_slot_is_reserved_for_a_small_workspace(self) -> None:
        rules = AdmissionRules(32, 32, 1.0, 0.6, 0.5)
        state = started(rules)
        for number in range(31):
            try_admit(
                state, rules, candidate(f"large{number}", f"large{number % 2}"), NOW
            )
        more = candidate("more", "large0")
        assert try_admit(state, rules, more, NOW).decision is AdmissionDecision.WAIT
        small = candidate("small", "small")
        finish(state, rules, "more", EngineFeedback.NONE, NOW)
        assert try_admit(state, rules, small, NOW).decision is AdmissionDecision.START

    def test_priority_goes_first(self) -> None:
        names = [candidate("low"), candidate("high", priority=5)]
        assert self._order(RULES, names) == ["high", "low"]

    def test_refused_on_arrival_when_it_cant_start_in_time(self) -> None:
        """Guards against requests that queue only to be refused later."""
        state = self._full(RULES)
        late = candidate("late")._replace(start_by=NOW + 0.1)
        assert try_admit(state, RULES, late, NOW).decision is AdmissionDecision.REFUSE

    def test_newcomer_of_a_small_workspace_displaces_a_backlog(self) -> None:
        state = self._full(RULES)
        for number in range(5):
            item = candidate(f"large{number}", "large")
            try_admit(state, RULES, item._replace(start_by=NOW + 1.6), NOW)
        assert len(state.waiting) == 5
        small = candidate("small", "small")._replace(start_by=NOW + 1.6)
        result = try_admit(state, RULES, small, NOW)
        assert (result.decision, result.displaced) == (
            AdmissionDecision.WAIT,
            ("large4",),
        )

    def test_expired_requests_are_given_back(self) -> None:
        state = self._full(RULES)
        item = candidate("short")._replace(start_by=NOW + 0.5)
        try_admit(state, RULES, item, NOW)
        assert expire_queue(state, NOW + 0.6) == ("short",)

    def test_queue_of_a_warm_engine_is_given_back_when_it_turns_cold(self) -> None:
        state = self._full(RULES)
        try_admit(state, RULES, candidate("waits"), NOW)
        assert confirm_engine(state, 2, None, NOW) == ("waits",)
