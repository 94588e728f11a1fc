"""State machine that switches a group's map without mixing maps in a step.

The ranks run in lock-step, so holding one rank holds all. The map is staged on
all ranks in the background. Then all ranks are held, and once all have stopped
before the same step, the map is activated and read back. The ranks are
released only when all of them have it active. No step can run until the last
rank is released.

A rank may already be *inside* step T, waiting for the others, when another
rank is held before T. Activating the map then would mix maps in T. So the
first hold names no step. The readings show the last step T that any rank has
entered; ranks before T are allowed to run it with the old map, and the new map
is activated only when all ranks have stopped before T + 1.

Every order carries a ballot and identifies the run of the rank's daemon that
it is addressed to. A later round first reads every rank. It continues with the
newest map that any rank has activated, since that map was staged on all ranks;
if there is none, the old map stays. No rank is released before all ranks have
answered in the same round, so two concurrent coordinators only slow each other
down.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.decisions.expert_maps._maps import ExpertMap
from mintsaddle.values import Boot


class GroupAct(enum.Enum):
    """Operations that a rank can be ordered to perform."""

    READ = "read"
    """Report the state of the engine."""

    STAGE = "stage"
    """Load a map's weights in addition to the active ones."""

    HOLD = "hold"
    """Enter no step from `limit` on; with 0, enter no step at all."""

    ACTIVATE = "activate"
    """Make a staged or previous map active."""

    RELEASE = "release"
    """Resume stepping."""


class GroupOrder(NamedTuple):
    """An order to the daemon of one rank."""

    ballot: int
    sequence: int
    """Phases entered in the round; orders of earlier phases are refused."""

    rank: int
    boot: Boot
    """Run of the rank's daemon that is addressed; 0 for a reading."""

    act: GroupAct
    version: int = 0
    """The map to stage or to activate."""

    limit: int = 0
    """First step that a hold prevents."""


class RankReading(NamedTuple):
    """State read back from a rank's engine."""

    active: int
    """Version of the active map."""

    staged: int
    """Version of the staged map; 0 if none."""

    previous: int
    """Previously active version that is kept; 0 if none."""

    held: bool
    entered: int
    """The last step that the rank has entered."""

    completed: int
    """The last step that the rank has completed."""


class RankReply(NamedTuple):
    """A rank's answer to an order."""

    order: GroupOrder
    boot: Boot
    """Run of the rank's daemon that answers."""

    ballot: int
    """The highest ballot that the daemon has seen."""

    obeyed: bool
    """Whether the order was carried out, as read back."""

    reading: RankReading | None
    """None if the engine didn't answer."""


class SwitchPhase(enum.Enum):
    """Phase of a round."""

    READING = "reading"
    STAGING = "staging"
    HOLDING = "holding"
    ALIGNING = "aligning"
    ACTIVATING = "activating"
    RELEASING = "releasing"
    DONE = "done"
    LOST = "lost"
    """Preempted by a higher ballot."""


_NEXT_PHASE = {
    SwitchPhase.READING: SwitchPhase.STAGING,
    SwitchPhase.STAGING: SwitchPhase.HOLDING,
    SwitchPhase.HOLDING: SwitchPhase.ALIGNING,
    SwitchPhase.ALIGNING: SwitchPhase.ACTIVATING,
    SwitchPhase.ACTIVATING: SwitchPhase.RELEASING,
    SwitchPhase.RELEASING: SwitchPhase.DONE,
}


class SwitchRound:
    """State of one round of a coordinator."""

    def __init__(self, ballot: int, ranks: int, wanted: ExpertMap | None) -> None:
        self._ballot = ballot
        self._ranks = ranks
        self._wanted = wanted.version if wanted else 0
        self._target = 0
        self._phase = SwitchPhase.READING
        self._sequence = 1
        self._boots: dict[int, Boot] = {}
        self._readings: dict[int, RankReading] = {}
        self._answered: set[int] = set()
        self._limit = 0
        self._failed = False

    @property
    def ballot(self) -> int:
        """Ballot of the round."""
        return self._ballot

    @property
    def ranks(self) -> int:
        """Number of ranks in the group."""
        return self._ranks

    @property
    def wanted(self) -> int:
        """Requested version; 0 to only finish an interrupted round."""
        return self._wanted

    @property
    def target(self) -> int:
        """The version to activate on all ranks."""
        return self._target

    @property
    def phase(self) -> SwitchPhase:
        """Current phase."""
        return self._phase

    @property
    def sequence(self) -> int:
        """Number of phases entered so far."""
        return self._sequence

    @property
    def limit(self) -> int:
        """First step that no rank may enter."""
        return self._limit

    @property
    def boots(self) -> Mapping[int, Boot]:
        """Run of each rank's daemon, as last read."""
        return self._boots

    @property
    def readings(self) -> Mapping[int, RankReading]:
        """The last reading of each rank."""
        return self._readings

    @property
    def answered(self) -> frozenset[int]:
        """Ranks that have completed the current phase."""
        return frozenset(self._answered)

    @property
    def failed(self) -> bool:
        """Whether this round abandoned the requested map."""
        return self._failed

    def record_reading(self, rank: int, boot: Boot, reading: RankReading) -> None:
        """Record the state of a rank."""
        self._boots[rank] = boot
        self._readings[rank] = reading

    def mark_answered(self, rank: int) -> None:
        """Record that a rank has completed the current phase."""
        self._answered.add(rank)

    def enter_phase(self, phase: SwitchPhase) -> None:
        """Enter a phase; no rank has completed it yet."""
        self._phase = phase
        self._sequence += 1
        self._answered = set()

    def set_target(self, target: int) -> None:
        """Set the version to activate on all ranks."""
        self._target = target

    def fall_back_to(self, target: int) -> None:
        """Abandon the requested map for one that all ranks still have."""
        self._failed = True
        self._target = target

    def set_limit(self, limit: int) -> None:
        """Set the first step that no rank may enter."""
        self._limit = limit


