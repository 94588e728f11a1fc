"""Starts a switch of a group's map, or the rollback of an abandoned one.

The orders that follow are determined by ``_armed_switch``.
"""

import random
from collections.abc import Sequence

from mintsaddle.decisions.expert_maps._armed_state import (
    ArmedSwitch,
    RankReport,
    SwitchStage,
    reported_versions,
)
from mintsaddle.decisions.expert_maps._maps import ExpertMap
from mintsaddle.values import Instant

LOAD_TIMEOUT = 8.0
"""Seconds for all ranks to load weights: 12 weights of 0.14 s each take 1.7 s,
and a delayed order is carried out within a few seconds."""

VERSIONS_PER_GENERATION = 1_000_000
"""Size of the range to draw from; with a few concurrent coordinators, two draw
the same version in fewer than one of 100,000 cases."""


def draw_version(
    reports: Sequence[RankReport], rng: random.Random, above: int = 0
) -> int:
    """Return a random version above all known ones.

    Guards against two coordinators that use the same version, as after a power
    cut when no entry knows the others yet. Each would mistake what the other
    has prepared and armed for its own. If one rolled back, it would disarm
    ranks of a switch that the other is about to release, and a step would
    begin with two maps.

    Args:
        reports: A report of every rank.
        rng: Random number generator.
        above: The last version that this coordinator drew for the group. Ranks
            refuse versions that they have had before, but report current ones
            only; without this bound every retry would be refused as well.
    """
    highest = max(above, *reported_versions(reports))
    generation = highest // VERSIONS_PER_GENERATION + 1
    return generation * VERSIONS_PER_GENERATION + rng.randrange(
        VERSIONS_PER_GENERATION - 1
    )


def begin_switch(
    old_map: ExpertMap, new_map: ExpertMap, reports: Sequence[RankReport], now: Instant
) -> ArmedSwitch:
    """Return a new switch in its first stage.

    Args:
        old_map: The active map.
        new_map: The map to activate. Its version must be higher than any that
            the ranks have had.
        reports: A report of every rank, in order.
        now: The current instant.
    """
    return ArmedSwitch(
        epoch=reports[0].epoch,
        ranks=len(reports),
        old_map=old_map,
        new_map=new_map,
        stage=SwitchStage.PREPARE,
        load_deadline=now + LOAD_TIMEOUT,
        hold_rank=new_map.version % len(reports),
        versions_to_disarm=(new_map.version,) * len(reports),
        fence_version=new_map.version + 1,
    )


def roll_back_held_switch(
    old_map: ExpertMap,
    reports: Sequence[RankReport],
    now: Instant,
    rng: random.Random,
) -> ArmedSwitch | None:
    """Return the rollback of a switch whose coordinator is gone.

    Returns None if no step is held, or if any rank isn't stopped directly
    before the held step. The second condition guards against disarming ranks
    while the group still runs: they may be armed for an earlier step, which
    would then begin with two maps. Once the group has stopped there, no armed
    map can become active.

    Args:
        old_map: The active map.
        reports: A report of every rank, in order.
        now: The current instant.
        rng: Selects the rank for this rollback's own hold. Two rollbacks that
            hold at the same rank couldn't distinguish their holds, and each
            would release both.
    """
    held = [report for report in reports if report.held is not None]
    if not held:
        return None
    step = min(report.held for report in held if report.held is not None)
    if any(report.step + 1 != step for report in reports):
        return None
    reported = reported_versions(reports)
    free = [report.rank for report in reports if report.held is None]
    return ArmedSwitch(
        epoch=held[0].epoch,
        ranks=len(reports),
        old_map=old_map,
        new_map=ExpertMap(max(reported), ()),
        stage=SwitchStage.HOLD,
        load_deadline=now + LOAD_TIMEOUT,
        hold_rank=rng.choice(free) if free else 0,
        held_ranks=frozenset(report.rank for report in held if report.held == step),
        step=step,
        is_recovery=True,
        versions_to_disarm=tuple(report.armed or 0 for report in reports),
        fence_version=max(reported) + 1,
    )
