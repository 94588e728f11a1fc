"""When loops run again."""

import pytest

from mintsaddle.decisions.supervision import (
    MAX_PAUSE_SECONDS,
    SOUND_SECONDS,
    Restarts,
    is_beyond_help,
    record_failure,
)

PLAYED_SECONDS = 60.0
CONTACT_SECONDS = 3.0
"""Time in which callers find an entry that says it is ready."""


def run_until(end: float, run_seconds: float) -> list[float]:
    """Run a loop that always fails; return when each run began."""
    restarts, now = Restarts(), 0.0
    begun_at = []
    while now < end:
        begun_at.append(now)
        restarts = record_failure(restarts, now, now + run_seconds)
        now = max(now + run_seconds, restarts.restart_at)
    return begun_at


class TestSingleFailures:
    def test_one_costs_no_pause(self) -> None:
        assert record_failure(Restarts(), 5.0, 7.0).restart_at == 7.0

    def test_rare_ones_cost_none_either(self) -> None:
        restarts, now = Restarts(), 0.0
        for _ in range(100):
            restarts = record_failure(restarts, now, now + SOUND_SECONDS)
            now += SOUND_SECONDS
            assert restarts.restart_at == now
            assert not is_beyond_help(restarts)

    def test_five_in_a_row_leave_most_of_the_time(self) -> None:
        """Guards against callers that find no entry for seconds."""
        assert run_until(CONTACT_SECONDS, 0.1)[5] < CONTACT_SECONDS / 2


class TestRecurringFailures:
    @pytest.mark.parametrize("run_seconds", [0.0, 0.001, 0.1])
    def test_they_take_little_processor_time(self, run_seconds: float) -> None:
        """Guards against a busy loop."""
        begun_at = run_until(PLAYED_SECONDS, run_seconds)
        assert len(begun_at) <= 10 + PLAYED_SECONDS / MAX_PAUSE_SECONDS

    def test_they_are_beyond_help_after_a_while(self) -> None:
        restarts, now = Restarts(), 0.0
        while not is_beyond_help(restarts):
            restarts = record_failure(restarts, now, now)
            now = restarts.restart_at
        assert CONTACT_SECONDS < now < 3 * CONTACT_SECONDS
