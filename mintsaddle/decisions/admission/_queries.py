"""Questions to the admission state."""

from mintsaddle.decisions.admission._state import AdmissionRules, AdmissionState
from mintsaddle.values import Instant, Load

CONFIRMATION_LIFE = 0.5
"""Seconds for which a sight of the engine's run holds.

No engine restarts faster, so within them it is the run that was seen, or down.
"""


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


def predict_wait(
    state: AdmissionState, rules: AdmissionRules, ahead: int, now: Instant
) -> float:
    """Return the seconds until a place, with some requests ahead."""
    limit = max(1, current_limit(state, rules, now))
    mean_time = state.mean_time or rules.target
    return (ahead + 1) * mean_time / limit
