"""The switch of a rank group under every interleaving that may happen.

A fake group steps in lock-step and checks each completed step's maps itself.
Orders and answers come late, doubled or never; daemons restart; two
coordinators work at once; a rank refuses to stage; engines ignore fencing.
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
    start_round,
)
from mintsaddle.decisions.expert_maps._ranks import ORDER_TIMEOUT

RANKS = 3
FIRST = 1


class FakeRank:
    """One rank's engine; it obeys whatever it is told, fenced or not."""

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
        """Carry an order out."""
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
        """Return where it stands."""
        return RankReading(
            self.active,
            self.staged,
            self.previous,
            self.limit is not None,
            self.entered,
            self.completed,
        )


class SwitchMachine(RuleBasedStateMachine):
    """A group, its daemons and up to two coordinators."""

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
        """Let all ranks step on as far as they may."""
        for rank in range(RANKS):
            self.enter(rank)

    @rule(which=st.integers(0, 1), wants=st.booleans())
    def start_round(self, which: int, wants: bool) -> None:
        """Start a coordinator's round, to a new map or only to mend."""
        self.ballots += 1
        wanted = ExpertMap(self.ballots, ()) if wants else None
        self.rounds[which] = start_round(self.ballots, RANKS, wanted)

    @rule(which=st.integers(0, 1))
    def send(self, which: int) -> None:
        """Put a coordinator's orders on their way."""
        current = self.rounds[which]
        if current is not None:
            self.orders.extend(next_orders(current))

    @rule(back=st.integers(0, 8))
    def deliver_order(self, back: int) -> None:
        """Deliver one of the newest orders, maybe again, maybe much later."""
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
        """Deliver one of the newest answers."""
        current = self.rounds[which]
        if current is not None and back < len(self.replies):
            record_reply(current, self.replies[-1 - back])

    @rule(
        which=st.integers(0, 1),
        times=st.integers(1, 4),
        silent=st.sampled_from([None, *range(RANKS)]),
    )
    def exchange(self, which: int, times: int, silent: int | None) -> None:
        """Let a coordinator talk with all ranks but one for a while."""
        current = self.rounds[which]
        for _ in range(times):
            for order in next_orders(current) if current else ():
                if order.rank == silent:
                    continue
                self.orders.append(order)
                self.deliver_order(0)
                self.deliver_reply(0, which)

    @rule(rank=st.integers(0, RANKS - 1))
    def restart_daemon(self, rank: int) -> None:
        """Kill a rank's daemon; its next run has seen no ballot."""
        self.boots += 1
        self.daemons[rank] = RankState(self.boots, self.now)

    @rule(rank=st.integers(0, RANKS - 1), refuses=st.booleans())
    def set_staging_refusal(self, rank: int, refuses: bool) -> None:
        """Let a rank run out of memory for staging, or recover."""
        self.engines[rank].refuses_staging = refuses

    @rule()
    def wait(self) -> None:
        """Let orders of runs that are over lose their effect."""
        self.now += ORDER_TIMEOUT + 0.1

    @invariant()
    def one_map_in_each_step(self) -> None:
        """No completed step mixed two maps."""
        assert not self.mixed_steps, f"steps mixed maps: {self.mixed_steps}"

    def teardown(self) -> None:
        """Once all is well again, the group ends on one map and steps on."""
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
    """Run the machine."""
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

    Rank 0 is inside step 1, waiting for the others, when all are held. The
    new map is activated everywhere, and the others enter step 1 with it.
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

    A coordinator is frozen while its order to activate map 11 is on the way
    to rank 1. Another one finishes that switch and makes the next one; when
    all have map 12, the old order comes.
    """
    return _late_activation(restarts=False)


def restarted_daemon_has_no_ballot() -> SwitchMachine:
    """A step mixes two maps.

    The same late order comes to a new run of rank 1's daemon, which has seen
    no ballot at all.
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
        """A rank can't stage the new map; the group steps on with the old."""
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
            assert scenario().mixed_steps, (
                f"without {name} the scenario should go wrong"
            )
