"""Beginning a switch of a group's map, and withdrawing one that was left.

What follows from either, order by order, stands in ``_armed_switch``.
"""

import random
from collections.abc import Sequence

from mintsaddle.decisions.expert_maps._armed_state import (
    ArmedSwitch,
    RankReport,
    SwitchStage,
    told_versions,
)
from mintsaddle.decisions.expert_maps._maps import ExpertMap
from mintsaddle.values import Instant

COPY_TIMEOUT = 8.0
"""Seconds for all ranks to load: 12 weights of 0.14 s each take 1.7 s, and an
order that is carried out late does so within a few seconds."""

VERSION_DRAWS = 1_000_000
"""Versions to draw from; with a few coordinators at a time two draw the same
one in less than one of 100,000 cases."""


def draw_version(
    reports: Sequence[RankReport], rng: random.Random, above: int = 0
) -> int:
    """Return a version above all that are known, drawn by chance.

    Guards against two coordinators with the same version, as after a power cut
    when no entry knows the others yet. Each would take what the other one has
    prepared and armed for its own, and whichever withdraws would disarm ranks
    of a switch that the other one is about to release: a step then begins with
    two maps.

    Args:
        reports: A report of every rank.
        rng: The source of chance.
        above: The last version that this coordinator drew for the group. Ranks
            refuse versions that they have had, and reports tell present ones
            only: without it each further try would be refused like the first.
    """
    highest = max(above, *told_versions(reports))
    generation = highest // VERSION_DRAWS + 1
    return generation * VERSION_DRAWS + rng.randrange(VERSION_DRAWS - 1)


def begin_switch(
    old_map: ExpertMap, new_map: ExpertMap, reports: Sequence[RankReport], now: Instant
) -> ArmedSwitch:
    """Return a switch to a new map.

    Args:
        old_map: The map in use.
        new_map: The map to use; its version is higher than all that ranks had.
        reports: A report of every rank, in order.
        now: The present instant.
    """
    return ArmedSwitch(
        epoch=reports[0].epoch,
        ranks=len(reports),
        old_map=old_map,
        new_map=new_map,
        stage=SwitchStage.PREPARE,
        give_up_at=now + COPY_TIMEOUT,
        holder=new_map.version % len(reports),
        doomed=(new_map.version,) * len(reports),
        fence=new_map.version + 1,
    )


def withdraw_held(
    old_map: ExpertMap,
    reports: Sequence[RankReport],
    now: Instant,
    rng: random.Random,
) -> ArmedSwitch | None:
    """Return the withdrawal of a switch whose coordinator has gone.

    None if no step is held, or if the group doesn't stand before the held one.
    The latter guards against disarming ranks while the group still moves: they
    may be armed for a step before the held one, and it would begin with two
    maps. Where it stands, nothing armed can come into use.

    Args:
        old_map: The map in use.
        reports: A report of every rank, in order.
        now: The present instant.
        rng: Draws the rank for the own hold: two withdrawals that hold at the
            same one can't tell their holds apart, and each releases both.
    """
    held = [report for report in reports if report.held is not None]
    if not held:
        return None
    step = min(report.held for report in held if report.held is not None)
    if any(report.step + 1 != step for report in reports):
        return None
    told = told_versions(reports)
    free = [report.rank for report in reports if report.held is None]
    return ArmedSwitch(
        epoch=held[0].epoch,
        ranks=len(reports),
        old_map=old_map,
        new_map=ExpertMap(max(told), ()),
        stage=SwitchStage.HOLD,
        give_up_at=now + COPY_TIMEOUT,
        holder=rng.choice(free) if free else 0,
        holders=frozenset(report.rank for report in held if report.held == step),
        step=step,
        is_foreign=True,
        doomed=tuple(report.armed or 0 for report in reports),
        fence=max(told) + 1,
    )
