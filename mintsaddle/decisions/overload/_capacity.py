"""Admission control for streams by their priority level.

Each level leaves a reserve of slots and of step time to the levels above it.
The only signal is the current load that engines report to probes, which is the
same for all entries. Nothing is learned from refusals, so nothing oscillates.
"""

import random
from collections.abc import Mapping, Sequence
from types import MappingProxyType

from mintsaddle.decisions.direct import (
    DEFAULT_SLOTS,
    FRESH_LIMITS,
    LATE_LIMITS,
    SOLE_ENTRY_SHARE,
    AdmissionLimits,
    DirectCall,
    EngineLoad,
    EntryShare,
    GroupStepTimes,
    Incarnation,
    StepModel,
    are_busy,
    is_late,
    with_slot,
    within_ramp,
)
from mintsaddle.decisions.overload._levels import PriorityLevels
from mintsaddle.decisions.overload._step_bound import bound_requests
from mintsaddle.values import Instant

FRESH_SLOT_SHARES = (FRESH_LIMITS.slot_share, 0.8)
"""Shares of an engine's slots that streams of the first and of the last level
may fill. The first level may queue, and the last leaves a slot of five."""

LATE_SLOT_SHARES = (0.8, 0.4)
"""The same for late streams, which leave slots to all that can be on time."""

MINIMUM_SHARE = 0.25
"""Share of streams below the first level that are admitted like the first, so
that no level starves."""


def max_slot_share(levels: PriorityLevels, level: int, *, late: bool) -> float:
    """Return the share of an engine's slots that a stream's level may fill.

    Args:
        levels: The levels of its service.
        level: The level of the stream.
        late: Whether the stream is late.
    """
    first, last = LATE_SLOT_SHARES if late else FRESH_SLOT_SHARES
    return first - (first - last) * levels.position_of(level)


def step_time_ramp(
    levels: PriorityLevels, level: int, *, late: bool
) -> tuple[float, float]:
    """Return the step times by which a stream's level is admitted.

    The last level is no longer admitted at the step time from which the first
    is refused in part.

    Returns:
        Shares of the route's longest pause up to which all streams are
        admitted, and from which none is.
    """
    all_below, none_above = (LATE_LIMITS if late else FRESH_LIMITS).ramp
    shift = (none_above - all_below) * levels.position_of(level)
    return all_below - shift, none_above - shift


def has_minimum_share(levels: PriorityLevels, level: int, draw: float) -> bool:
    """Return whether a call is admitted like calls of the first level.

    Args:
        levels: The levels of its service.
        level: The level of the call.
        draw: A random number from 0 to 1, drawn once for each call. With one
            for each attempt, a call that waits would get all levels' capacity.
    """
    return levels.clamp(level) > 0 and draw < MINIMUM_SHARE


def within_bound(
    call: DirectCall,
    engines: Sequence[Incarnation],
    loads: Mapping[str, EngineLoad],
    steps: StepModel,
    skews: Mapping[str, float],
    share: float,
    draw: float,
) -> list[Incarnation]:
    """Return the engines that hold fewer requests than their predicted bound.

    Args:
        call: The stream.
        engines: Engines that have a slot for it.
        loads: Loads that the probed engines reported, by name.
        steps: The published model of their step times.
        skews: The largest recent skew of each group, if known.
        share: Share of the bound that the stream's level may fill.
        draw: A random number from 0 to 1. A bound between two numbers of
            requests admits a part of the streams at the lower one.
    """

    def is_within(engine: Incarnation) -> bool:
        slots: float = max(DEFAULT_SLOTS, engine.slots)
        group = engine.assignment.group if engine.assignment else ""
        skew = skews.get(group, 0.0)
        bound = bound_requests(steps, skew, call.route.longest_pause, slots)
        if bound >= slots:
            return True
        return loads[engine.name].requests + draw < max(1.0, bound * share)

    return [engine for engine in engines if is_within(engine)]


def filter_by_level(
    call: DirectCall,
    candidates: list[Incarnation],
    loads: Mapping[str, EngineLoad],
    step_times: GroupStepTimes,
    now: Instant,
    rng: random.Random,
    levels: PriorityLevels,
    level: int,
    steps: StepModel | None = None,
    share: EntryShare = SOLE_ENTRY_SHARE,
    *,
    is_protected: bool = False,
    skews: Mapping[str, float] = MappingProxyType({}),
) -> list[Incarnation]:
    """Return the probed engines that a stream of a level may be sent to.

    With the same loads and the same random number, engines that admit a level
    also admit the levels above it.

    Args:
        call: The stream.
        candidates: Engines that accept work, the best one first.
        loads: Loads that the probed engines reported, by name.
        step_times: Step times of their groups.
        now: The present instant.
        rng: The random number generator.
        levels: The levels of the service.
        level: The level of the stream.
        steps: The published model of their step times, if there is one.
        share: This entry's share of the service's capacity.
        is_protected: Whether the stream belongs to the minimum share. It has
            no effect once the stream is late.
        skews: The largest recent skew of each group, if known.

    Returns:
        All candidates if no engine answered its probe or the response has
        started already.
    """
    probed = [engine for engine in candidates if engine.name in loads]
    if not probed or call.response_started:
        return candidates
    late = is_late(call, now)
    if is_protected and not late:
        level = 0

    def find_with_slot(limits: AdmissionLimits) -> list[Incarnation]:
        return with_slot(call, probed, loads, step_times, now, limits, steps, share)

    limits = AdmissionLimits(
        max_slot_share(levels, level, late=late),
        step_time_ramp(levels, level, late=late),
        late,
    )
    admitted = find_with_slot(limits)
    if steps is not None:
        bound_share = min(1.0, limits.slot_share)
        admitted = within_bound(
            call, admitted, loads, steps, skews, bound_share, rng.random()
        )
    # Engines are busy for all levels or for none. The engines left to a lower
    # level have few requests and would never count as busy.
    if not are_busy(find_with_slot(FRESH_LIMITS), loads):
        return admitted
    return within_ramp(call, admitted, step_times, now, limits, rng.random())
