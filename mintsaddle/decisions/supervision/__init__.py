"""When what has failed runs again, is reported, or ends the process."""

from mintsaddle.decisions.supervision._reports import (
    REPORT_PERIOD_SECONDS,
    REPORTS_PER_PERIOD,
    Report,
    ReportLimit,
    take_report,
)
from mintsaddle.decisions.supervision._restarts import (
    MAX_PAUSE_SECONDS,
    SOUND_SECONDS,
    Restarts,
    is_beyond_help,
    record_failure,
)

__all__ = [
    "MAX_PAUSE_SECONDS",
    "REPORTS_PER_PERIOD",
    "REPORT_PERIOD_SECONDS",
    "SOUND_SECONDS",
    "Report",
    "ReportLimit",
    "Restarts",
    "is_beyond_help",
    "record_failure",
    "take_report",
]
