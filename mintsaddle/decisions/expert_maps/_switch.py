"""Changing a group's map so that no step ever mixes two maps.

In lock-step, holding one rank holds all. So the map is staged on all ranks in
the background; all are held; when all stand before the same step it is
activated and read back; and only when all have it are they released. Until
the last release no step can run.

A rank may be *inside* step T, waiting for the others, when another one is
held before T. Activating then would mix. So a hold names no step of its own:
the readings tell the last step T that any rank has entered, those before it
are let run T on the old map, and the map is activated only when all stand
before T + 1.

Every order carries a ballot, and the run of the rank's daemon that it is
meant for. A later round first reads every rank. It goes on to the newest map
that any rank has activated, since that one was staged everywhere; with none,
the old map stays. Nothing is ever released before all ranks have answered in
this round, so two coordinators at once are only slow.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.decisions.expert_maps._maps import ExpertMap
from mintsaddle.values import Boot


class GroupAct(enum.Enum):
    """What a rank is to do."""

    READ = "read"
    """Tell where it stands."""

    STAGE = "stage"
    """Load a map's weights beside the active ones."""

    HOLD = "hold"
    """Enter no step from `limit` on; 0 enters none at all."""

    ACTIVATE = "activate"
    """Make a staged or previous map the active one."""

    RELEASE = "release"
    """Step on."""


class GroupOrder(NamedTuple):
    """An order to the daemon of one rank."""

    ballot: int
    sequence: int
    """Counts a round's phases; a late order of an earlier one is refused."""

    rank: int
    boot: Boot
    """The run of the rank's daemon that is meant; 0 for a reading."""

    act: GroupAct
    version: int = 0
    """The map to stage or to activate."""

    limit: int = 0
    """First step that a hold forbids."""


class RankReading(NamedTuple):
    """Where a rank's engine stands."""

    active: int
    """Version of the active map."""

    staged: int
    """Version of the staged map; 0 if none."""

    previous: int
    """Version that was active before and is kept; 0 if none."""

    held: bool
    entered: int
    """The last step that it has entered."""

    completed: int
    """The last step that it has completed."""


class RankReply(NamedTuple):
    """A rank's answer to an order."""

    order: GroupOrder
    boot: Boot
    """The run of the rank's daemon that answers."""

    ballot: int
    """The highest ballot that it has seen."""

    obeyed: bool
    """Whether the order was carried out, as read back."""

    reading: RankReading | None
    """None if the engine didn't answer."""


class SwitchPhase(enum.Enum):
    """How far a round is."""

    READING = "reading"
    STAGING = "staging"
    HOLDING = "holding"
    ALIGNING = "aligning"
    ACTIVATING = "activating"
    RELEASING = "releasing"
    DONE = "done"
    LOST = "lost"
    """A higher ballot was met."""


_NEXT = {
    SwitchPhase.READING: SwitchPhase.STAGING,
    SwitchPhase.STAGING: SwitchPhase.HOLDING,
    SwitchPhase.HOLDING: SwitchPhase.ALIGNING,
    SwitchPhase.ALIGNING: SwitchPhase.ACTIVATING,
    SwitchPhase.ACTIVATING: SwitchPhase.RELEASING,
    SwitchPhase.RELEASING: SwitchPhase.DONE,
}


class SwitchState:
    """One round of one coordinator."""

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
        """The round's ballot."""
        return self._ballot

    @property
    def ranks(self) -> int:
        """Ranks of the group."""
        return self._ranks

    @property
    def wanted(self) -> int:
        """The version that this round would like; 0 to only mend."""
        return self._wanted

    @property
    def target(self) -> int:
        """The version that all ranks are brought to."""
        return self._target

    @property
    def phase(self) -> SwitchPhase:
        """How far it is."""
        return self._phase

    @property
    def sequence(self) -> int:
        """Counts the phases that were entered."""
        return self._sequence

    @property
    def limit(self) -> int:
        """First step that no rank may enter."""
        return self._limit

    @property
    def boots(self) -> Mapping[int, Boot]:
        """The run of each rank's daemon, as read."""
        return self._boots

    @property
    def readings(self) -> Mapping[int, RankReading]:
        """The last reading of each rank."""
        return self._readings

    @property
    def answered(self) -> frozenset[int]:
        """Ranks that are through with this phase."""
        return frozenset(self._answered)

    @property
    def failed(self) -> bool:
        """Whether the wanted map was given up in this round."""
        return self._failed

    def put_reading(self, rank: int, boot: Boot, reading: RankReading) -> None:
        """Remember where a rank stands."""
        self._boots[rank] = boot
        self._readings[rank] = reading

    def mark_answered(self, rank: int) -> None:
        """Note that a rank is through with this phase."""
        self._answered.add(rank)

    def enter(self, phase: SwitchPhase) -> None:
        """Go to a phase in which nobody has answered yet."""
        self._phase = phase
        self._sequence += 1
        self._answered = set()

    def choose(self, target: int) -> None:
        """Set the version that all are brought to."""
        self._target = target

    def give_up_wanted(self, target: int) -> None:
        """Go back to a map that all ranks still have."""
        self._failed = True
        self._target = target

    def forbid_from(self, limit: int) -> None:
        """Set the first step that no rank may enter."""
        self._limit = limit


