"""Memory and pace of the answers that an entry reads."""

from typing import ClassVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mintsaddle.decisions.direct import AnswerMemory, AnswerPace
from mintsaddle.decisions.direct._answer_pace import BURST_PARTS, PARTS_PER_SECOND

LIMIT = 1_000


class TestAnswerMemory:
    def test_an_answer_beyond_its_share_is_abandoned(self) -> None:
        """Guards against one endless answer that takes all memory."""
        memory = AnswerMemory(LIMIT)
        assert memory.hold(1, memory.largest_answer) is None
        assert memory.hold(1, memory.largest_answer + 1) == 1
        assert memory.used == 0

    def test_the_largest_makes_room_for_others(self) -> None:
        """Guards against sound answers refused for endless ones."""
        memory = AnswerMemory(LIMIT)
        for answer in range(4):
            assert memory.hold(answer, 200 + answer) is None
        assert memory.hold(9, 190) is None
        assert memory.hold(10, 50) == 3
        assert memory.hold(3, 10) == 3
        assert not memory.complete(3)

    def test_a_whole_answer_is_not_abandoned(self) -> None:
        """Guards against a ready answer that is taken from its caller."""
        memory = AnswerMemory(LIMIT)
        for answer in range(4):
            memory.hold(answer, 240)
            assert memory.complete(answer)
        assert memory.hold(9, 100) == 9
        memory.release(9)
        memory.release(0)
        assert memory.hold(10, 100) is None


class AnswersMachine(RuleBasedStateMachine):
    """Answers of any sizes that grow, end and are released in any order."""

    answers: ClassVar = st.integers(0, 9)

    def __init__(self) -> None:
        super().__init__()
        self.memory = AnswerMemory(LIMIT)
        self.sizes: dict[int, int] = {}
        self.whole: set[int] = set()
        self.abandoned: set[int] = set()

    @rule(answer=answers, size=st.integers(1, 120))
    def grow(self, answer: int, size: int) -> None:
        if answer in self.whole:
            return
        self.sizes[answer] = self.sizes.get(answer, 0) + size
        victim = self.memory.hold(answer, self.sizes[answer])
        if victim is None:
            return
        assert victim not in self.whole
        if victim not in self.abandoned:
            reading = self.sizes.keys() - self.whole - self.abandoned
            assert self.sizes[victim] == max(self.sizes[one] for one in reading)
        self.abandoned.add(victim)

    @rule(answer=answers)
    def complete(self, answer: int) -> None:
        if answer in self.sizes:
            is_whole = self.memory.complete(answer)
            assert is_whole == (answer not in self.abandoned)
            if is_whole:
                self.whole.add(answer)

    @rule(answer=answers)
    def release(self, answer: int) -> None:
        self.memory.release(answer)
        self.sizes.pop(answer, None)
        self.whole.discard(answer)
        self.abandoned.discard(answer)

    @invariant()
    def stays_within_the_limit(self) -> None:
        assert self.memory.used <= LIMIT


class TestAnswersMachine:
    def test_memory_is_bounded_and_whole_answers_stay(self) -> None:
        """Guards against a limit that some order of events passes."""
        run_state_machine_as_test(
            AnswersMachine, settings=settings(max_examples=200, derandomize=True)
        )


class TestAnswerPace:
    def test_events_of_an_engine_never_wait(self) -> None:
        pace = AnswerPace(0.0)
        for number in range(20_000):
            now = number / 500
            assert pace.record_parts(1, now) == now

    def test_a_burst_does_not_wait(self) -> None:
        pace = AnswerPace(10.0)
        assert {pace.record_parts(1, 10.0) for _ in range(BURST_PARTS)} == {10.0}

    def test_parts_without_end_are_read_slowly(self) -> None:
        """Guards against a processor that one endpoint's parts take up."""
        pace = AnswerPace(0.0)
        now, parts = 0.0, 0
        while now < 5.0:
            now = pace.record_parts(1, now) + 1e-6
            parts += 1
        assert parts <= BURST_PARTS + 5.1 * PARTS_PER_SECOND
