"""Tests the detection of stalled groups and the order of succession."""

import pytest

from mintsaddle.decisions.expert_maps import StallDetector, watchdog_timeout


class TestStallDetector:
    @pytest.mark.parametrize(
        ("reports", "is_stalled"),
        [
            ([(5, 3, 0.0), (5, 3, 0.5)], False),
            ([(5, 3, 0.0), (5, 3, 0.7)], True),
            ([(5, 3, 0.0), (6, 3, 0.7)], False),
            ([(5, 0, 0.0), (5, 0, 0.7)], False),
            # The group has just received work.
            ([(5, 0, 0.0), (5, 3, 0.7)], False),
        ],
    )
    def test_only_a_group_with_work_can_stand_still(
        self, reports: list[tuple[int, int, float]], is_stalled: bool
    ) -> None:
        detector = StallDetector()
        for step, running, now in reports:
            detector.record_step(step, running, now)
        assert detector.is_stalled(reports[-1][2]) == is_stalled


class TestWatchdogTimeout:
    def test_a_group_is_freed_before_callers_leave(self) -> None:
        """Guards against a hold that lasts until callers leave."""
        timeout = [watchdog_timeout(position) for position in range(3)]
        assert timeout == sorted(set(timeout))
        assert timeout[-1] < 1.5
