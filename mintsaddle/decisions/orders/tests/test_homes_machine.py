"""Tests that a key runs at most once while lists of homes change.

A state machine interleaves new fleet texts, restarts beside stale platform
replicas, late, duplicated or lost answers between homes, and repeated keys.
"""

import random
from collections import Counter
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mintsaddle.decisions.orders import (
    HomeAnswer,
    KeyAction,
    OrdersState,
    OrderStatus,
    _homes,
    adopt_homes,
    answer_question,
    ask_homes,
    close_ledger,
    close_order,
    decide_key,
    home_is_settled,
    record_answer,
    store_snapshot,
)
from mintsaddle.decisions.orders._state import HomeState
from mintsaddle.fleet import OrderHomes, find_home
from mintsaddle.values import KeyOrigin, OrderKey

SERVICE = "redirections"
CLOCK_BOUND = 0.1
WINDOW = 1000.0
VMS = ("a", "b", "c")


def _list(homes: str, former: str = "") -> OrderHomes:
    return OrderHomes(tuple(homes), frozenset(homes + former))


TEXTS = {
    7: _list("ac"),
    8: _list("abc"),
    9: _list("bc", "a"),
    10: _list("ac", "b"),
}
"""Lists by revision; each includes all homes that may still run."""


class Home:
    """A run of a home."""

    def __init__(self, vm: str, boot: int, now: float) -> None:
        self.orders = OrdersState(vm, boot, now)
        self.revision = 0

    def adopt(self, revision: int, bootstrap: float) -> None:
        """Adopt a text if it is newer."""
        if revision > self.revision:
            self.revision = revision
            homes = TEXTS[revision]
            adopt_homes(self.orders, SERVICE, homes, bootstrap, CLOCK_BOUND)

    def state_of_service(self) -> HomeState | None:
        """Return the state for the service."""
        return self.orders.homes.get(SERVICE)


class HomesMachine(RuleBasedStateMachine):
    """Three homes under random events."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.rng = random.Random(1)
        self.published = 7
        self.homes = {vm: Home(vm, n + 1, self.now) for n, vm in enumerate(VMS)}
        self.boots = len(VMS)
        self.answers: list[tuple[str, int, HomeAnswer]] = []
        self.executions: Counter[str] = Counter()
        self.keys: list[OrderKey] = []
        # The bootstrap date of text 7 is later than the start of these homes.
        # Later texts don't advance it, as the homes keep their ledgers.
        self.bootstrap = self.now + 1.0

    @initialize()
    def settle_first_list(self) -> None:
        """Settle the first list, as in a start without faults."""
        for home in self.homes.values():
            home.adopt(7, self.bootstrap)
        for _ in range(3):
            for vm in VMS:
                self.ask(vm)
            for index in range(len(self.answers)):
                self.deliver(index)
            self.answers.clear()
        self.now += 1.0

    @rule(seconds=st.sampled_from([0.05, 0.3, 2.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def publish(self) -> None:
        self.published = min(max(TEXTS), self.published + 1)

    @rule(vm=st.sampled_from(VMS))
    def read_newest(self, vm: str) -> None:
        self.homes[vm].adopt(self.published, self.bootstrap)

    @rule(vm=st.sampled_from(VMS), other=st.sampled_from(VMS))
    def read_from_peer(self, vm: str, other: str) -> None:
        revision = self.homes[other].revision
        if revision:
            self.homes[vm].adopt(revision, self.bootstrap)

    @rule(
        vm=st.sampled_from(VMS),
        revision=st.sampled_from(sorted(TEXTS)),
        planned=st.booleans(),
    )
    def restart(self, vm: str, revision: int, planned: bool) -> None:
        """Restart a home that reads a replica which may be stale."""
        if planned:
            for snapshot in close_ledger(self.homes[vm].orders):
                for other in VMS:
                    if other != vm:
                        store_snapshot(self.homes[other].orders, snapshot)
        self.boots += 1
        self.homes[vm] = Home(vm, self.boots, self.now)
        self.homes[vm].adopt(min(revision, self.published), self.bootstrap)

    @rule(vm=st.sampled_from(VMS))
    def ask(self, vm: str) -> None:
        """Ask all other homes; the answers are in transit."""
        home = self.homes[vm]
        for other, question in ask_homes(home.orders, SERVICE, self.now, self.rng):
            peer = self.homes[other]
            answer = answer_question(peer.orders, question, peer.revision)
            self.answers.append((vm, home.orders.boot, answer))

    @rule(vm=st.sampled_from(VMS), unresponsive=st.sampled_from(["", *VMS]))
    def converge(self, vm: str, unresponsive: str) -> None:
        """Ask three times; deliver all answers but the unresponsive home's."""
        for _ in range(3):
            self.answers.clear()
            self.ask(vm)
            for index in range(len(self.answers)):
                if self.answers[-1 - index][2].vm != unresponsive:
                    self.deliver(index)
            self.now += 1.0

    @rule(index=st.integers(0, 5))
    def deliver(self, index: int) -> None:
        """Deliver one of the newest answers, possibly again or late."""
        if index >= len(self.answers):
            return
        vm, boot, answer = self.answers[-1 - index]
        home = self.homes[vm]
        if home.orders.boot != boot:
            return
        home.adopt(answer.text_revision, self.bootstrap)
        record_answer(home.orders, answer, home.revision, CLOCK_BOUND, self.now)

    def add_key(self) -> None:
        number = len(self.keys)
        self.keys.append(OrderKey(f"key-{number}", KeyOrigin.SUPPLIED, self.now, 0, 0))

    @rule(order=st.permutations(VMS), ends=st.booleans())
    def call_with_new_keys(self, order: list[str], ends: bool) -> None:
        """Send each of some new keys to all homes, as retries may do."""
        self.now += 0.5
        for _ in range(4):
            self.add_key()
            for vm in order:
                self._call(vm, self.keys[-1], ends)

    @rule(vm=st.sampled_from(VMS), ends=st.booleans())
    def call_with_old_keys(self, vm: str, ends: bool) -> None:
        """Send the latest keys to one home again."""
        for key in self.keys[-8:]:
            self._call(vm, key, ends)

    def _call(self, vm: str, key: OrderKey, ends: bool) -> None:
        orders = self.homes[vm].orders
        decision = decide_key(orders, key, SERVICE, CLOCK_BOUND, WINDOW, self.now)
        if decision.action is KeyAction.RUN:
            self.executions[key.text] += 1
            if ends:
                close_order(orders, key, OrderStatus.DONE, 200)

    @invariant()
    def runs_once(self) -> None:
        """No key has run twice."""
        twice = [key for key, count in self.executions.items() if count > 1]
        assert not twice, f"{twice} ran twice"


