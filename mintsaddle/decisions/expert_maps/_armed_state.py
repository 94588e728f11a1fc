"""Orders, reports and state of a map switch that is armed rank by rank."""

import enum
from collections.abc import Sequence
from typing import NamedTuple

from mintsaddle.decisions.expert_maps._maps import ExpertMap
from mintsaddle.values import Instant


class OrderAct(enum.Enum):
    """Operations that a rank's engine can be ordered to perform."""

    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    DISARM = "disarm"
    RELEASE = "release"


class OrderOutcome(enum.Enum):
    """A rank engine's answer to an order."""

    BEGUN = "begun"
    """The operation has been started."""

    DONE = "done"
    """The operation is complete, by this order or by an earlier one."""

    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer; the order may have been carried out or may be later."""


class MapOrder(NamedTuple):
    """An order to one rank."""

    rank: int
    act: OrderAct
    epoch: int

    version: int = 0
    step: int = 0
    layers: tuple[tuple[tuple[int, ...], ...], ...] = ()
    """Experts by layer and rank; only for PREPARE."""


class RankReport(NamedTuple):
    """State reported by a rank's engine."""

    rank: int
    epoch: int
    is_open: bool
    is_busy: bool
    """Whether the engine is loading weights."""

    step: int
    """The last step that has begun."""

    running: int
    """Requests that the engine is generating output for."""

    version: int
    """Version of the map in use."""

    prepared: int | None
    armed: int | None
    """Version that the rank is armed to switch to."""

    held: int | None
    """Step that doesn't begin until it is released."""

    slowness: float = 1.0
    """Factor on the rank's work time; above 1 it delays the whole group."""

    queued: int = 0
    """Requests waiting for a free slot."""

    is_fresh: bool = False
    """Whether the report is current; otherwise it may be 0.2 s old."""


def reported_versions(reports: Sequence[RankReport]) -> list[int]:
    """Return all versions that ranks report as active, prepared or armed."""
    return [
        version
        for report in reports
        for version in (report.version, report.prepared or 0, report.armed or 0)
    ]


class SwitchStage(enum.Enum):
    """Stage of a switch."""

    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    DISARM = "disarm"
    FENCE = "fence"
    RELEASE = "release"
    DONE = "done"
    FAILED = "failed"
    VOID = "void"
    """The group has started a new epoch."""


TERMINAL_STAGES = frozenset({SwitchStage.DONE, SwitchStage.FAILED, SwitchStage.VOID})
"""Stages that send no further orders."""


ROLLBACK_STAGES = frozenset({SwitchStage.DISARM, SwitchStage.FENCE})
"""Stages that roll a switch back."""


class ArmedSwitch(NamedTuple):
    """State of one switch as known to its coordinator."""

    epoch: int
    ranks: int
    old_map: ExpertMap
    new_map: ExpertMap
    stage: SwitchStage
    load_deadline: Instant
    """When the switch fails if weights are still being loaded."""

    completed_ranks: frozenset[int] = frozenset()
    """Ranks that have completed the current stage."""

    refused: frozenset[int] = frozenset()
    """Ranks that refused the last order; the cause is read from a report."""

    hold_rank: int = 0
    """Rank at which this coordinator holds the step."""

    held_ranks: frozenset[int] = frozenset()
    """Ranks at which any coordinator holds the step."""

    step: int = 0
    """Step that is held and at which the map changes; 0 if not yet chosen."""

    hold_attempts: int = 0
    """Hold steps tried so far."""

    is_recovery: bool = False
    """Whether this rolls back a switch of another coordinator."""

    versions_to_disarm: tuple[int, ...] = ()
    """Version to disarm at each rank; 0 if none."""

    fence_version: int = 0
    """Version under which the old map replaces the new one in a rollback."""

    succeeded: bool = False
    """Whether all ranks were armed."""

    @property
    def version(self) -> int:
        """Version of the new map."""
        return self.new_map.version
