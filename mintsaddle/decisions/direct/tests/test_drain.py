"""The schedule of an entry that shuts down."""

import pytest

from mintsaddle.decisions.direct import may_send, plan_drain

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

    @pytest.mark.parametrize("stop_seconds", [1.0, 3.0, 8.0, 30.0])
    def test_a_late_call_is_sent_only_if_it_ends_in_time(
        self, stop_seconds: float
    ) -> None:
        """Guards against calls that are sent late and cut soon after."""
        schedule = plan_drain(NOW, stop_seconds)
        long = schedule.exit_at + 10.0
        late = schedule.refuse_from - 0.01
        assert may_send(schedule, schedule.accept_until, long, runs_once=True)
        assert not may_send(schedule, late, long, runs_once=True)
        assert may_send(schedule, late, long, runs_once=False)
        short = schedule.abort_from
        assert may_send(schedule, late, short, runs_once=True)
        assert not may_send(schedule, schedule.refuse_from, short, runs_once=True)
        assert not may_send(schedule, schedule.refuse_from, short, runs_once=False)

    def test_the_balancer_has_time_to_notice(self) -> None:
        """Guards against callers sent to an entry that refuses connections."""
        assert plan_drain(NOW, 8.0).accept_until == NOW + 3.0