def run_machine(examples: int, steps: int) -> None:
    """Run the machine."""
    run_state_machine_as_test(
        HomesMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
        ),
    )


class Scenario(HomesMachine):
    """A fixed sequence of events."""

    def __init__(self) -> None:
        super().__init__()
        self.settle_first_list()

    def move_to(self, revision: int, vms: str = "abc") -> None:
        """Publish a text and let some homes read it."""
        self.published = revision
        for vm in vms:
            self.read_newest(vm)

    def settle(self, vms: str, unresponsive: str = "") -> None:
        """Let homes agree one after the other."""
        for vm in vms:
            self.converge(vm, unresponsive)

    def runs(self, vms: str, key: OrderKey) -> int:
        """Send a key to homes; return how often it has run."""
        for vm in vms:
            self._call(vm, key, True)
        return self.executions[key.text]

    def key_of(self, *homes: str) -> OrderKey:
        """Return a key dated now that texts 7, 8, ... assign to the homes."""
        for number in range(10_000):
            text = f"scenario-{len(self.keys)}-{number}"
            lists = [TEXTS[7 + index].homes for index in range(len(homes))]
            owners = tuple(find_home(names, text) for names in lists)
            if owners == homes:
                key = OrderKey(text, KeyOrigin.SUPPLIED, self.now, 0, 0)
                self.keys.append(key)
                return key
        raise AssertionError("no such key")


def _always(*_: Any) -> bool:
    return True


def _no_floor(*_: Any) -> float:
    return 0.0


def _always_offer(home: HomeState, question: Any) -> Any:
    return home, home.snapshots.get(question.asker)


def _one_round(home: HomeState, answer: HomeAnswer) -> HomeState:
    """Count the first acknowledgement as the second one too."""
    first = {**home.first_round_boots, answer.vm: answer.boot}
    floors = {**home.floors, answer.vm: answer.floor}
    return home._replace(
        first_round_boots=first, second_round_boots=first, floors=floors, round_number=2
    )


