"""Admits, queues and refuses requests; adapts the concurrency limit."""

import enum
from typing import NamedTuple

from mintsaddle.decisions.admission._queries import (
    has_capacity,
    order_queue,
    predict_wait,
)
from mintsaddle.decisions.admission._state import (
    AdmissionRules,
    AdmissionState,
    Candidate,
    EngineFeedback,
    QueuedRequest,
    RunningRequest,
)
from mintsaddle.values import Boot, Instant

_SLOW_FACTOR = 0.95
"""Multiplies the extra limit after a response that missed the target."""

_OVERLOAD_FACTOR = 0.5
"""Multiplies the extra limit after an overload or a failure."""


class AdmissionDecision(enum.Enum):
    """Whether an arriving request starts, waits or is refused."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


class AdmissionResult(NamedTuple):
    """The admission decision and its effect on the queue."""

    decision: AdmissionDecision
    displaced: tuple[str, ...] = ()
    """IDs of queued requests that were removed; none of them has started."""


def try_admit(
    state: AdmissionState, rules: AdmissionRules, candidate: Candidate, now: Instant
) -> AdmissionResult:
    """Admit, queue or refuse an arriving request without blocking."""
    if state.engine_boot is None or candidate.start_by < now:
        return AdmissionResult(AdmissionDecision.REFUSE)
    waiting = QueuedRequest(candidate, state.count_arrival())
    if not state.waiting and has_capacity(state, rules, candidate, now):
        _start(state, waiting, now)
        return AdmissionResult(AdmissionDecision.START)
    state.put_waiting(waiting)
    displaced = _shed_predicted_late(state, rules, now)
    if candidate.request_id in displaced:
        return AdmissionResult(
            AdmissionDecision.REFUSE,
            tuple(name for name in displaced if name != candidate.request_id),
        )
    return AdmissionResult(AdmissionDecision.WAIT, displaced)


def finish(
    state: AdmissionState,
    rules: AdmissionRules,
    request_id: str,
    feedback: EngineFeedback,
    now: Instant,
) -> tuple[str, ...]:
    """Remove an ended request; return the requests that start in its place."""
    running = state.drop_running(request_id)
    if running is None:
        state.drop_waiting(request_id)
    elif running.epoch == state.epoch:
        _apply_feedback(state, rules, running, feedback, now)
    return start_waiting(state, rules, now)


def confirm_engine(
    state: AdmissionState, boot: Boot, reported_limit: int | None, now: Instant
) -> tuple[str, ...]:
    """Record that the engine runs; return the requests to hand back.

    If the engine has restarted, it is cold and the queue is emptied: most of
    the queued requests could not start in time on a cold engine.
    """
    if boot == state.engine_boot:
        state.replace_engine(boot, max(now, state.confirmed_at), reported_limit)
        return ()
    state.start_epoch()
    state.replace_engine(boot, now, reported_limit)
    return drain_queue(state)


def mark_engine_down(state: AdmissionState) -> tuple[str, ...]:
    """Record that the engine is down; return the requests to hand back."""
    if state.engine_boot is None:
        return drain_queue(state)
    state.start_epoch()
    state.replace_engine(None, state.confirmed_at, None)
    return drain_queue(state)


def drain_queue(state: AdmissionState) -> tuple[str, ...]:
    """Empty the queue; return its requests, none of which has started."""
    names = tuple(state.waiting)
    for name in names:
        state.drop_waiting(name)
    return names


def expire_queue(state: AdmissionState, now: Instant) -> tuple[str, ...]:
    """Remove and return the queued requests past their `start_by` time."""
    late = tuple(
        name
        for name, waiting in state.waiting.items()
        if waiting.candidate.start_by < now
    )
    for name in late:
        state.drop_waiting(name)
    return late


def start_waiting(
    state: AdmissionState, rules: AdmissionRules, now: Instant
) -> tuple[str, ...]:
    """Start queued requests while capacity lasts; return them in order."""
    started = []
    while state.waiting:
        first = order_queue(state)[0]
        if not has_capacity(state, rules, first.candidate, now):
            break
        state.drop_waiting(first.candidate.request_id)
        _start(state, first, now)
        started.append(first.candidate.request_id)
    return tuple(started)


def _start(state: AdmissionState, waiting: QueuedRequest, now: Instant) -> None:
    state.put_running(RunningRequest(waiting.candidate, now, state.epoch))


def _shed_predicted_late(
    state: AdmissionState, rules: AdmissionRules, now: Instant
) -> tuple[str, ...]:
    """Remove the requests that are predicted to miss their `start_by` time.

    The queue is walked in start order, so that a new request of a small
    workspace precedes the backlog of a large one. The tail of that backlog is
    handed back at once rather than when it expires.
    """
    shed = []
    ahead = 0
    for waiting in order_queue(state):
        wait = predict_wait(state, rules, ahead, now)
        if now + wait > waiting.candidate.start_by:
            shed.append(waiting.candidate.request_id)
        else:
            ahead += 1
    for name in shed:
        state.drop_waiting(name)
    return tuple(shed)


def _apply_feedback(
    state: AdmissionState,
    rules: AdmissionRules,
    running: RunningRequest,
    feedback: EngineFeedback,
    now: Instant,
) -> None:
    if feedback in (EngineFeedback.GOOD, EngineFeedback.SLOW):
        state.record_service_time(now - running.started_at)
    max_extra = rules.limit - min(rules.cold_limit, rules.limit)
    if feedback is EngineFeedback.GOOD:
        state.replace_extra_limit(
            min(float(max_extra), state.extra_limit + rules.growth)
        )
    elif feedback is EngineFeedback.SLOW:
        state.replace_extra_limit(state.extra_limit * _SLOW_FACTOR)
    elif feedback in (EngineFeedback.OVERLOADED, EngineFeedback.FAILED):
        state.replace_extra_limit(state.extra_limit * _OVERLOAD_FACTOR)
