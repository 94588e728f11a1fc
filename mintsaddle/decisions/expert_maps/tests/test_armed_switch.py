"""Tests the armed switch under lost, delayed and concurrent orders."""

import random
from collections.abc import Callable, Sequence
from typing import TypeAlias

import pytest

from mintsaddle.decisions.expert_maps import (
    TERMINAL_STAGES,
    ArmedSwitch,
    ExpertMap,
    MapOrder,
    OrderAct,
    OrderOutcome,
    RankReport,
    SwitchStage,
    _armed_begin,
    _armed_switch,
    begin_switch,
    choose_step,
    hold_at,
    make_first_map,
    needs_fresh_reports,
    next_map_orders,
    ranks_to_read,
    record_answers,
    record_reports,
    roll_back_held_switch,
)
from mintsaddle.decisions.expert_maps._maps import LayerSlots

Advance: TypeAlias = Callable[[ArmedSwitch, float], ArmedSwitch]

RANKS = 3
FIRST_MAP = make_first_map(0, RANKS, 6, 1, 2)
MAPS = [(((0, 3), (1, 4), (2, 5)),), (((0, 4), (1, 5), (2, 3)),)]
"""The layers that each of the two coordinators switches to."""


class Engine:
    """A rank's engine that behaves as the platform specifies."""

    def __init__(self) -> None:
        self.version = 0
        self.layers = FIRST_MAP.layers
        self.highest = 0
        self.prepared: int | None = None
        self.prepared_layers: tuple[LayerSlots, ...] = ()
        self.armed: tuple[int, int] | None = None
        self.held: int | None = None

    def execute(self, order: MapOrder, epoch: int, step: int) -> OrderOutcome:
        if order.epoch != epoch:
            return OrderOutcome.REFUSED
        # An existing hold and a new one are answered alike.
        match order.act:
            case OrderAct.PREPARE:
                ready = (self.prepared, self.prepared_layers)
                if ready == (order.version, order.layers):
                    return OrderOutcome.DONE
                if order.version <= self.highest or self.armed:
                    return OrderOutcome.REFUSED
                self.highest = self.prepared = order.version
                self.prepared_layers = order.layers
            case OrderAct.HOLD:
                if self.held == order.step:
                    return OrderOutcome.DONE
                if step >= order.step or self.held is not None:
                    return OrderOutcome.REFUSED
                self.held = order.step
            case OrderAct.ARM:
                if self.armed == (order.version, order.step):
                    return OrderOutcome.DONE
                if self.prepared != order.version or step >= order.step:
                    return OrderOutcome.REFUSED
                self.armed = (order.version, order.step)
            case OrderAct.DISARM:
                if self.version == order.version:
                    return OrderOutcome.REFUSED
                if self.armed is None or self.armed[0] != order.version:
                    return OrderOutcome.DONE
                self.armed = None
            case OrderAct.RELEASE:
                if self.held != order.step:
                    return OrderOutcome.REFUSED
                self.held = None
        begun = order.act is OrderAct.PREPARE
        return OrderOutcome.BEGUN if begun else OrderOutcome.DONE


class Group:
    """The engines of a group and the steps that they run together."""

    def __init__(self) -> None:
        self.engines = [Engine() for _ in range(RANKS)]
        self.epoch = 1
        self.step = 1
        self.delayed: list[MapOrder] = []

    def begin_step(self) -> None:
        """Begin the next step unless it is held, and switch armed maps."""
        upcoming = self.step + 1
        if any(engine.held == upcoming for engine in self.engines):
            return
        self.step = upcoming
        for engine in self.engines:
            if engine.armed and engine.armed[1] == upcoming:
                engine.version = engine.armed[0]
                engine.layers = engine.prepared_layers
                engine.armed = None
        maps = {(engine.version, engine.layers) for engine in self.engines}
        assert len(maps) == 1, f"step {upcoming} begins with maps {maps}"

    def start_new_epoch(self) -> None:
        """Start a new epoch with the first map and nothing armed or held."""
        self.epoch += 1
        self.engines = [Engine() for _ in range(RANKS)]

    def execute(self, order: MapOrder) -> OrderOutcome:
        return self.engines[order.rank].execute(order, self.epoch, self.step)

    def report(self, rank: int) -> RankReport:
        engine = self.engines[rank]
        return RankReport(
            rank=rank,
            epoch=self.epoch,
            is_open=True,
            is_busy=False,
            step=self.step,
            running=1,
            version=engine.version,
            prepared=engine.prepared,
            armed=engine.armed[0] if engine.armed else None,
            held=engine.held,
        )


