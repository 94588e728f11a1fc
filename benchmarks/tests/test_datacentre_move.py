"""Bounds on the data centre move; virtual time, so deterministic."""

import pytest

from benchmarks.datacentre_move import (
    SHORT_TIMING,
    Report,
    best_warm_up,
    make_policies,
    run_move,
)

WARM_UP_FACTOR = 1.1
DETECTION_SECONDS = 1.0
"""Seconds for the marks to arrive and an engine to be first observed."""


def run(name: str, load: float) -> Report:
    policy = next(policy for policy in make_policies() if policy.name == name)
    return run_move(policy, load, SHORT_TIMING)


class TestMove:
    @pytest.mark.parametrize("load", [0.6, 0.8])
    def test_nothing_is_cut_or_overrun(self, load: float) -> None:
        report = run("mintsaddle", load)
        assert (
            report.interrupted,
            report.unanswered,
            report.crashes,
            report.over_limit,
        ) == (0,) * 4
        assert report.last_admission <= 3.0
        assert (
            report.warm_up_seconds
            <= best_warm_up(load) * WARM_UP_FACTOR + DETECTION_SECONDS
        )

    def test_first_tokens_at_ninety_percent_of_what_remains(self) -> None:
        report = run("mintsaddle", 0.6)
        assert report.worst_window_share >= 0.95
        assert report.refused == 0

    def test_small_workspaces_at_more_than_remains(self) -> None:
        report = run("mintsaddle", 0.8)
        assert report.small_p95_during <= 2 * report.small_p95_before
        assert report.served >= 0.97
        assert report.retry_peak_ratio <= 4.0


class TestBaselines:
    def test_engines_fall_over_without_the_cold_limit(self) -> None:
        assert run("round robin", 0.6).crashes > 0

    def test_small_workspaces_wait_in_a_queue_by_arrival(self) -> None:
        report = run("queue: arrival", 0.8)
        assert report.small_p95_during > 2 * report.small_p95_before
