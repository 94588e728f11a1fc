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
from mintsaddle.decisions.supervision._stalls import (
    MAX_SILENCE_SECONDS,
    STALL_SECONDS,
    Stall,
    is_alive,
    is_stalled_for_good,
    record_check,
)

__all__ = [
    "MAX_PAUSE_SECONDS",
    "MAX_SILENCE_SECONDS",
    "REPORTS_PER_PERIOD",
    "REPORT_PERIOD_SECONDS",
    "SOUND_SECONDS",
    "STALL_SECONDS",
    "Report",
    "ReportLimit",
    "Restarts",
    "Stall",
    "is_alive",
    "is_beyond_help",
    "is_stalled_for_good",
    "record_check",
    "record_failure",
    "take_report",
]
