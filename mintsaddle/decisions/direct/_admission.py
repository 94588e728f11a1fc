"""Which of the probed engines of a rank group a stream may be sent to."""

import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from mintsaddle.decisions.direct._calls import DirectCall
from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.direct._first_map import (
    EntryShare,
    estimate_skew,
    sustainable_requests,
)
from mintsaddle.decisions.direct._pace import (
    FRESH_STREAM_RAMP,
    LATE_STREAM_RAMP,
    SOLE_ENTRY_SHARE,
    EngineLoad,
    GroupStepTimes,
    ramp_share,
)
from mintsaddle.decisions.direct._placement import DEFAULT_SLOTS
from mintsaddle.decisions.direct._table import StepModel
from mintsaddle.decisions.direct._urgency import is_late
from mintsaddle.values import Instant

LATE_SLOT_SHARE = 0.6
"""Share of an engine's slots that late streams may fill. The others are kept
for streams that can still be on time, which would queue behind late ones."""

MIN_BUSY_SHARE = 2 / 3
"""Share of the slots that must be taken before streams are refused for long
steps. An outdated expert map makes the steps of a group long even while it
has free slots."""

MAX_QUEUED_PER_SLOT = 0.2
"""Requests that may queue at an engine per slot. A stream behind more than
one or two others gets its first event too late."""


class AdmissionLimits(NamedTuple):
    """Up to which load a stream is admitted."""

    slot_share: float
    """Requests at an engine, as a share of its slots, below which it is
    admitted."""

    ramp: tuple[float, float]
    """Step times, as shares of the route's longest pause, up to which it is
    admitted always and from which it never is."""

    late: bool

    @property
    def sustainable_share(self) -> float:
        """Share of the requests that an engine serves on time.

        Without slots to spare no stream may queue, as the queued one and those
        that run would be late.
        """
        return min(1.0, self.slot_share)


FRESH_LIMITS = AdmissionLimits(1.0 + MAX_QUEUED_PER_SLOT, FRESH_STREAM_RAMP, False)
LATE_LIMITS = AdmissionLimits(LATE_SLOT_SHARE, LATE_STREAM_RAMP, True)


def filter_admissible(
    call: DirectCall,
    candidates: list[Incarnation],
    loads: Mapping[str, EngineLoad],
    step_times: GroupStepTimes,
    now: Instant,
    rng: random.Random,
    steps: StepModel | None = None,
    share: EntryShare = SOLE_ENTRY_SHARE,
) -> list[Incarnation]:
    """Return the probed engines that a stream may be sent to.

    If no engine answered its probe, or the response has started already, all
    candidates are returned.

    Args:
        call: The stream.
        candidates: Engines that accept work, the best one first.
        loads: Loads that the probed engines reported, by name.
        step_times: Step times of their groups.
        now: The present instant.
        rng: The random number generator.
        steps: The published model of their step times, if there is one.
        share: This entry's share of the service's capacity.
    """
    probed = [engine for engine in candidates if engine.name in loads]
    if not probed or call.response_started:
        return candidates
    limits = LATE_LIMITS if is_late(call, now) else FRESH_LIMITS
    probed = with_slot(call, probed, loads, step_times, now, limits, steps, share)
    if not are_busy(probed, loads):
        return probed
    return within_ramp(call, probed, step_times, now, limits, rng.random())


def with_slot(
    call: DirectCall,
    probed: Sequence[Incarnation],
    loads: Mapping[str, EngineLoad],
    step_times: GroupStepTimes,
    now: Instant,
    limits: AdmissionLimits,
    steps: StepModel | None,
    share: EntryShare,
) -> list[Incarnation]:
    """Return the probed engines whose requests are within the limits.

    An engine without requests is within all limits, unless this entry has used
    up its share while the group has its first map.
    """
    requests = [load.requests for load in loads.values()]

    def has_slot(engine: Incarnation) -> bool:
        slots: float = max(DEFAULT_SLOTS, engine.slots)
        load = loads[engine.name]
        if load.has_first_map and steps is not None and engine.assignment is not None:
            seconds = step_times.step_seconds(engine.assignment.group, now)
            skew = estimate_skew(steps, seconds, requests)
            pause = call.route.longest_pause
            slots = limits.sustainable_share * sustainable_requests(
                steps, skew, pause, int(slots)
            )
            if share.is_exhausted(slots, late=limits.late):
                return False
        else:
            slots *= limits.slot_share
        return load.requests < max(1.0, slots)

    return [engine for engine in probed if has_slot(engine)]


def are_busy(engines: Sequence[Incarnation], loads: Mapping[str, EngineLoad]) -> bool:
    """Return whether streams may be refused for long steps."""
    slots = sum(max(DEFAULT_SLOTS, engine.slots) for engine in engines)
    taken = sum(loads[engine.name].requests for engine in engines)
    return taken >= slots * MIN_BUSY_SHARE


def within_ramp(
    call: DirectCall,
    engines: Sequence[Incarnation],
    step_times: GroupStepTimes,
    now: Instant,
    limits: AdmissionLimits,
    draw: float,
) -> list[Incarnation]:
    """Return the engines whose groups admit a stream by their step times.

    Args:
        call: The stream.
        engines: The engines that have a slot for it.
        step_times: Step times of their groups.
        now: The present instant.
        limits: The limits of the stream.
        draw: A random number from 0 to 1, below which a share admits.
    """

    def is_admitted(engine: Incarnation) -> bool:
        if engine.assignment is None:
            return False
        step_seconds = step_times.step_seconds(engine.assignment.group, now)
        return draw < ramp_share(step_seconds, call.route.longest_pause, limits.ramp)

    return [engine for engine in engines if is_admitted(engine)]
