"""Stateful tests of the map switch under arbitrary interleavings.

A fake group runs in lockstep and records each completed step whose ranks used
different maps. Orders and replies are delayed, duplicated or lost, daemons
restart, two coordinators run concurrently, ranks refuse to stage, and engines
ignore fencing.
"""

from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mintsaddle.decisions.expert_maps import (
    ExpertMap,
    GroupAct,
    GroupOrder,
    OrderDecision,
    RankReading,
    RankReply,
    RankState,
    SwitchPhase,
    SwitchRound,
    _ranks,
    _switch,
    next_orders,
    record_reply,
    start_switch_round,
)
from mintsaddle.decisions.expert_maps._ranks import ORDER_TIMEOUT

RANKS = 3
FIRST = 1


class FakeRank:
    """A rank's engine that carries out all orders and ignores fencing."""

    def __init__(self) -> None:
        self.active = FIRST
        self.staged = 0
        self.previous = 0
        self.limit: int | None = None
        self.entered = 0
        self.completed = 0
        self.entered_map = 0
        self.refuses_staging = False

    def execute(self, order: GroupOrder) -> bool:
        """Carry out an order."""
        match order.act:
            case GroupAct.STAGE:
                if self.refuses_staging:
                    return False
                self.staged = order.version
            case GroupAct.HOLD:
                self.limit = order.limit
            case GroupAct.ACTIVATE:
                return self._activate(order.version)
            case GroupAct.RELEASE:
                self.limit = None
        return True

    def _activate(self, version: int) -> bool:
        if version == self.active:
            return True
        if version not in (self.staged, self.previous):
            return False
        self.active, self.previous = version, self.active
        return True

    def may_enter(self) -> bool:
        """Return whether the next step may be entered."""
        inside = self.entered > self.completed
        return not inside and (self.limit is None or self.entered + 1 < self.limit)

    def read(self) -> RankReading:
        """Return the engine's state."""
        return RankReading(
            self.active,
            self.staged,
            self.previous,
            self.limit is not None,
            self.entered,
            self.completed,
        )


