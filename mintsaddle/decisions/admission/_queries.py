"""Questions to the admission state."""

from collections import Counter
from operator import itemgetter

from mintsaddle.decisions.admission._state import (
    AdmissionRules,
    AdmissionState,
    Candidate,
    Waiting,
)
from mintsaddle.values import Instant, Load

CONFIRMATION_LIFE = 0.5
"""Seconds for which a sight of the engine's run holds.

No engine restarts faster, so within them it is the run that was seen, or down.
"""


_PLACES_FOR_ONE_KEPT = 32


def current_limit(state: AdmissionState, rules: AdmissionRules, now: Instant) -> int:
    """Return how many requests the engine may hold now.

    Guards against a silent restart: a daemon that is itself old would give a
    cold engine a warm one's share, which shows as an engine that falls over
    again and again. Beyond the cold limit a run must have been seen lately.
    """
    if state.engine_boot is None:
        return 0
    cold = min(rules.cold_limit, rules.limit)
    if now - state.confirmed_at > CONFIRMATION_LIFE:
        return cold
    limit = min(rules.limit, int(cold + state.gained))
    if state.reported_limit is not None:
        limit = min(limit, state.reported_limit)
    return max(1, limit)


def describe_load(
    state: AdmissionState, rules: AdmissionRules, now: Instant, *, leaving: bool
) -> Load:
    """Return the exact load that rides on every answer to an entry."""
    limit = current_limit(state, rules, now)
    return Load(len(state.running), limit, len(state.waiting), leaving)


def has_place(
    state: AdmissionState, rules: AdmissionRules, candidate: Candidate, now: Instant
) -> bool:
    """Return whether a request may start now.

    The last few places of a full engine are kept for workspaces that hold no
    more than the mean for their share: a small one's newcomer then starts at
    once instead of waiting for a large one's request to end.
    """
    limit = current_limit(state, rules, now)
    free = limit - len(state.running)
    if free > limit // _PLACES_FOR_ONE_KEPT:
        return True
    return free > 0 and _holds_little(state, candidate)


def _holds_little(state: AdmissionState, candidate: Candidate) -> bool:
    held = state.held_by(candidate.workspace)
    total = state.total_share() + (0.0 if held else candidate.share)
    return held / candidate.share <= len(state.running) / total


def predict_wait(
    state: AdmissionState, rules: AdmissionRules, ahead: int, now: Instant
) -> float:
    """Return the seconds until a place, with some requests ahead."""
    limit = max(1, current_limit(state, rules, now))
    mean_time = state.mean_time or rules.target
    return (ahead + 1) * mean_time / limit


def order_queue(state: AdmissionState) -> list[Waiting]:
    """Return the queue in the order in which it starts.

    By priority; then the workspace that holds least of the engine for its
    share (weighted max-min); then by arrival. A workspace's own later requests
    count the earlier ones as held already.
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
