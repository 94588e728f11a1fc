"""A short soak of real entries beside callers that keep their connections."""

from pathlib import Path

import pytest

from mintsaddle.platform.tests.kept_soak import Plan, run_soak


class TestSoak:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_request_ends_without_an_answer(self, seed: int, tmp_path: Path) -> None:
        """Guards against requests lost in overlapping planned work."""
        report = run_soak(Plan(seed, seconds=15.0), tmp_path)
        assert report.faults == []
        assert report.answered > 100
        assert report.stops > 0

    def test_failures_cost_a_connection_each(self, tmp_path: Path) -> None:
        """Guards against requests lost as threads are started again."""
        report = run_soak(Plan(3, seconds=15.0, has_failures=True), tmp_path)
        assert report.faults == []
        assert report.answered > 100
