"""What is known of one feature: the engines that ended or survived under it.

An engine ends under a feature if its process is gone at the beginning of an
answer to a request with it. It survives if it continues past that beginning. A
feature that ends engines does so at nearly each one that begins to write, so
the record of any other feature soon has more survivors than ends, however
often its requests are on engines that end for another reason.

A record is a set of outcomes, one for each run of an engine. Entries merge
their records in any order and any number of times.
"""

import enum
from collections.abc import Iterable, Mapping, Set
from typing import Final, NamedTuple, TypeAlias

from mintsaddle.values import Instant

SURVIVAL_SECONDS: Final = 1.0
"""Seconds after the head of an answer for which its engine has to continue. A
rank whose group stalls keeps its connections for longer than this, so the cut
of a stalled stream shows that its own rank has survived."""

MAX_OUTCOMES: Final = 12
"""Outcomes that are kept of a feature, the newest ones."""

ENDS_PER_SURVIVOR: Final = 2
"""Ends for each survivor from which a feature is suspected. A request that
ends its engine seems to have survived if another rank of its group ends at the
same moment."""

MIN_ENDS: Final = 3
"""Ends that quarantine a feature, two more than may be a coincidence."""

OTHER_ENDS_PER_END: Final = 3
"""Engines that have ended without a feature for which one more end under it is
needed: while many engines end, the same rare feature is there twice by
chance."""

MAX_EXTRA_ENDS: Final = 2
"""Most ends that are needed beyond ``MIN_ENDS``."""

WAVE_SECONDS: Final = 60.0
"""Seconds for which an engine's end counts as part of a wave."""

QUARANTINE_SECONDS: Final = 600.0
"""Seconds from the last end until a quarantined feature is tried again: its
engines may have been repaired. Doubles with each further end."""

MAX_DOUBLINGS: Final = 3
"""Most doublings of the quarantine."""

EVIDENCE_SECONDS: Final = 4 * 3600.0
"""Seconds for which an outcome counts; longer than any quarantine."""

_CLOCK_TOLERANCE_SECONDS = 1.0
"""Difference up to which two instants of the same outcome are the same. A
record gets younger by the time of each message that passes it on."""


class Verdict(enum.IntEnum):
    """How requests with a feature are treated; the larger one prevails."""

    CLEAR = 0
    """They are sent."""

    SUSPECT = 1
    """A few at a time are sent, as trials."""

    QUARANTINED = 2
    """They are refused."""


class Outcome(NamedTuple):
    """What became of one engine under a feature."""

    has_ended: bool
    at: Instant


Outcomes: TypeAlias = Mapping[int, Outcome]
"""Outcomes by the digest of the engine's run."""


def merge_outcomes(known: Outcomes, news: Outcomes) -> dict[int, Outcome]:
    """Return the outcomes of two records, the newest ones.

    An end prevails over a survival, since a run that has ended stays so.
    """
    merged = dict(known)
    for engine, outcome in news.items():
        before = merged.get(engine)
        if before is None or _supersedes(outcome, before):
            merged[engine] = outcome
    if len(merged) <= MAX_OUTCOMES:
        return merged
    newest = sorted(merged.items(), key=lambda item: item[1].at)[-MAX_OUTCOMES:]
    return dict(newest)


def drop_expired(outcomes: Outcomes, now: Instant) -> dict[int, Outcome]:
    """Return the outcomes that still count."""
    return {
        engine: outcome
        for engine, outcome in outcomes.items()
        if now - outcome.at < EVIDENCE_SECONDS
    }


def ended_engines(outcomes: Outcomes) -> set[int]:
    """Return the engines that have ended."""
    return {engine for engine, outcome in outcomes.items() if outcome.has_ended}


def count_survivors(outcomes: Outcomes) -> int:
    """Return how many engines have survived."""
    return sum(not outcome.has_ended for outcome in outcomes.values())


def without_engines(outcomes: Outcomes, engines: Set[int]) -> dict[int, Outcome]:
    """Return the outcomes without the ends of some engines."""
    return {
        engine: outcome
        for engine, outcome in outcomes.items()
        if not (outcome.has_ended and engine in engines)
    }


def needed_ends(other_ends: int) -> int:
    """Return how many ends quarantine a feature.

    Args:
        other_ends: Engines that have lately ended without the feature.
    """
    return MIN_ENDS + min(MAX_EXTRA_ENDS, other_ends // OTHER_ENDS_PER_END)


def count_recent(ends: Iterable[Instant], now: Instant) -> int:
    """Return how many of some ends belong to a wave that still lasts."""
    return sum(now - at < WAVE_SECONDS for at in ends)


def is_implicated(outcomes: Outcomes) -> bool:
    """Return whether engines end under a feature far more often than not."""
    ends = len(ended_engines(outcomes))
    return ends > 0 and ends >= ENDS_PER_SURVIVOR * count_survivors(outcomes)


def quarantined_until(outcomes: Outcomes) -> Instant:
    """Return until when a feature with enough ends is quarantined."""
    ends = [outcome.at for outcome in outcomes.values() if outcome.has_ended]
    doublings = max(0, min(MAX_DOUBLINGS, len(ends) - MIN_ENDS))
    return max(ends) + QUARANTINE_SECONDS * 2.0**doublings


def judge_outcomes(
    outcomes: Outcomes, other_ends: Iterable[Instant], now: Instant
) -> Verdict:
    """Return the verdict on a feature.

    Args:
        outcomes: The record of the feature.
        other_ends: When engines have ended without the feature.
        now: The present instant.
    """
    if not is_implicated(outcomes):
        return Verdict.CLEAR
    needed = needed_ends(count_recent(other_ends, now))
    has_enough = len(ended_engines(outcomes)) >= needed
    if has_enough and now < quarantined_until(outcomes):
        return Verdict.QUARANTINED
    return Verdict.SUSPECT


def _supersedes(news: Outcome, known: Outcome) -> bool:
    if news.has_ended != known.has_ended:
        return news.has_ended
    return news.at > known.at + _CLOCK_TOLERANCE_SECONDS
