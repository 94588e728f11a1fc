"""Tests each fault in each phase of a switch, for each rank.

Each case runs a switch up to a phase, injects faults, lets the coordinators
continue and then removes the faults. The fake group checks the maps of each
completed step. At the end all ranks must have one map and resume stepping.
"""

from collections.abc import Callable

import pytest

from mintsaddle.decisions.expert_maps import SwitchPhase
from mintsaddle.decisions.expert_maps.tests.test_switch_machine import (
    RANKS,
    SwitchMachine,
)

PHASES = (
    SwitchPhase.READING,
    SwitchPhase.STAGING,
    SwitchPhase.HOLDING,
    SwitchPhase.ALIGNING,
    SwitchPhase.ACTIVATING,
    SwitchPhase.RELEASING,
    SwitchPhase.DONE,
)
_TURNS = 12


def lose_orders(machine: SwitchMachine, rank: int) -> None:
    """Drop all orders to the rank for two rounds of messages."""
    machine.exchange(0, 2, rank)


def lose_replies(machine: SwitchMachine, rank: int) -> None:
    """Carry out the rank's orders, but drop its replies."""
    machine.send(0)
    for back in range(len(machine.orders)):
        if machine.orders[-1 - back].rank == rank and back < RANKS:
            machine.deliver_order(back)


def duplicate_orders(machine: SwitchMachine, rank: int) -> None:
    """Deliver all of the rank's orders of the round again."""
    for order in tuple(machine.orders):
        if order.rank == rank:
            machine.orders.append(order)
            machine.deliver_order(0)
            machine.deliver_reply(0, 0)


def delay_orders(machine: SwitchMachine, rank: int) -> None:
    """Deliver the rank's current orders only after another round."""
    machine.send(0)
    late = [order for order in machine.orders[-RANKS:] if order.rank == rank]
    _another_coordinator(machine, wants=True)
    machine.orders.extend(late)
    for back in range(len(late)):
        machine.deliver_order(back)
        machine.step()


def restart_daemon(machine: SwitchMachine, rank: int) -> None:
    """Restart the rank's daemon."""
    machine.restart_daemon(rank)


def restart_daemon_late_orders(machine: SwitchMachine, rank: int) -> None:
    """Restart the rank's daemon and deliver all old orders again."""
    machine.restart_daemon(rank)
    machine.wait()
    duplicate_orders(machine, rank)


def freeze_coordinator(machine: SwitchMachine, rank: int) -> None:
    """Let a frozen coordinator resume after another one has finished."""
    _another_coordinator(machine, wants=True)
    machine.exchange(0, 3, rank)


def kill_coordinator(machine: SwitchMachine, rank: int) -> None:
    """Kill the coordinator and let another one finish its switch."""
    machine.exchange(0, 1, rank)
    machine.rounds[0] = None
    _another_coordinator(machine, wants=False)


def two_coordinators(machine: SwitchMachine, rank: int) -> None:
    """Alternate between two coordinators."""
    machine.start_round(1, True)
    for _ in range(_TURNS):
        machine.exchange(1, 1, rank)
        machine.exchange(0, 1, None)
        machine.step()


def refuse_staging(machine: SwitchMachine, rank: int) -> None:
    """Let the rank run out of memory for staging."""
    machine.set_staging_refusal(rank, True)


def enter_step(machine: SwitchMachine, rank: int) -> None:
    """Let the rank enter a step before the others are held."""
    machine.enter(rank)


FAULTS: list[Callable[[SwitchMachine, int], None]] = [
    lose_orders,
    lose_replies,
    duplicate_orders,
    delay_orders,
    restart_daemon,
    restart_daemon_late_orders,
    freeze_coordinator,
    kill_coordinator,
    two_coordinators,
    refuse_staging,
    enter_step,
]


def _another_coordinator(machine: SwitchMachine, *, wants: bool) -> None:
    machine.start_round(1, wants)
    for _ in range(_TURNS):
        machine.exchange(1, 1, None)
        machine.step()


def run_switch(
    phase: SwitchPhase, faults: list[Callable[[SwitchMachine, int], None]], rank: int
) -> SwitchMachine:
    """Run one case to its end; `teardown` checks the result."""
    machine = SwitchMachine()
    machine.step()
    machine.start_round(0, True)
    current = machine.rounds[0]
    assert current is not None
    for _ in range(_TURNS):
        if current.phase is phase:
            break
        machine.exchange(0, 1, None)
    for fault in faults:
        fault(machine, rank)
    for _ in range(_TURNS):
        if machine.rounds[0] is not None:
            machine.exchange(0, 1, None)
        machine.step()
    return machine


class TestSwitchMatrix:
    @pytest.mark.parametrize("phase", PHASES)
    def test_each_fault_alone(self, phase: SwitchPhase) -> None:
        for fault in FAULTS:
            for rank in range(RANKS):
                run_switch(phase, [fault], rank).teardown()

    @pytest.mark.parametrize("phase", PHASES)
    def test_faults_in_pairs(self, phase: SwitchPhase) -> None:
        for first in FAULTS:
            for second in FAULTS:
                run_switch(phase, [first, second], 1).teardown()