class Simulation:
    """A group, two coordinators and a network, driven by one random seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.group = Group()
        self.switches: list[ArmedSwitch | None] = [None, None]
        # After a power cut each entry assumes that it is the coordinator.
        self.second_coordinator_share = self.rng.choice([0.2, 0.5])
        self.second_begin_probability = self.rng.choice([0.1, 0.5])
        self.loss_probability = self.rng.choice([0.0, 0.1, 0.4])
        self.delay_probability = self.rng.choice([0.0, 0.3])

    def run(self, events: int) -> int:
        """Run some events and return how many switches succeeded."""
        done = 0
        for _ in range(events):
            index = 1 if self.rng.random() < self.second_coordinator_share else 0
            switch = self.switches[index]
            if switch is None or switch.stage in TERMINAL_STAGES:
                self._begin(index)
            else:
                self._advance_switch(index, switch)
            self._inject_faults()
            moved = self.switches[index]
            if moved is not None and moved.stage is SwitchStage.DONE:
                done += 1
                self.switches[index] = None
        return done

    def _begin(self, index: int) -> None:
        reports = [self.group.report(rank) for rank in range(RANKS)]
        held = roll_back_held_switch(FIRST_MAP, reports, 0.0, self.rng)
        if held is not None and self.rng.random() < 0.3:
            self.switches[index] = held
        elif held is None and self.rng.random() < (
            0.5 if index == 0 else self.second_begin_probability
        ):
            version = _armed_begin.draw_version(reports, self.rng)
            new_map = ExpertMap(version, MAPS[index])
            self.switches[index] = begin_switch(FIRST_MAP, new_map, reports, now=0.0)

    def _advance_switch(self, index: int, switch: ArmedSwitch) -> None:
        if switch.stage is SwitchStage.HOLD and not switch.step:
            switch = hold_at(switch, choose_step([self.group.report(0)], 1.0))
        if needs_fresh_reports(switch):
            reports = [self.group.report(rank) for rank in ranks_to_read(switch)]
            switch = record_reports(switch, reports, now=0.0)
        answers = {order: self._send(order) for order in next_map_orders(switch)}
        switch = record_answers(switch, answers, now=0.0)
        if {OrderOutcome.UNKNOWN, OrderOutcome.REFUSED} & set(answers.values()) or (
            not answers or switch.stage is SwitchStage.PREPARE
        ):
            reports = [self.group.report(rank) for rank in ranks_to_read(switch)]
            switch = record_reports(switch, reports, now=0.0)
        self.switches[index] = switch

    def _send(self, order: MapOrder) -> OrderOutcome:
        """Send an order, which may be lost, delayed or left unanswered."""
        if self.rng.random() >= self.loss_probability:
            return self.group.execute(order)
        roll = self.rng.random()
        if roll < self.delay_probability:
            self.group.delayed.append(order)
        elif roll < 0.7:
            self.group.execute(order)
        return OrderOutcome.UNKNOWN

    def _inject_faults(self) -> None:
        if self.group.delayed and self.rng.random() < 0.1:
            late = self.group.delayed
            self.group.execute(late.pop(self.rng.randrange(len(late))))
        if self.rng.random() < 0.5:
            self.group.begin_step()
        if self.rng.random() < 0.005:
            self.group.start_new_epoch()
        if self.rng.random() < 0.02:
            # A coordinator is killed.
            self.switches[self.rng.randrange(2)] = None


def run_simulations(seeds: int = 600) -> int:
    return sum(Simulation(seed).run(150) for seed in range(seeds))


def release_with_one_missing(switch: ArmedSwitch, now: float) -> ArmedSwitch:
    if switch.stage is SwitchStage.ARM and len(switch.completed_ranks) >= RANKS - 1:
        switch = switch._replace(completed_ranks=frozenset(range(RANKS)))
    return ADVANCE(switch, now)


def release_without_a_fence(switch: ArmedSwitch, now: float) -> ArmedSwitch:
    moved = ADVANCE(switch, now)
    if moved.stage is SwitchStage.FENCE:
        return moved._replace(stage=SwitchStage.RELEASE)
    return moved


def arm_without_a_hold(switch: ArmedSwitch, now: float) -> ArmedSwitch:
    if switch.stage is SwitchStage.HOLD and switch.step:
        held_ranks = switch.held_ranks | {switch.hold_rank}
        switch = switch._replace(held_ranks=held_ranks)
    return ADVANCE(switch, now)


ADVANCE = _armed_switch._advance
UNSAFE_ADVANCES = [
    release_with_one_missing,
    release_without_a_fence,
    arm_without_a_hold,
]


def draw_next_number(
    reports: Sequence[RankReport], rng: random.Random, above: int = 0
) -> int:
    del rng, above
    reported = [(r.version, r.prepared or 0, r.armed or 0) for r in reports]
    return max(max(versions) for versions in reported) + 1


def accept_any_higher_version(
    switch: ArmedSwitch, rank: int, prepared: int
) -> ArmedSwitch:
    del prepared
    return _armed_switch._mark_completed(switch, rank)


class TestArmedSwitch:
    def test_no_step_begins_with_two_maps(self) -> None:
        """Guards against a release before all ranks are armed."""
        assert run_simulations() > 600

    @pytest.mark.parametrize("variant", UNSAFE_ADVANCES)
    def test_each_guard_is_needed(
        self, variant: Advance, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_armed_switch, "_advance", variant)
        with pytest.raises(AssertionError, match="begins with maps"):
            run_simulations()

    def test_coordinators_may_not_draw_the_same_version(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against two coordinators that use the same version."""
        monkeypatch.setattr(_armed_begin, "draw_version", draw_next_number)
        with pytest.raises(AssertionError, match="begins with maps"):
            run_simulations()

    def test_a_hold_may_be_shared_by_two_coordinators(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a rollback that releases a shared hold."""
        monkeypatch.setattr(_armed_switch, "_record_fenced", accept_any_higher_version)
        with pytest.raises(AssertionError, match="begins with maps"):
            run_simulations(6000)

    def test_a_switch_is_given_up_once_another_one_is_ahead(self) -> None:
        """Guards against waiting for weights that another switch replaced."""
        group = Group()
        reports = [group.report(rank) for rank in range(RANKS)]
        switch = begin_switch(FIRST_MAP, ExpertMap(5, MAPS[0]), reports, now=0.0)
        answers = dict.fromkeys(next_map_orders(switch), OrderOutcome.BEGUN)
        switch = record_answers(switch, answers, now=0.0)
        for engine in group.engines:
            engine.highest = engine.prepared = 9
        reports = [group.report(rank) for rank in ranks_to_read(switch)]
        assert record_reports(switch, reports, now=0.3).stage is SwitchStage.FAILED

    def test_a_refused_version_is_not_tried_again(self) -> None:
        """Guards against a group whose map never changes in a new epoch."""
        reports = [Group().report(rank) for rank in range(RANKS)]
        rng = random.Random(1)
        first = _armed_begin.draw_version(reports, rng)
        assert _armed_begin.draw_version(reports, rng, above=first) > first

    def test_loaded_weights_are_known_without_a_report(self) -> None:
        """Guards against steps that are held up by an outdated report."""
        group = Group()
        reports = [group.report(rank) for rank in range(RANKS)]
        switch = begin_switch(FIRST_MAP, ExpertMap(5, MAPS[0]), reports, now=0.0)
        for stage in (SwitchStage.PREPARE, SwitchStage.HOLD):
            answers = {order: group.execute(order) for order in next_map_orders(switch)}
            switch = record_answers(switch, answers, now=0.0)
            assert switch.stage is stage

    def test_a_switch_goes_through_when_all_answer(self) -> None:
        group = Group()
        reports = [group.report(rank) for rank in range(RANKS)]
        new_map = ExpertMap(1, MAPS[0])
        switch = begin_switch(FIRST_MAP, new_map, reports, now=0.0)
        for _ in range(10):
            if switch.stage is SwitchStage.HOLD and not switch.step:
                switch = hold_at(switch, choose_step([group.report(0)], 1.0))
            answers = {order: group.execute(order) for order in next_map_orders(switch)}
            switch = record_answers(switch, answers, now=0.0)
            reports = [group.report(rank) for rank in ranks_to_read(switch)]
            switch = record_reports(switch, reports, now=0.0)
        for _ in range(10):
            group.begin_step()
        assert switch.stage is SwitchStage.DONE
        assert [engine.version for engine in group.engines] == [1] * RANKS

    def test_a_newer_switch_outlives_a_rollback(self) -> None:
        """Guards against disarming some ranks of a newer switch."""
        group = Group()
        for engine in group.engines:
            engine.highest = engine.prepared = 4
        group.engines[1].held = 3
        group.begin_step()
        group.begin_step()
        reports = [group.report(rank) for rank in range(RANKS)]
        rollback = roll_back_held_switch(FIRST_MAP, reports, 0.0, random.Random(1))
        assert rollback is not None
        answers = {order: group.execute(order) for order in next_map_orders(rollback)}
        rollback = record_answers(rollback, answers, now=0.0)
        assert rollback.stage is SwitchStage.FENCE

        for engine in group.engines:
            engine.highest = engine.prepared = 9
            engine.armed = (9, 6)
        reports = [group.report(rank) for rank in range(RANKS)]
        rollback = record_reports(rollback, reports, now=0.1)

        assert rollback.stage is SwitchStage.RELEASE
        assert [engine.armed for engine in group.engines] == [(9, 6)] * RANKS

    def test_rollbacks_hold_at_random_ranks(self) -> None:
        """Guards against two rollbacks that hold at the same rank."""
        group = Group()
        group.engines[0].held = 2
        reports = [group.report(rank) for rank in range(RANKS)]
        drawn = {
            rollback.hold_rank
            for seed in range(20)
            if (
                rollback := roll_back_held_switch(
                    FIRST_MAP, reports, 0.0, random.Random(seed)
                )
            )
        }
        assert drawn == {1, 2}

    def test_a_group_that_moves_is_left_alone(self) -> None:
        """Guards against disarming ranks while their step begins."""
        group = Group()
        for engine in group.engines:
            engine.highest = engine.prepared = 4
            engine.armed = (4, 3)
        group.engines[2].held = 4
        reports = [group.report(rank) for rank in range(RANKS)]
        assert roll_back_held_switch(FIRST_MAP, reports, 0.0, random.Random(1)) is None
        group.begin_step()
        group.begin_step()
        reports = [group.report(rank) for rank in range(RANKS)]
        assert (
            roll_back_held_switch(FIRST_MAP, reports, 0.0, random.Random(1)) is not None
        )

    def test_a_held_group_is_freed_by_another_coordinator(self) -> None:
        """Guards against a group that stays held by a crashed entry."""
        group = Group()
        for engine in group.engines:
            engine.highest = engine.prepared = 4
        group.engines[1].held = 3
        group.engines[2].armed = (4, 3)
        group.begin_step()
        group.begin_step()
        assert group.step == 2

        late_arm = MapOrder(0, OrderAct.ARM, group.epoch, 4, 3)
        reports = [group.report(rank) for rank in range(RANKS)]
        switch = roll_back_held_switch(FIRST_MAP, reports, 0.0, random.Random(1))
        assert switch is not None
        while switch.stage not in TERMINAL_STAGES:
            answers = {order: group.execute(order) for order in next_map_orders(switch)}
            switch = record_answers(switch, answers, now=0.0)
            reports = [group.report(rank) for rank in ranks_to_read(switch)]
            switch = record_reports(switch, reports, now=0.0)
        group.begin_step()

        assert group.step == 3
        assert [engine.version for engine in group.engines] == [0] * RANKS
        assert group.execute(late_arm) is OrderOutcome.REFUSED
