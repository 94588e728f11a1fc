"""When what has failed runs again, is reported, or ends the process."""

from mintsaddle.decisions.supervision._reports import (
    REPORT_PERIOD_SECONDS,
    REPORTS_PER_PERIOD,
    Report,
    ReportLimit,
    take_report,
)

__all__ = [
    "REPORTS_PER_PERIOD",
    "REPORT_PERIOD_SECONDS",
    "Report",
    "ReportLimit",
    "take_report",
]
