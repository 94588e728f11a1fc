"""Admitting, queueing and refusing; learning what the engine bears."""

import enum
from typing import NamedTuple

from mintsaddle.decisions.admission._queries import (
    has_place,
    order_queue,
    predict_wait,
)
from mintsaddle.decisions.admission._state import (
    AdmissionRules,
    AdmissionState,
    Candidate,
    Evidence,
    Running,
    Waiting,
)
from mintsaddle.values import Boot, Instant

_SLOW_FACTOR = 0.95
_OVERLOAD_FACTOR = 0.5


class Verdict(enum.Enum):
    """What becomes of an arriving request."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


class Offer(NamedTuple):
    """The answer to an arriving request."""

    verdict: Verdict
    displaced: tuple[str, ...] = ()
    """Requests that had to leave the queue for it; they never started."""


def offer(
    state: AdmissionState, rules: AdmissionRules, candidate: Candidate, now: Instant
) -> Offer:
    """Admit, queue or refuse an arriving request at once."""
    if state.engine_boot is None or candidate.start_by < now:
        return Offer(Verdict.REFUSE)
    waiting = Waiting(candidate, state.count_arrival())
    if not state.waiting and has_place(state, rules, candidate, now):
        _start(state, waiting, now)
        return Offer(Verdict.START)
    state.put_waiting(waiting)
    displaced = _shed_hopeless(state, rules, now)
    if candidate.request_id in displaced:
        return Offer(
            Verdict.REFUSE,
            tuple(name for name in displaced if name != candidate.request_id),
        )
    return Offer(Verdict.WAIT, displaced)


def finish(
    state: AdmissionState,
    rules: AdmissionRules,
    request_id: str,
    evidence: Evidence,
    now: Instant,
) -> tuple[str, ...]:
    """Take an ended request away; return those that start in its place."""
    running = state.drop_running(request_id)
    if running is None:
        state.drop_waiting(request_id)
    elif running.epoch == state.epoch:
        _learn(state, rules, running, evidence, now)
    return start_waiting(state, rules, now)


def confirm_engine(
    state: AdmissionState, boot: Boot, reported_limit: int | None, now: Instant
) -> tuple[str, ...]:
    """Note that an engine's run was seen; return requests given back.

    Requests queued for a warm engine are given back when it turns out to be
    cold: most of them could not start in time before it.
    """
    if boot == state.engine_boot:
        state.replace_engine(boot, max(now, state.confirmed_at), reported_limit)
        return ()
    state.start_epoch()
    state.replace_engine(boot, now, reported_limit)
    return drain_queue(state)


def lose_engine(state: AdmissionState) -> tuple[str, ...]:
    """Note that the engine is down; return the requests given back."""
    if state.engine_boot is None:
        return drain_queue(state)
    state.start_epoch()
    state.replace_engine(None, state.confirmed_at, None)
    return drain_queue(state)


def drain_queue(state: AdmissionState) -> tuple[str, ...]:
    """Empty the queue; return the requests, none of which has started."""
    names = tuple(state.waiting)
    for name in names:
        state.drop_waiting(name)
    return names


def expire_queue(state: AdmissionState, now: Instant) -> tuple[str, ...]:
    """Take out and return the requests whose time to start is over."""
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
    """Start what may start; return the started requests in their order."""
    started = []
    while state.waiting:
        first = order_queue(state)[0]
        if not has_place(state, rules, first.candidate, now):
            break
        state.drop_waiting(first.candidate.request_id)
        _start(state, first, now)
        started.append(first.candidate.request_id)
    return tuple(started)


def _start(state: AdmissionState, waiting: Waiting, now: Instant) -> None:
    state.put_running(Running(waiting.candidate, now, state.epoch))


def _shed_hopeless(
    state: AdmissionState, rules: AdmissionRules, now: Instant
) -> tuple[str, ...]:
    """Take out what can't start in time, in the queue's own order.

    A newcomer of a small workspace goes before a large one's backlog, and the
    backlog's tail is given back at once rather than when its time is over.
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


def _learn(
    state: AdmissionState,
    rules: AdmissionRules,
    running: Running,
    evidence: Evidence,
    now: Instant,
) -> None:
    if evidence in (Evidence.GOOD, Evidence.SLOW):
        state.record_time(now - running.started_at)
    room = rules.limit - min(rules.cold_limit, rules.limit)
    if evidence is Evidence.GOOD:
        state.replace_gained(min(float(room), state.gained + rules.growth))
    elif evidence is Evidence.SLOW:
        state.replace_gained(state.gained * _SLOW_FACTOR)
    elif evidence in (Evidence.OVERLOADED, Evidence.FAILED):
        state.replace_gained(state.gained * _OVERLOAD_FACTOR)
