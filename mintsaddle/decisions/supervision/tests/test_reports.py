"""How many failures are logged."""

import pytest

from mintsaddle.decisions.supervision import (
    REPORT_PERIOD_SECONDS,
    REPORTS_PER_PERIOD,
    ReportLimit,
    take_report,
)

PLAYED_SECONDS = 60.0


class TestRecurringFailures:
    @pytest.mark.parametrize("interval", [0.001, 0.1, 1.0])
    def test_the_log_stays_short(self, interval: float) -> None:
        """Guards against a log that one recurring exception fills."""
        limit = ReportLimit()
        reports = []
        count = round(PLAYED_SECONDS / interval)
        for index in range(count):
            limit, report = take_report(limit, index * interval)
            if report is not None:
                reports.append(report)
        periods = PLAYED_SECONDS / REPORT_PERIOD_SECONDS
        assert len(reports) <= REPORTS_PER_PERIOD * periods
        reported = len(reports) + sum(report.omitted for report in reports)
        assert reported + limit.omitted == count

    def test_rare_ones_are_all_told(self) -> None:
        limit = ReportLimit()
        for index in range(100):
            limit, report = take_report(limit, index * REPORT_PERIOD_SECONDS)
            assert report is not None
            assert report.omitted == 0
