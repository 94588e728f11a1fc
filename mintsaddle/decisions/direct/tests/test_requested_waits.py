"""Endpoints that have asked to wait, one class a subject."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from mintsaddle.decisions.direct import (
    DirectCall,
    Incarnation,
    RequestedWaits,
    await_until,
    hold_until,
)
from mintsaddle.decisions.direct._requested_waits import (
    JITTER_SHARE,
    MAX_WAIT_SECONDS,
    prefer_proven,
)
from mintsaddle.decisions.direct.tests.samples import ROUTE

ENGINE = "engine-1"
LONGEST = 1.0 + JITTER_SHARE


def make_waits(seconds: float, now: float = 10.0, seed: int = 1) -> RequestedWaits:
    """Return waits with one refusal by the engine."""
    waits = RequestedWaits()
    waits.record_refusal(ENGINE, seconds, now, random.Random(seed))
    return waits


class TestWaits:
    def test_nothing_is_sent_until_the_wait_ends(self) -> None:
        waits = make_waits(3.0)
        assert waits.is_waiting(ENGINE, 10.0)
        assert waits.is_waiting(ENGINE, 12.99)
        assert not waits.is_waiting(ENGINE, 10.0 + 3.0 * LONGEST)

    def test_others_are_not_concerned(self) -> None:
        assert not make_waits(3.0).is_waiting("engine-2", 10.0)

    def test_an_answer_meanwhile_does_not_end_the_wait(self) -> None:
        """Guards against loads on answers that make a wait void."""
        waits = make_waits(3.0)
        waits.record_answer(ENGINE, 11.0)
        assert waits.is_waiting(ENGINE, 12.9)

    def test_a_shorter_wait_does_not_replace_a_longer_one(self) -> None:
        waits = make_waits(3.0)
        waits.record_refusal(ENGINE, 0.1, 10.1, random.Random(1))
        assert waits.is_waiting(ENGINE, 12.9)

    def test_an_excessive_wait_is_limited(self) -> None:
        """Guards against a huge value that excludes an endpoint for good."""
        waits = make_waits(1e12)
        assert waits.is_waiting(ENGINE, 10.0 + MAX_WAIT_SECONDS - 1.0)
        assert not waits.is_waiting(ENGINE, 10.0 + MAX_WAIT_SECONDS * LONGEST)

    def test_a_wait_outlives_the_announcement_but_not_its_end(self) -> None:
        """Guards against waits that are lost with an announcement."""
        waits = make_waits(3.0)
        waits.discard_ended((), 11.0)
        assert waits.is_waiting(ENGINE, 12.9)
        waits.discard_ended((), 30.0)
        assert waits.waits_until(ENGINE) == 0.0


class TestUnprovenEndpoints:
    def test_an_answer_after_the_wait_proves_an_endpoint(self) -> None:
        waits = make_waits(3.0)
        end = waits.waits_until(ENGINE)
        assert not waits.is_proven(ENGINE, end)
        waits.record_answer(ENGINE, end)
        assert waits.is_proven(ENGINE, end)
        assert waits.is_empty

    def test_time_proves_an_endpoint_that_gets_no_requests(self) -> None:
        """Guards against endpoints that are left out for good."""
        waits = make_waits(3.0)
        assert waits.is_proven(ENGINE, waits.waits_until(ENGINE) + 3.0)

    def test_many_entries_do_not_return_at_the_same_moment(self) -> None:
        """Guards against a rush when an overloaded endpoint's waits end."""
        seconds = 3.0
        entries = [make_waits(seconds, seed=seed) for seed in range(200)]
        ends = [waits.waits_until(ENGINE) for waits in entries]
        assert min(ends) >= 10.0 + seconds
        window = seconds * JITTER_SHARE / 6
        busiest = max(sum(at <= end < at + window for end in ends) for at in ends)
        assert busiest <= 2 * len(entries) / 6

    @pytest.mark.parametrize(
        ("sends", "names"), [(0, ["engine-1", "engine-2"]), (1, ["engine-2"])]
    )
    def test_a_last_attempt_goes_to_a_proven_endpoint(
        self, sends: int, names: list[str]
    ) -> None:
        """Guards against callers that two refusing endpoints turn away."""
        route = ROUTE._replace(max_attempts=2)
        call = DirectCall("id", route, "llm", "", 0.0, 8.0, sends=sends)
        engines = [
            Incarnation(name, "llm", f"{name}:1", "a", 6, False, 0.0, 1)
            for name in ("engine-1", "engine-2")
        ]
        chosen = prefer_proven(call, engines, lambda name: name != ENGINE)
        assert [engine.name for engine in chosen] == names
        assert prefer_proven(call, engines[:1], lambda name: False) == engines[:1]


class TestCallsThatAwaitEndpoints:
    def make_call(self, due_at: float) -> DirectCall:
        return DirectCall("id", ROUTE, "llm", "", 10.0, 18.0, due_at=due_at)

    def test_a_call_that_can_be_on_time_waits_no_longer(self) -> None:
        """Guards against callers that are held until their answer is late."""
        assert await_until(self.make_call(due_at=10.4), 10.0) == 10.4

    def test_a_late_call_waits_as_long_as_its_caller_does(self) -> None:
        """Guards against callers that came back and are sent away again."""
        call = self.make_call(due_at=10.0)
        assert await_until(call, 10.1) == hold_until(call)
        assert await_until(call, 10.1) > 11.0


class WaitMachine(RuleBasedStateMachine):
    """Refusals, answers and lost requests in any order, with one entry."""

    def __init__(self) -> None:
        super().__init__()
        self._waits = RequestedWaits()
        self._rng = random.Random(1)
        self._now = 100.0
        self._asked_until = 0.0
        self._open_requests = 0

    @rule(seconds=st.floats(0.01, 2.0))
    def pass_time(self, seconds: float) -> None:
        self._now += seconds

    @precondition(lambda self: not self._waits.is_waiting(ENGINE, self._now))
    @rule()
    def send(self) -> None:
        assert self._now >= self._asked_until
        self._open_requests += 1

    @precondition(lambda self: self._open_requests)
    @rule(seconds=st.floats(0.01, 5.0))
    def refuse(self, seconds: float) -> None:
        self._waits.record_refusal(ENGINE, seconds, self._now, self._rng)
        self._asked_until = max(self._asked_until, self._now + seconds)
        self._open_requests -= 1

    @precondition(lambda self: self._open_requests)
    @rule()
    def answer(self) -> None:
        self._waits.record_answer(ENGINE, self._now)
        self._open_requests -= 1

    @precondition(lambda self: self._open_requests)
    @rule()
    def lose_answer(self) -> None:
        self._open_requests -= 1

    @rule()
    def announce_again(self) -> None:
        self._waits.discard_ended((), self._now)

    @rule()
    def is_not_excluded_for_good(self) -> None:
        later = self._now + 5.0 * LONGEST
        assert not self._waits.is_waiting(ENGINE, later)
        assert self._waits.is_proven(ENGINE, later + 5.0)


class TestAnyOrder:
    def test_an_endpoint_gets_nothing_within_a_wait(self) -> None:
        run_state_machine_as_test(
            WaitMachine, settings=settings(max_examples=200, stateful_step_count=40)
        )