class SwitchMachine(RuleBasedStateMachine):
    """A group with its daemons and up to two coordinators."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.boots = RANKS
        self.engines = [FakeRank() for _ in range(RANKS)]
        self.daemons = [RankState(n + 1, 0.0) for n in range(RANKS)]
        self.rounds: list[SwitchRound | None] = [None, None]
        self.orders: list[GroupOrder] = []
        self.replies: list[RankReply] = []
        self.ballots = 10
        self.mixed_steps: list[tuple[int, list[int]]] = []

    @rule(rank=st.integers(0, RANKS - 1))
    def enter(self, rank: int) -> None:
        """Let a rank enter its next step; the last one completes it."""
        engine = self.engines[rank]
        if not engine.may_enter():
            return
        engine.entered += 1
        engine.entered_map = engine.active
        if len({(e.entered, e.entered > e.completed) for e in self.engines}) > 1:
            return
        maps = [e.entered_map for e in self.engines]
        if len(set(maps)) > 1:
            self.mixed_steps.append((engine.entered, maps))
        for other in self.engines:
            other.completed = other.entered

    @rule()
    def step(self) -> None:
        """Let all ranks enter their next step if they may."""
        for rank in range(RANKS):
            self.enter(rank)

    @rule(which=st.integers(0, 1), wants=st.booleans())
    def start_round(self, which: int, wants: bool) -> None:
        """Start a round that switches maps or only finishes an earlier one."""
        self.ballots += 1
        wanted = ExpertMap(self.ballots, ()) if wants else None
        self.rounds[which] = start_switch_round(self.ballots, RANKS, wanted)

    @rule(which=st.integers(0, 1))
    def send(self, which: int) -> None:
        """Send a coordinator's current orders."""
        current = self.rounds[which]
        if current is not None:
            self.orders.extend(next_orders(current))

    @rule(back=st.integers(0, 8))
    def deliver_order(self, back: int) -> None:
        """Deliver one of the newest orders, possibly delayed or repeated."""
        if back >= len(self.orders):
            return
        order = self.orders[-1 - back]
        daemon = self.daemons[order.rank]
        engine = self.engines[order.rank]
        decision = _ranks.check_order(daemon, order, self.now)
        obeyed = decision is not OrderDecision.REFUSE
        if decision is OrderDecision.OBEY:
            obeyed = engine.execute(order)
        reply = RankReply(order, daemon.boot, daemon.ballot, obeyed, engine.read())
        self.replies.append(reply)

    @rule(back=st.integers(0, 8), which=st.integers(0, 1))
    def deliver_reply(self, back: int, which: int) -> None:
        """Deliver one of the newest replies."""
        current = self.rounds[which]
        if current is not None and back < len(self.replies):
            record_reply(current, self.replies[-1 - back])

    @rule(
        which=st.integers(0, 1),
        times=st.integers(1, 4),
        unresponsive=st.sampled_from([None, *range(RANKS)]),
    )
    def exchange(self, which: int, times: int, unresponsive: int | None) -> None:
        """Exchange orders and replies with all but one unresponsive rank."""
        current = self.rounds[which]
        for _ in range(times):
            for order in next_orders(current) if current else ():
                if order.rank == unresponsive:
                    continue
                self.orders.append(order)
                self.deliver_order(0)
                self.deliver_reply(0, which)

    @rule(rank=st.integers(0, RANKS - 1))
    def restart_daemon(self, rank: int) -> None:
        """Restart a rank's daemon, whose new run has seen no ballot."""
        self.boots += 1
        self.daemons[rank] = RankState(self.boots, self.now)

    @rule(rank=st.integers(0, RANKS - 1), refuses=st.booleans())
    def set_staging_refusal(self, rank: int, refuses: bool) -> None:
        """Set whether a rank lacks the memory for staging."""
        self.engines[rank].refuses_staging = refuses

    @rule()
    def wait(self) -> None:
        """Wait until orders of earlier daemon runs can't take effect."""
        self.now += ORDER_TIMEOUT + 0.1

    @invariant()
    def one_map_in_each_step(self) -> None:
        """Check that no completed step mixed two maps."""
        assert not self.mixed_steps, f"steps mixed maps: {self.mixed_steps}"

    def teardown(self) -> None:
        """Check that the group recovers to one map and resumes stepping."""
        for engine in self.engines:
            engine.refuses_staging = False
        self.wait()
        self.start_round(0, False)
        for _ in range(40):
            self.step()
            self.exchange(0, 1, None)
        before = self.engines[0].completed
        self.step()
        shown = [engine.read() for engine in self.engines]
        assert len({engine.active for engine in self.engines}) == 1, shown
        assert all(engine.limit is None for engine in self.engines), shown
        assert self.engines[0].completed > before, shown
        assert not self.mixed_steps


def run_machine(examples: int, steps: int) -> None:
    """Run the state machine with reproducible examples."""
    run_state_machine_as_test(
        SwitchMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
        ),
    )


def rank_inside_a_step() -> SwitchMachine:
    """A step mixes two maps.

    Rank 0 is inside step 1, waiting for the others, when all ranks are held.
    The new map is activated on all ranks, and the others enter step 1 with it.
    """
    machine = SwitchMachine()
    machine.enter(0)
    machine.start_round(0, True)
    machine.exchange(0, 3, None)
    for _ in range(12):
        machine.exchange(0, 1, None)
        machine.step()
    return machine


def frozen_coordinator_resumes() -> SwitchMachine:
    """A step mixes two maps.

    A coordinator freezes while its order to activate map 11 is in transit to
    rank 1. Another coordinator finishes that switch and performs the next one.
    The old order arrives when all ranks have map 12.
    """
    return _late_activation(restarts=False)