def start_switch_round(
    ballot: int, ranks: int, wanted: ExpertMap | None
) -> SwitchRound:
    """Start a round that switches maps or finishes an interrupted round."""
    return SwitchRound(ballot, ranks, wanted)


def next_orders(state: SwitchRound) -> tuple[GroupOrder, ...]:
    """Return the orders for all ranks that haven't completed the phase."""
    return tuple(
        _make_order(state, rank)
        for rank in range(state.ranks)
        if rank not in state.answered
        and state.phase not in (SwitchPhase.DONE, SwitchPhase.LOST)
    )


def record_reply(state: SwitchRound, reply: RankReply) -> None:
    """Process a reply; late replies to other phases or rounds are ignored."""
    if reply.ballot > state.ballot:
        state.enter_phase(SwitchPhase.LOST)
        return
    rank = reply.order.rank
    if reply.order != _make_order(state, rank) or rank in state.answered:
        return
    if state.phase is not SwitchPhase.READING and reply.boot != state.boots[rank]:
        # The rank's daemon has restarted and lost its orders, so the round
        # starts over. That is safe, since ranks are released only after all
        # have answered.
        state.enter_phase(SwitchPhase.READING)
        return
    if reply.reading is None:
        return
    if not reply.obeyed and state.phase is not SwitchPhase.READING:
        _handle_refusal(state)
        return
    state.record_reading(rank, reply.boot, reply.reading)
    if not _has_completed_phase(state, reply.reading):
        return
    state.mark_answered(rank)
    if len(state.answered) == state.ranks:
        _advance(state)


def _make_order(state: SwitchRound, rank: int) -> GroupOrder:
    boot = state.boots.get(rank, 0)
    order = GroupOrder(state.ballot, state.sequence, rank, boot, GroupAct.READ)
    match state.phase:
        case SwitchPhase.STAGING:
            if _has_map(state.readings[rank], state.target):
                return order
            return order._replace(act=GroupAct.STAGE, version=state.target)
        case SwitchPhase.HOLDING:
            return order._replace(act=GroupAct.HOLD)
        case SwitchPhase.ALIGNING:
            return order._replace(act=GroupAct.HOLD, limit=state.limit)
        case SwitchPhase.ACTIVATING:
            return order._replace(act=GroupAct.ACTIVATE, version=state.target)
        case SwitchPhase.RELEASING:
            return order._replace(act=GroupAct.RELEASE)
    return order._replace(boot=0)


def _has_completed_phase(state: SwitchRound, reading: RankReading) -> bool:
    match state.phase:
        case SwitchPhase.STAGING:
            return _has_map(reading, state.target)
        case SwitchPhase.HOLDING:
            return reading.held
        case SwitchPhase.ALIGNING:
            return reading.held and reading.completed == state.limit - 1
        case SwitchPhase.ACTIVATING:
            return reading.held and reading.active == state.target
        case SwitchPhase.RELEASING:
            return not reading.held
    return True


def _has_map(reading: RankReading, version: int) -> bool:
    return version in (reading.active, reading.staged, reading.previous)


def _advance(state: SwitchRound) -> None:
    phase = state.phase
    if phase is SwitchPhase.READING:
        _choose_target(state)
        return
    if phase is SwitchPhase.HOLDING:
        entered = max(reading.entered for reading in state.readings.values())
        state.set_limit(entered + 1)
    state.enter_phase(_NEXT_PHASE[phase])


def _choose_target(state: SwitchRound) -> None:
    """Choose the version to activate after all ranks were read."""
    active = {reading.active for reading in state.readings.values()}
    held = any(reading.held for reading in state.readings.values())
    if len(active) > 1:
        state.set_target(max(active))
    elif state.wanted and not state.failed:
        state.set_target(state.wanted)
    else:
        state.set_target(max(active))
        if not held:
            state.enter_phase(SwitchPhase.DONE)
            return
    state.enter_phase(SwitchPhase.STAGING)


def _handle_refusal(state: SwitchRound) -> None:
    """Fall back to a common map when a rank can't stage or activate."""
    readings = state.readings.values()
    common = [
        version
        for version in sorted({reading.active for reading in readings}, reverse=True)
        if version != state.target
        and all(_has_map(reading, version) for reading in readings)
    ]
    if common and state.phase is SwitchPhase.STAGING:
        state.fall_back_to(common[0])
        state.enter_phase(SwitchPhase.READING)
    elif common and state.phase is SwitchPhase.ACTIVATING:
        state.fall_back_to(common[0])
        state.enter_phase(SwitchPhase.ACTIVATING)
