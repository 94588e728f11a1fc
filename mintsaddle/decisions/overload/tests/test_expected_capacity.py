"""When a refused caller is told to expect capacity."""

import pytest

from mintsaddle.decisions.overload import (
    MAX_EXPECTED_SECONDS,
    USUAL_SLOT_SECONDS,
    CallQueue,
    PlacementRate,
    capacity_expected_at,
)
from mintsaddle.decisions.overload.tests.call_samples import make_call


class TestExpectedCapacity:
    @pytest.mark.parametrize(
        ("calls_ahead", "rate", "seconds"),
        [
            (0, 0.0, USUAL_SLOT_SECONDS),
            (100, 0.0, USUAL_SLOT_SECONDS),
            (0, 10.0, USUAL_SLOT_SECONDS),
            (9, 10.0, 1.0),
            (29, 10.0, 3.0),
            (10_000, 10.0, MAX_EXPECTED_SECONDS),
            (0, 1e-300, MAX_EXPECTED_SECONDS),
            (-5, 1.0, 1.0),
        ],
    )
    def test_expected_time(self, calls_ahead: int, rate: float, seconds: float) -> None:
        expected_at = capacity_expected_at(calls_ahead, rate, 100.0)
        assert expected_at == pytest.approx(100.0 + seconds)

    def test_calls_ahead_depend_on_level_and_lateness(self) -> None:
        queue = CallQueue(6)
        calls = [
            (make_call(f"{level}{late}", 5.0, is_returning=late), level)
            for level in range(3)
            for late in (False, True)
        ]
        for call, level in calls:
            assert queue.enqueue(call, level, 5.1)
        ahead = [
            queue.calls_ahead(level, late, 5.1)
            for late in (False, True)
            for level in range(4)
        ]
        assert ahead == [1, 2, 3, 3, 4, 5, 6, 6]
        # All of them have become late.
        assert queue.calls_ahead(4, False, 6.0) == 0

    def test_the_rate_of_even_placements_is_learned(self) -> None:
        """Guards against times that callers can't rely on."""
        rate = PlacementRate()
        for number in range(100):
            rate.record(10.0 + number / 20)
        assert rate.rate(15.0) == pytest.approx(20.0, rel=0.1)

    def test_a_lower_rate_is_learned_within_seconds(self) -> None:
        rate = PlacementRate()
        for number in range(100):
            rate.record(10.0 + number / 20)
        for number in range(15):
            rate.record(15.0 + number / 5)
        assert rate.rate(18.0) == pytest.approx(5.0, rel=0.3)

    @pytest.mark.parametrize("idle_seconds", [10.0, 86_400.0, 1e9])
    def test_an_old_rate_is_unknown(self, idle_seconds: float) -> None:
        """Guards against the longest time after idle or frozen seconds."""
        rate = PlacementRate()
        assert rate.rate(0.0) == 0.0
        for number in range(20):
            rate.record(10.0 + number / 20)
        assert rate.rate(11.0 + idle_seconds) == 0.0

    def test_an_instant_of_the_past_is_harmless(self) -> None:
        rate = PlacementRate()
        rate.record(10.0)
        rate.record(9.0)
        assert rate.rate(8.0) == pytest.approx(2.0)
