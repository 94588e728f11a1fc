"""Questions to a call."""

from mintsaddle.decisions.calls._state import CallState
from mintsaddle.values import Instant


def next_deadline(state: CallState) -> Instant:
    """Return when the call wants to be woken if nothing arrives before."""
    if state.attempt is None:
        return state.request.deadline
    return min(state.request.deadline, state.attempt.silent_at)


def is_order(state: CallState) -> bool:
    """Return whether the call may run at most once."""
    return not state.request.service.repeatable


def may_start_over(state: CallState) -> bool:
    """Return whether another attempt could still give a whole answer.

    A caller that has a part of an answer can only be served on by an engine
    that goes on after it: another engine's words would not fit to it.
    """
    untouched = not state.head_delivered and state.delivered == 0
    return untouched or state.request.service.resumable
