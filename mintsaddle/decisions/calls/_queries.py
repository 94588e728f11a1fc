"""Read-only queries on a call."""

from mintsaddle.decisions.calls._state import CallState
from mintsaddle.values import Instant


def next_deadline(state: CallState) -> Instant:
    """Return when `TimerFired` is due unless another event comes first."""
    if state.attempt is None:
        return state.request.deadline
    return min(state.request.deadline, state.attempt.timeout_at)


def is_order(state: CallState) -> bool:
    """Return whether the call may run at most once."""
    return not state.request.service.repeatable


def can_complete_elsewhere(state: CallState) -> bool:
    """Return whether another attempt can still complete the response.

    Once the caller has a part of the response, only an engine that can resume
    after that part may continue it; a new response would not match the part.
    """
    untouched = not state.head_delivered and state.delivered == 0
    return untouched or state.request.service.resumable
