"""Orders, reports and the state of a switch that is armed rank by rank."""

import enum
from collections.abc import Sequence
from typing import NamedTuple

from mintsaddle.decisions.expert_maps._maps import ExpertMap
from mintsaddle.values import Instant


class OrderAct(enum.Enum):
    """What a rank's engine is told."""

    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    DISARM = "disarm"
    RELEASE = "release"


class Verdict(enum.Enum):
    """How a rank's engine answered an order."""

    BEGUN = "begun"
    """It has begun what it was told."""

    DONE = "done"
    """It has done what it was told, now or before: which, it doesn't tell."""

    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer: it may have been carried out, or may be later."""


class MapOrder(NamedTuple):
    """One order to one rank."""

    rank: int
    act: OrderAct
    epoch: int

    version: int = 0
    step: int = 0
    layers: tuple[tuple[tuple[int, ...], ...], ...] = ()
    """For prepare: experts by layer and rank."""


class RankReport(NamedTuple):
    """What a rank's engine says of itself."""

    rank: int
    epoch: int
    is_open: bool
    is_busy: bool
    """Whether it is loading weights."""

    step: int
    """The last step that was begun."""

    running: int
    """Requests that it is writing."""

    version: int
    """Version of the map in use."""

    prepared: int | None
    armed: int | None
    """Version that it will switch to."""

    held: int | None
    """Step that doesn't begin before a release."""

    slowness: float = 1.0
    """Times that its work takes; above 1 it holds up the whole group."""

    queued: int = 0
    """Requests that wait for a place."""

    is_fresh: bool = False
    """Whether it tells what holds now; else it may be 0.2 s old."""


def told_versions(reports: Sequence[RankReport]) -> list[int]:
    """Return the versions that ranks use, have prepared or are armed for."""
    return [
        version
        for report in reports
        for version in (report.version, report.prepared or 0, report.armed or 0)
    ]


class SwitchStage(enum.Enum):
    """How far a switch is."""

    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    DISARM = "disarm"
    FENCE = "fence"
    RELEASE = "release"
    DONE = "done"
    FAILED = "failed"
    VOID = "void"
    """The group has formed anew meanwhile."""


OVER = frozenset({SwitchStage.DONE, SwitchStage.FAILED, SwitchStage.VOID})
"""Stages after which no order follows."""


WITHDRAWING = frozenset({SwitchStage.DISARM, SwitchStage.FENCE})
"""Stages in which a switch is taken back."""


class ArmedSwitch(NamedTuple):
    """One switch, as its coordinator sees it."""

    epoch: int
    ranks: int
    old_map: ExpertMap
    new_map: ExpertMap
    stage: SwitchStage
    give_up_at: Instant
    """When the loading of weights is given up."""

    settled: frozenset[int] = frozenset()
    """Ranks that the present stage is through with."""

    refused: frozenset[int] = frozenset()
    """Ranks that refused the last order; a report has to tell why."""

    holder: int = 0
    """Rank at which this coordinator holds the step."""

    holders: frozenset[int] = frozenset()
    """Ranks at which the step is held, by whomever."""

    step: int = 0
    """The step that is held and at which the map changes; 0: to be chosen."""

    holds: int = 0
    """Steps tried so far."""

    is_foreign: bool = False
    """Whether another coordinator began it."""

    doomed: tuple[int, ...] = ()
    """For each rank the version that it has to be disarmed of; 0: none."""

    fence: int = 0
    """Version of the old map that takes the place of the new one."""

    succeeded: bool = False
    """Whether all ranks were armed."""

    @property
    def version(self) -> int:
        """Version of the new map."""
        return self.new_map.version
