"""Homes under every interleaving of edits, restarts, late words and keys.

The machine holds a fleet text that moves homes, an old platform replica that
any restarted home may read, and words between homes that come late, doubled
or never. A key may run once.
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
    KeyWord,
    OrdersState,
    OrderStatus,
    _homes,
    adopt_homes,
    answer_question,
    ask_homes,
    bequeath,
    close_order,
    decide_key,
    home_is_settled,
    keep_bequest,
    record_answer,
)
from mintsaddle.decisions.orders._state import HomeState
from mintsaddle.fleet import OrderHomes, find_home
from mintsaddle.values import KeyOrigin, OrderKey

SERVICE = "redirections"
BOUND = 0.1
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
"""Lists by revision; each names all that may still run."""


class Home:
    """One run of one home."""

    def __init__(self, vm: str, boot: int, now: float) -> None:
        self.orders = OrdersState(vm, boot, now)
        self.revision = 0

    def adopt(self, revision: int, bootstrap: float) -> None:
        """Follow a newer text."""
        if revision > self.revision:
            self.revision = revision
            homes = TEXTS[revision]
            adopt_homes(self.orders, SERVICE, homes, bootstrap, BOUND)

    def standing(self) -> HomeState | None:
        """Where this home stands."""
        return self.orders.homes.get(SERVICE)


class HomesMachine(RuleBasedStateMachine):
    """Three homes and whatever may happen to them."""

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
        # Text 7 was written after these homes had started; no later one says
        # so, since they keep their memory.
        self.bootstrap = self.now + 1.0

    @initialize()
    def settle_first_list(self) -> None:
        """Let the first list settle, as it does at a quiet start."""
        for home in self.homes.values():
            home.adopt(7, self.bootstrap)
        for _ in range(3):
            for vm in VMS:
                self.ask(vm)
            for index in range(len(self.answers)):
                self.hear(index)
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
        """Restart a home beside a replica that may be stale."""
        if planned:
            for bequest in bequeath(self.homes[vm].orders):
                for other in VMS:
                    if other != vm:
                        keep_bequest(self.homes[other].orders, bequest)
        self.boots += 1
        self.homes[vm] = Home(vm, self.boots, self.now)
        self.homes[vm].adopt(min(revision, self.published), self.bootstrap)

    @rule(vm=st.sampled_from(VMS))
    def ask(self, vm: str) -> None:
        """Ask all; the answers are on their way."""
        home = self.homes[vm]
        for other, question in ask_homes(home.orders, SERVICE, self.now, self.rng):
            peer = self.homes[other]
            answer = answer_question(peer.orders, question, peer.revision)
            self.answers.append((vm, home.orders.boot, answer))

    @rule(vm=st.sampled_from(VMS), silent=st.sampled_from(["", *VMS]))
    def converse(self, vm: str, silent: str) -> None:
        """Ask all and hear all but one, until nothing more comes of it."""
        for _ in range(3):
            self.answers.clear()
            self.ask(vm)
            for index in range(len(self.answers)):
                if self.answers[-1 - index][2].vm != silent:
                    self.hear(index)
            self.now += 1.0

    @rule(index=st.integers(0, 5))
    def hear(self, index: int) -> None:
        """Deliver one of the newest answers, maybe again, maybe much later."""
        if index >= len(self.answers):
            return
        vm, boot, answer = self.answers[-1 - index]
        home = self.homes[vm]
        if home.orders.boot != boot:
            return
        home.adopt(answer.text_revision, self.bootstrap)
        record_answer(home.orders, answer, home.revision, BOUND, self.now)

    def draw(self) -> None:
        number = len(self.keys)
        self.keys.append(OrderKey(f"key-{number}", KeyOrigin.SUPPLIED, self.now, 0, 0))

    @rule(order=st.permutations(VMS), ends=st.booleans())
    def bring_new(self, order: list[str], ends: bool) -> None:
        """Draw some keys and bring each to all homes, as retries may."""
        self.now += 0.5
        for _ in range(4):
            self.draw()
            for vm in order:
                self._bring(vm, self.keys[-1], ends)

    @rule(vm=st.sampled_from(VMS), ends=st.booleans())
    def bring_old(self, vm: str, ends: bool) -> None:
        """Bring the last keys again, to one home."""
        for key in self.keys[-8:]:
            self._bring(vm, key, ends)

    def _bring(self, vm: str, key: OrderKey, ends: bool) -> None:
        orders = self.homes[vm].orders
        verdict = decide_key(orders, key, SERVICE, BOUND, WINDOW, self.now)
        if verdict.word is KeyWord.RUN:
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


class Story(HomesMachine):
    """One order of events, told step by step."""

    def __init__(self) -> None:
        super().__init__()
        self.settle_first_list()

    def move_to(self, revision: int, vms: str = "abc") -> None:
        """Publish a list and let some homes read it."""
        self.published = revision
        for vm in vms:
            self.read_newest(vm)

    def talk(self, vms: str, silent: str = "") -> None:
        """Let homes ask one after the other."""
        for vm in vms:
            self.converse(vm, silent)

    def runs(self, vms: str, key: OrderKey) -> int:
        """Bring a key to homes; return how often it has run."""
        for vm in vms:
            self._bring(vm, key, True)
        return self.executions[key.text]

    def key_of(self, *homes: str) -> OrderKey:
        """Return a key dated now that lists 7, 8 and so on give to these."""
        for number in range(10_000):
            text = f"story-{len(self.keys)}-{number}"
            lists = [TEXTS[7 + place].homes for place in range(len(homes))]
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


def _offer_always(home: HomeState, question: Any) -> Any:
    return home, home.kept.get(question.asker)


def _one_round(home: HomeState, answer: HomeAnswer) -> HomeState:
    """Count the first acknowledgement as the second one, too."""
    first = {**home.first_boots, answer.vm: answer.boot}
    floors = {**home.floors, answer.vm: answer.floor}
    return home._replace(
        first_boots=first, second_boots=first, floors=floors, round_number=2
    )


def restart_between_acknowledgements() -> int:
    """A caller's order runs twice.

    A acknowledges text 8 to B and restarts beside a stale replica at 7. C,
    still at 7, vouches for A's list. Then C acknowledges 8 to B as well, and
    B starts while A runs on the list of 7.
    """
    story = Story()
    story.move_to(8, "ab")
    story.talk("b")
    story.restart("a", 7, planned=False)
    story.talk("aa")
    story.read_newest("c")
    story.talk("b", silent="a")
    story.now += 2.0
    return story.runs("ab", story.key_of("a", "b"))


def all_old_homes_restart() -> int:
    """A caller's order runs twice.

    B, new in text 8, serves. A and C restart together beside a replica that
    still shows 7, and find that all homes of that list agree.
    """
    story = Story()
    story.move_to(8)
    story.talk("abcabc")
    story.restart("a", 7, planned=False)
    story.restart("c", 7, planned=False)
    story.talk("acac")
    story.now += 2.0
    return story.runs("ab", story.key_of("a", "b"))


def former_home_lost_its_memory() -> int:
    """A caller's order runs twice.

    A runs a key and is killed. Its next run settles and then hands over to B
    under text 8 what it knows, which misses the key; a late copy comes to B.
    """
    story = Story()
    key = story.key_of("a", "b")
    story.runs("a", key)
    story.restart("a", 7, planned=False)
    story.talk("aa")
    story.move_to(8)
    story.talk("abcabc")
    return story.runs("b", key)


def run_between_two_others() -> int:
    """A caller's order runs twice.

    A leaves as planned and gives its ledger away. Its next run takes it back,
    runs a key and is killed; the one after gets the same old ledger.
    """
    story = Story()
    story.restart("a", 7, planned=True)
    story.talk("aca")
    key = story.key_of("a")
    story.runs("a", key)
    story.restart("a", 7, planned=False)
    story.talk("aca")
    return story.runs("a", key)


STORIES = [
    (restart_between_acknowledgements, "_count_answer", _one_round),
    (all_old_homes_restart, "_may_settle", _always),
    (former_home_lost_its_memory, "_find_move_floor", _no_floor),
    (run_between_two_others, "offer_bequest", _offer_always),
]


class TestHomes:
    def test_key_runs_once(self) -> None:
        run_machine(200, 30)

    def test_quiet_start_settles(self) -> None:
        standings = [Story().homes[vm].standing() for vm in "ac"]
        assert all(home and home_is_settled(home) for home in standings)

    @pytest.mark.parametrize(("story", "name", "guard"), STORIES)
    def test_guard_is_needed(
        self, story: Callable[[], int], name: str, guard: Callable[..., Any]
    ) -> None:
        assert story() == 1, story.__doc__
        with patch.object(_homes, name, guard):
            assert story() == 2, f"without {name} the story should go wrong"


class TestBootstrap:
    def test_bootstrap_published_later_settles_the_homes(self) -> None:
        """Guards against homes that never settle after a common restart."""
        story = Story()
        for vm in "ac":
            story.restart(vm, 7, planned=False)
        story.talk("acac")
        key = story.key_of("a")
        assert story.runs("a", key) == 0
        story.bootstrap = story.now + 1.0
        for vm in "ac":
            adopt_homes(
                story.homes[vm].orders, SERVICE, TEXTS[7], story.bootstrap, BOUND
            )
        story.talk("acac")
        story.now += 2.0
        assert story.runs("a", story.key_of("a")) == 1


class TestPlannedRestart:
    def test_key_before_the_stop_is_answered_after_it(self) -> None:
        """Guards against an order in doubt after a planned restart."""
        story = Story()
        key = story.key_of("a")
        story.runs("a", key)
        story.restart("a", 7, planned=True)
        story.talk("aca")
        orders = story.homes["a"].orders
        verdict = decide_key(orders, key, SERVICE, BOUND, WINDOW, story.now)
        assert verdict.word is KeyWord.ANSWER

    def test_new_key_drawn_during_the_stop_runs(self) -> None:
        story = Story()
        key = story.key_of("a")
        story.restart("a", 7, planned=True)
        story.talk("aca")
        assert story.runs("a", key) == 1
