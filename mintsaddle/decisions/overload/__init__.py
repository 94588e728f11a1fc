"""Overload: priorities, queueing and fair shares of callers. Free of I/O."""

from mintsaddle.decisions.overload._call_queue import (
    FIRST_EVENT_SECONDS,
    MAX_CONCURRENT_ATTEMPTS,
    MAX_EXPECTED_SECONDS,
    USUAL_SLOT_SECONDS,
    CallQueue,
    PlacementRate,
    capacity_expected_at,
    first_event_seconds,
    wait_deadline,
)
from mintsaddle.decisions.overload._call_work import MAX_CALL_WORK, call_work
from mintsaddle.decisions.overload._capacity import (
    filter_by_level,
    has_minimum_share,
    max_slot_share,
)
from mintsaddle.decisions.overload._fair_share import OVER_SHARE
from mintsaddle.decisions.overload._levels import (
    MAX_LEVELS,
    CallPriority,
    PriorityLevels,
    find_priority_levels,
)
from mintsaddle.decisions.overload._locality import with_local_capacity
from mintsaddle.decisions.overload._overload_periods import (
    OverloadPeriod,
    OverloadPeriods,
)
from mintsaddle.decisions.overload._step_bound import StepSkews, bound_requests
from mintsaddle.decisions.overload._workspace_use import (
    MAX_REPORTED_USES,
    WorkspaceUse,
)

__all__ = [
    "FIRST_EVENT_SECONDS",
    "MAX_CALL_WORK",
    "MAX_CONCURRENT_ATTEMPTS",
    "MAX_EXPECTED_SECONDS",
    "MAX_LEVELS",
    "MAX_REPORTED_USES",
    "OVER_SHARE",
    "USUAL_SLOT_SECONDS",
    "CallPriority",
    "CallQueue",
    "OverloadPeriod",
    "OverloadPeriods",
    "PlacementRate",
    "PriorityLevels",
    "StepSkews",
    "WorkspaceUse",
    "bound_requests",
    "call_work",
    "capacity_expected_at",
    "filter_by_level",
    "find_priority_levels",
    "first_event_seconds",
    "has_minimum_share",
    "max_slot_share",
    "wait_deadline",
    "with_local_capacity",
]