def start_switch(ballot: int, ranks: int, wanted: ExpertMap | None) -> SwitchState:
    """Begin a round: to a wanted map, or only to mend what a lost one left."""
    return SwitchState(ballot, ranks, wanted)


def next_orders(state: SwitchState) -> tuple[GroupOrder, ...]:
    """Return the orders to send now, to the ranks that aren't through yet."""
    return tuple(
        _make_order(state, rank)
        for rank in range(state.ranks)
        if rank not in state.answered
        and state.phase not in (SwitchPhase.DONE, SwitchPhase.LOST)
    )


def record_reply(state: SwitchState, reply: RankReply) -> None:
    """Take in a reply; a late one of another phase or round is ignored."""
    if reply.ballot > state.ballot:
        state.enter(SwitchPhase.LOST)
        return
    rank = reply.order.rank
    if reply.order != _make_order(state, rank) or rank in state.answered:
        return
    if state.phase is not SwitchPhase.READING and reply.boot != state.boots[rank]:
        # The rank's daemon has restarted: what it was told is forgotten, so
        # the round begins anew. Nothing has been released in it.
        state.enter(SwitchPhase.READING)
        return
    if reply.reading is None:
        return
    if not reply.obeyed and state.phase is not SwitchPhase.READING:
        _meet_refusal(state)
        return
    state.put_reading(rank, reply.boot, reply.reading)
    if not _is_through(state, reply.reading):
        return
    state.mark_answered(rank)
    if len(state.answered) == state.ranks:
        _advance(state)


def _make_order(state: SwitchState, rank: int) -> GroupOrder:
    boot = state.boots.get(rank, 0)
    order = GroupOrder(state.ballot, state.sequence, rank, boot, GroupAct.READ)
    match state.phase:
        case SwitchPhase.STAGING:
            if _has(state.readings[rank], state.target):
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


def _is_through(state: SwitchState, reading: RankReading) -> bool:
    match state.phase:
        case SwitchPhase.STAGING:
            return _has(reading, state.target)
        case SwitchPhase.HOLDING:
            return reading.held
        case SwitchPhase.ALIGNING:
            return reading.held and reading.completed == state.limit - 1
        case SwitchPhase.ACTIVATING:
            return reading.held and reading.active == state.target
        case SwitchPhase.RELEASING:
            return not reading.held
    return True


def _has(reading: RankReading, version: int) -> bool:
    return version in (reading.active, reading.staged, reading.previous)


def _advance(state: SwitchState) -> None:
    phase = state.phase
    if phase is SwitchPhase.READING:
        _choose_target(state)
        return
    if phase is SwitchPhase.HOLDING:
        entered = max(reading.entered for reading in state.readings.values())
        state.forbid_from(entered + 1)
    state.enter(_NEXT[phase])


def _choose_target(state: SwitchState) -> None:
    """Choose what all are brought to, once every rank was read."""
    active = {reading.active for reading in state.readings.values()}
    held = any(reading.held for reading in state.readings.values())
    if len(active) > 1:
        state.choose(max(active))
    elif state.wanted and not state.failed:
        state.choose(state.wanted)
    else:
        state.choose(max(active))
        if not held:
            state.enter(SwitchPhase.DONE)
            return
    state.enter(SwitchPhase.STAGING)


def _meet_refusal(state: SwitchState) -> None:
    """A rank can't stage or activate: go back to a map that all still have."""
    readings = state.readings.values()
    common = [
        version
        for version in sorted({reading.active for reading in readings}, reverse=True)
        if version != state.target
        and all(_has(reading, version) for reading in readings)
    ]
    if common and state.phase is SwitchPhase.STAGING:
        state.give_up_wanted(common[0])
        state.enter(SwitchPhase.READING)
    elif common and state.phase is SwitchPhase.ACTIVATING:
        state.give_up_wanted(common[0])
        state.enter(SwitchPhase.ACTIVATING)