def restart_between_acknowledgements() -> int:
    """An order runs twice if one round of acknowledgements is enough.

    A acknowledges text 8 to B and restarts beside a stale replica at 7. C,
    still at 7, confirms A's list. Then C acknowledges 8 to B as well, and B
    starts while A runs on the list of 7.
    """
    scenario = Scenario()
    scenario.move_to(8, "ab")
    scenario.settle("b")
    scenario.restart("a", 7, planned=False)
    scenario.settle("aa")
    scenario.read_newest("c")
    scenario.settle("b", unresponsive="a")
    scenario.now += 2.0
    return scenario.runs("ab", scenario.key_of("a", "b"))


def all_old_homes_restart() -> int:
    """An order runs twice if homes settle without an anchored one.

    B, new in text 8, serves. A and C restart together beside a replica that
    is still at 7, and all homes of that list agree.
    """
    scenario = Scenario()
    scenario.move_to(8)
    scenario.settle("abcabc")
    scenario.restart("a", 7, planned=False)
    scenario.restart("c", 7, planned=False)
    scenario.settle("acac")
    scenario.now += 2.0
    return scenario.runs("ab", scenario.key_of("a", "b"))


def former_home_lost_its_ledger() -> int:
    """An order runs twice if moved keys have no floor.

    A runs a key and is killed. Its next run settles and then hands over to B
    under text 8 a ledger that lacks the key; a late copy arrives at B.
    """
    scenario = Scenario()
    key = scenario.key_of("a", "b")
    scenario.runs("a", key)
    scenario.restart("a", 7, planned=False)
    scenario.settle("aa")
    scenario.move_to(8)
    scenario.settle("abcabc")
    return scenario.runs("b", key)


def run_between_two_others() -> int:
    """An order runs twice if a snapshot is offered to a second run.

    A leaves as planned and stores its ledger. Its next run restores it, runs
    a key and is killed; the run after that gets the same old snapshot.
    """
    scenario = Scenario()
    scenario.restart("a", 7, planned=True)
    scenario.settle("aca")
    key = scenario.key_of("a")
    scenario.runs("a", key)
    scenario.restart("a", 7, planned=False)
    scenario.settle("aca")
    return scenario.runs("a", key)


SCENARIOS = [
    (restart_between_acknowledgements, "_count_answer", _one_round),
    (all_old_homes_restart, "_may_settle", _always),
    (former_home_lost_its_ledger, "_find_move_floor", _no_floor),
    (run_between_two_others, "offer_snapshot", _always_offer),
]


class TestHomes:
    def test_key_runs_once(self) -> None:
        run_machine(200, 30)

    def test_quiet_start_settles(self) -> None:
        states = [Scenario().homes[vm].state_of_service() for vm in "ac"]
        assert all(home and home_is_settled(home) for home in states)

    @pytest.mark.parametrize(("scenario", "name", "guard"), SCENARIOS)
    def test_guard_is_needed(
        self, scenario: Callable[[], int], name: str, guard: Callable[..., Any]
    ) -> None:
        assert scenario() == 1, scenario.__doc__
        with patch.object(_homes, name, guard):
            assert scenario() == 2, f"without {name} the key should run twice"


class TestBootstrap:
    def test_bootstrap_published_later_settles_the_homes(self) -> None:
        """Guards against homes that never settle after all have restarted."""
        scenario = Scenario()
        for vm in "ac":
            scenario.restart(vm, 7, planned=False)
        scenario.settle("acac")
        key = scenario.key_of("a")
        assert scenario.runs("a", key) == 0
        scenario.bootstrap = scenario.now + 1.0
        for vm in "ac":
            adopt_homes(
                scenario.homes[vm].orders,
                SERVICE,
                TEXTS[7],
                scenario.bootstrap,
                CLOCK_BOUND,
            )
        scenario.settle("acac")
        scenario.now += 2.0
        assert scenario.runs("a", scenario.key_of("a")) == 1


class TestPlannedRestart:
    def test_key_before_the_stop_is_answered_after_it(self) -> None:
        """Guards against an order in doubt after a planned restart."""
        scenario = Scenario()
        key = scenario.key_of("a")
        scenario.runs("a", key)
        scenario.restart("a", 7, planned=True)
        scenario.settle("aca")
        orders = scenario.homes["a"].orders
        decision = decide_key(orders, key, SERVICE, CLOCK_BOUND, WINDOW, scenario.now)
        assert decision.action is KeyAction.ANSWER

    def test_new_key_drawn_during_the_stop_runs(self) -> None:
        scenario = Scenario()
        key = scenario.key_of("a")
        scenario.restart("a", 7, planned=True)
        scenario.settle("aca")
        assert scenario.runs("a", key) == 1