def restarted_daemon_has_no_ballot() -> SwitchMachine:
    """A step mixes two maps.

    The same delayed order reaches a new run of rank 1's daemon, which has
    seen no ballot yet.
    """
    return _late_activation(restarts=True)


def _late_activation(*, restarts: bool) -> SwitchMachine:
    machine = SwitchMachine()
    machine.start_round(0, True)
    machine.exchange(0, 4, None)
    machine.exchange(0, 4, None)
    late = [o for o in machine.orders if o.act is GroupAct.ACTIVATE and o.rank == 1]
    machine.start_round(1, True)
    _exchange_until(machine, 1, SwitchPhase.RELEASING)
    if restarts:
        machine.restart_daemon(1)
        machine.wait()
    machine.orders.append(late[0])
    machine.deliver_order(0)
    for _ in range(12):
        machine.exchange(1, 1, None)
        machine.step()
    return machine


def _exchange_until(machine: SwitchMachine, which: int, phase: SwitchPhase) -> None:
    current = machine.rounds[which]
    assert current is not None
    for _ in range(12):
        if current.phase is phase:
            return
        machine.exchange(which, 1, None)


def _skip_alignment(state: SwitchRound) -> None:
    if state.phase is SwitchPhase.READING:
        _switch._choose_target(state)
        return
    following = dict(_switch._NEXT_PHASE)
    following[SwitchPhase.HOLDING] = SwitchPhase.ACTIVATING
    state.enter_phase(following[state.phase])


def _obey_all(state: RankState, order: GroupOrder, now: float) -> OrderDecision:
    if order.act is GroupAct.READ:
        return OrderDecision.READ
    return OrderDecision.OBEY


def _obey_any_run(state: RankState, order: GroupOrder, now: float) -> OrderDecision:
    if (order.ballot, order.sequence) < (state.ballot, state.sequence):
        return OrderDecision.REFUSE
    return _obey_all(state, order, now)


SCENARIOS: list[tuple[Callable[[], SwitchMachine], Any, str, Callable[..., Any]]] = [
    (rank_inside_a_step, _switch, "_advance", _skip_alignment),
    (frozen_coordinator_resumes, _ranks, "check_order", _obey_all),
    (restarted_daemon_has_no_ballot, _ranks, "check_order", _obey_any_run),
]


class TestSwitch:
    def test_no_step_mixes_maps(self) -> None:
        run_machine(250, 40)

    def test_quiet_switch(self) -> None:
        machine = SwitchMachine()
        machine.start_round(0, True)
        machine.exchange(0, 8, None)
        assert [engine.active for engine in machine.engines] == [11, 11, 11]
        assert [engine.limit for engine in machine.engines] == [None] * RANKS

    def test_rank_out_of_memory_leaves_the_old_map(self) -> None:
        """A rank can't stage the new map; the group continues with the old."""
        machine = SwitchMachine()
        machine.set_staging_refusal(1, True)
        machine.start_round(0, True)
        machine.exchange(0, 8, None)
        assert [engine.active for engine in machine.engines] == [FIRST] * RANKS
        current = machine.rounds[0]
        assert current is not None
        assert (current.phase, current.failed) == (SwitchPhase.DONE, True)

    def test_lost_coordinator_is_finished_by_another(self) -> None:
        machine = SwitchMachine()
        machine.start_round(0, True)
        _exchange_until(machine, 0, SwitchPhase.ACTIVATING)
        machine.exchange(0, 1, 2)
        machine.start_round(1, False)
        machine.exchange(1, 8, None)
        assert {engine.active for engine in machine.engines} == {11}

    @pytest.mark.parametrize(("scenario", "module", "name", "guard"), SCENARIOS)
    def test_guard_is_needed(
        self,
        scenario: Callable[[], SwitchMachine],
        module: Any,
        name: str,
        guard: Callable[..., Any],
    ) -> None:
        assert not scenario().mixed_steps, scenario.__doc__
        with patch.object(module, name, guard):
            assert scenario().mixed_steps, f"without {name} the scenario must mix maps"
