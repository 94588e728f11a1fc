"""Overload: priorities, queueing and fair shares of callers. Free of I/O."""

from mintsaddle.decisions.overload._call_queue import (
    FIRST_EVENT_SECONDS,
    MAX_CONCURRENT_ATTEMPTS,
    MAX_EXPECTED_SECONDS,
    USUAL_SLOT_SECONDS,
    CallQueue,
    PlacementRate,
    capacity_expected_at,
    wait_deadline,
)

__all__ = [
    "FIRST_EVENT_SECONDS",
    "MAX_CONCURRENT_ATTEMPTS",
    "MAX_EXPECTED_SECONDS",
    "USUAL_SLOT_SECONDS",
    "CallQueue",
    "PlacementRate",
    "capacity_expected_at",
    "wait_deadline",
]
