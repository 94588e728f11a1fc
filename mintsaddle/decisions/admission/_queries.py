"""Read-only queries on the admission state."""

from collections import Counter
from operator import itemgetter

from mintsaddle.decisions.admission._state import (
    AdmissionRules,
    AdmissionState,
    Candidate,
    QueuedRequest,
)
from mintsaddle.values import Instant, Load

CONFIRMATION_TTL = 0.5
"""Seconds for which a confirmation of the engine's run stays valid.

No engine restarts faster than this, so until then the engine is either still
in the confirmed run or down.
"""


_SLOTS_PER_RESERVED_SLOT = 32
"""One slot in this many is reserved for workspaces within their fair share."""


def current_limit(state: AdmissionState, rules: AdmissionRules, now: Instant) -> int:
    """Return how many requests the engine may hold now.

    The cold limit is exceeded only if the engine's run was confirmed recently.
    Otherwise a daemon that missed an engine restart would send a cold engine
    the load of a warm one, and the engine would crash again and again.
    """
    if state.engine_boot is None:
        return 0
    cold = min(rules.cold_limit, rules.limit)
    if now - state.confirmed_at > CONFIRMATION_TTL:
        return cold
    limit = min(rules.limit, int(cold + state.extra_limit))
    if state.reported_limit is not None:
        limit = min(limit, state.reported_limit)
    return max(1, limit)


def describe_load(
    state: AdmissionState, rules: AdmissionRules, now: Instant, *, leaving: bool
) -> Load:
    """Return the current load, which every reply to an entry carries."""
    limit = current_limit(state, rules, now)
    return Load(len(state.running), limit, len(state.waiting), leaving)


def has_capacity(
    state: AdmissionState, rules: AdmissionRules, candidate: Candidate, now: Instant
) -> bool:
    """Return whether a request may start now.

    The last few slots are reserved for workspaces that hold no more than the
    mean for their share, so that a new request of a small workspace starts at
    once instead of waiting for a request of a large one to end.
    """
    limit = current_limit(state, rules, now)
    free = limit - len(state.running)
    if free > limit // _SLOTS_PER_RESERVED_SLOT:
        return True
    return free > 0 and _is_within_fair_share(state, candidate)


def _is_within_fair_share(state: AdmissionState, candidate: Candidate) -> bool:
    held = state.held_by(candidate.workspace)
    total = state.total_share() + (0.0 if held else candidate.share)
    return held / candidate.share <= len(state.running) / total


def predict_wait(
    state: AdmissionState, rules: AdmissionRules, ahead: int, now: Instant
) -> float:
    """Return the predicted seconds of wait behind `ahead` other requests."""
    limit = max(1, current_limit(state, rules, now))
    mean_service_time = state.mean_service_time or rules.target
    return (ahead + 1) * mean_service_time / limit


def order_queue(state: AdmissionState) -> list[QueuedRequest]:
    """Return the queued requests in start order.

    The order is by priority, then by the workspace that holds the fewest slots
    for its share (weighted max-min fairness), then by arrival. Earlier queued
    requests of the same workspace count as already held.
    """
    ahead: Counter[str] = Counter()
    keyed = []
    for waiting in state.waiting.values():
        candidate = waiting.candidate
        held = state.held_by(candidate.workspace) + ahead[candidate.workspace]
        ahead[candidate.workspace] += 1
        key = (-candidate.priority, held / candidate.share, waiting.number)
        keyed.append((key, waiting))
    return [waiting for _, waiting in sorted(keyed, key=itemgetter(0))]
