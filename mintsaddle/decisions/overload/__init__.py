"""Decides which calls of a service go first under overload. Free of I/O."""

from mintsaddle.decisions.overload._capacity import (
    filter_by_level,
    has_minimum_share,
    max_slot_share,
)
from mintsaddle.decisions.overload._levels import (
    MAX_LEVELS,
    CallPriority,
    PriorityLevels,
    find_priority_levels,
)

__all__ = [
    "MAX_LEVELS",
    "CallPriority",
    "PriorityLevels",
    "filter_by_level",
    "find_priority_levels",
    "has_minimum_share",
    "max_slot_share",
]
