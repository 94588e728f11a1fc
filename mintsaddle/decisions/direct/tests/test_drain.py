"""The schedule of an entry that shuts down."""

import pytest

from mintsaddle.decisions.direct import plan_drain

NOW = 100.0


class TestSchedule:
    @pytest.mark.parametrize("stop_seconds", [1.0, 3.0, 8.0, 30.0])
    def test_callers_are_answered_before_the_process_exits(
        self, stop_seconds: float
    ) -> None:
        """Guards against connections that end without an answer."""
        schedule = plan_drain(NOW, stop_seconds)
        assert NOW < schedule.accept_until < schedule.refuse_from
        assert schedule.refuse_from < schedule.abort_from < schedule.exit_at
        assert schedule.exit_at < NOW + stop_seconds

    def test_the_balancer_has_time_to_notice(self) -> None:
        """Guards against callers sent to an entry that refuses connections."""
        assert plan_drain(NOW, 8.0).accept_until == NOW + 3.0
