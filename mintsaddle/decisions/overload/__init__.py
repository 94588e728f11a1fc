"""Decisions under overload: who is served first, and how much. Free of I/O."""

from mintsaddle.decisions.overload._call_work import MAX_CALL_WORK, call_work
from mintsaddle.decisions.overload._fair_share import OVER_SHARE
from mintsaddle.decisions.overload._workspace_use import (
    MAX_REPORTED_USES,
    WorkspaceUse,
)

__all__ = [
    "MAX_CALL_WORK",
    "MAX_REPORTED_USES",
    "OVER_SHARE",
    "WorkspaceUse",
    "call_work",
]
