"""Since when services are overloaded."""

import pytest

from mintsaddle.decisions.overload import OverloadPeriod, OverloadPeriods
from mintsaddle.decisions.overload._workspace_use import OVERLOAD_WINDOW_SECONDS

WINDOW = OVERLOAD_WINDOW_SECONDS


class TestOverloadPeriods:
    @pytest.mark.parametrize(
        ("recorded", "now", "since"),
        [
            ([], 0.0, None),
            ([5.0], 5.0, 5.0),
            ([5.0], 5.0 + WINDOW, 5.0),
            ([5.0], 5.1 + WINDOW, None),
            ([5.0, 5.0 + WINDOW], 5.0 + 2 * WINDOW, 5.0),
            ([5.0, 6.0 + WINDOW], 6.0 + WINDOW, 6.0 + WINDOW),
        ],
    )
    def test_a_period_lasts_while_calls_are_not_admitted(
        self, recorded: list[float], now: float, since: float | None
    ) -> None:
        periods = OverloadPeriods()
        for at in recorded:
            periods.record_not_admitted("s", at)
        assert periods.since("s", now) == since
        assert periods.since("other", now) is None

    def test_beginning_and_end_are_told_once(self) -> None:
        """Guards against a log line for each call under overload."""
        periods = OverloadPeriods()
        told = [periods.record_not_admitted("s", at) for at in (5.0, 6.0, 7.0)]
        assert told == [True, False, False]
        assert periods.remove_ended(7.0 + WINDOW) == []
        assert periods.remove_ended(7.1 + WINDOW) == [OverloadPeriod("s", 5.0, 7.0, 3)]
        assert periods.remove_ended(7.1 + WINDOW) == []
        assert periods.record_not_admitted("s", 7.2 + WINDOW)
