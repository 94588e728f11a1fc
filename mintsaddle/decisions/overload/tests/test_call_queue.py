"""Order, bounds and deadlines of waiting calls."""

import time

import pytest

from mintsaddle.decisions.direct import DirectCall, StepModel, hold_until
from mintsaddle.decisions.overload import (
    FIRST_EVENT_SECONDS,
    MAX_CONCURRENT_ATTEMPTS,
    CallQueue,
    first_event_seconds,
    wait_deadline,
)
from mintsaddle.decisions.overload.tests.call_samples import STREAM_ROUTE, make_call

HEAD = MAX_CONCURRENT_ATTEMPTS


def drain(queue: CallQueue, request_ids: list[str], now: float) -> list[str]:
    """Return the ids in the order in which they reach the head."""
    order: list[str] = []
    while queue.size:
        head = [key for key in request_ids if queue.may_attempt(key, now)]
        assert len(head) == min(HEAD, queue.size)
        # The head is a set: the rest of the queue shows which of it is first.
        for key in head:
            queue.remove(key)
        order += sorted(head, key=request_ids.index)
    return order


def make_queue(calls: list[tuple[DirectCall, int]], now: float) -> CallQueue:
    queue = CallQueue(len(calls))
    for call, level in calls:
        assert queue.enqueue(call, level, now)
    return queue


class TestPosition:
    def test_it_follows_the_order_as_calls_become_late(self) -> None:
        """Guards against a logged place that isn't the one in the order."""
        calls = [(make_call("a", 0.0), 1), (make_call("b", 0.3), 1)]
        queue = make_queue([*calls, (make_call("c", 0.3), 0)], 0.3)
        ids = ("c", "a", "b", "unknown")
        assert [queue.position(key) for key in ids] == [1, 2, 3, None]
        queue.may_attempt("a", 0.5)
        assert [queue.position(key) for key in ids] == [1, 3, 2, None]


class TestOrder:
    @pytest.mark.parametrize(
        ("first", "second", "now"),
        [
            pytest.param(
                (make_call("first", 0.1), 0),
                (make_call("second", 0.0), 1),
                0.2,
                id="level before due time",
            ),
            pytest.param(
                (make_call("first", 0.0), 1),
                (make_call("second", 0.1), 1),
                0.2,
                id="earlier due time",
            ),
            pytest.param(
                (make_call("first", 1.0), 4),
                (make_call("second", 0.9, is_returning=True), 0),
                1.1,
                id="on time before late of a higher level",
            ),
            pytest.param(
                (make_call("first", 0.9, is_returning=True), 0),
                (make_call("second", 0.5, is_returning=True), 1),
                1.1,
                id="level among late ones",
            ),
            pytest.param(
                (make_call("first", 0.0)._replace(due_at=0.4), 0),
                (make_call("second", 0.1)._replace(due_at=0.4), 0),
                0.2,
                id="arrival at the same due time",
            ),
            pytest.param(
                (make_call("first", 0.0)._replace(response_started=True), 0),
                (make_call("second", 2.0), 0),
                2.1,
                id="a started response is never late",
            ),
        ],
    )
    @pytest.mark.parametrize("is_reversed", [False, True])
    def test_the_call_that_goes_first_attempts_first(
        self,
        first: tuple[DirectCall, int],
        second: tuple[DirectCall, int],
        now: float,
        is_reversed: bool,
    ) -> None:
        """Guards against a place in the queue that arrival order decides."""
        # Calls that go before both leave a single place at the head.
        ahead = make_call("ahead", 0.0)._replace(response_started=True, due_at=-1.0)
        fillers = [
            (ahead._replace(request_id=f"ahead-{number}"), -1)
            for number in range(HEAD - 1)
        ]
        pair = [second, first] if is_reversed else [first, second]
        queue = make_queue([*fillers, *pair], now)
        assert queue.may_attempt("first", now)
        assert not queue.may_attempt("second", now)

    def test_a_call_that_becomes_late_moves_behind(self) -> None:
        """Guards against late calls that keep their place and delay others."""
        early = [(make_call(f"early-{number}", 0.0), 0) for number in range(HEAD)]
        fresh = [(make_call(f"fresh-{number}", 0.3), 3) for number in range(HEAD)]
        queue = make_queue([*early, *fresh], 0.3)
        assert queue.may_attempt("early-0", 0.4)
        assert not queue.may_attempt("fresh-0", 0.4)
        assert not queue.may_attempt("early-0", 0.41)
        assert queue.may_attempt("fresh-0", 0.41)

    def test_a_jump_of_the_clock_makes_all_of_them_late(self) -> None:
        """Guards against an order from before the VM was frozen."""
        calls = [(make_call(f"{n}", n / 100), 2 - n % 3) for n in range(9)]
        queue = make_queue(calls, 0.1)
        assert queue.enqueue(make_call("fresh", 30.0), 4, 30.0)
        # The last of the lowest level.
        assert queue.is_displaced("6")
        ids = ["fresh", *(call.request_id for call, _ in calls)]
        assert drain(queue, ids, 30.0)[:HEAD] == ["fresh", "2"]

    def test_a_late_call_stays_late_if_the_clock_goes_back(self) -> None:
        """Guards against an order that changes between two readers."""
        queue = make_queue([(make_call("late", 0.0), 0)], 1.0)
        assert queue.calls_ahead(4, False, 0.1) == 0

    def test_order_is_complete(self) -> None:
        calls = [
            (make_call(f"{level}{late:d}{n}", 5.0 + n / 100, is_returning=late), level)
            for n in range(2)
            for late in (True, False)
            for level in (2, 0, 1)
        ]
        ids = [call.request_id for call, _ in calls]
        expected = sorted(ids, key=lambda key: (key[1], key[0], key[2]))
        order = drain(make_queue(calls, 5.1), ids, 5.1)
        for first in range(0, len(ids), HEAD):
            part = slice(first, first + HEAD)
            assert set(order[part]) == set(expected[part])


class TestBound:
    def test_a_full_queue_displaces_the_last_one(self) -> None:
        """Guards against urgent calls refused while others keep waiting."""
        queue = make_queue([(make_call("a", 0.0), 1), (make_call("b", 0.1), 1)], 0.1)
        assert queue.enqueue(make_call("urgent", 0.2), 0, 0.2)
        assert queue.is_displaced("b")
        assert not queue.is_displaced("a")
        assert not queue.may_attempt("b", 0.2)
        assert queue.size == 2
        queue.remove("b")
        assert not queue.is_displaced("b")
        assert queue.size == 2

    def test_a_full_queue_refuses_a_call_that_goes_last(self) -> None:
        queue = make_queue([(make_call("a", 0.0), 1), (make_call("b", 0.1), 1)], 0.1)
        assert not queue.enqueue(make_call("c", 0.2), 1, 0.2)
        assert not queue.is_displaced("c")
        assert [queue.is_displaced(key) for key in "ab"] == [False, False]

    def test_a_waiting_call_that_became_late_is_displaced(self) -> None:
        """Guards against late calls that fill the queue."""
        queue = make_queue([(make_call("a", 0.0), 0), (make_call("b", 0.3), 0)], 0.3)
        assert queue.enqueue(make_call("c", 0.5), 4, 0.5)
        assert queue.is_displaced("a")

    def test_a_queue_without_places_accepts_nothing(self) -> None:
        queue = CallQueue(0)
        assert not queue.enqueue(make_call("a", 0.0), 0, 0.0)
        assert queue.size == 0

    def test_an_unknown_id_has_no_effect(self) -> None:
        queue = make_queue([(make_call("a", 0.0), 0)], 0.0)
        queue.remove("unknown")
        assert queue.size == 1
        assert not queue.may_attempt("unknown", 0.0)
        assert not queue.is_displaced("unknown")

    def test_an_id_is_accepted_once(self) -> None:
        """Guards against a repeated id that takes two places."""
        queue = make_queue([(make_call("a", 0.0), 1)], 0.0)
        assert not queue.enqueue(make_call("a", 0.1), 0, 0.1)
        assert queue.enqueue(make_call("b", 0.1), 0, 0.1)
        assert not queue.enqueue(make_call("a", 0.1), 0, 0.1)
        queue.remove("a")
        queue.remove("b")
        assert queue.enqueue(make_call("a", 0.1), 0, 0.1)

    def test_polls_of_hundreds_of_waiting_calls_are_cheap(self) -> None:
        """Guards against polls that sort or scan the whole queue."""
        calls = [(make_call(f"{n}", n / 1000), n % 5) for n in range(400)]
        queue = make_queue(calls, 0.4)
        started = time.process_time()
        for poll in range(20):
            now = 0.4 + poll / 20
            for call, _ in calls:
                queue.may_attempt(call.request_id, now)
        # A second of waiting; a sort in each poll takes several times this.
        assert time.process_time() - started < 0.25


class TestWaitDeadline:
    @pytest.mark.parametrize(
        ("call", "now", "deadline"),
        [
            (make_call("on time", 1.0), 1.0, 1.4 - FIRST_EVENT_SECONDS),
            (make_call("at its due time", 1.0), 1.4, 1.4 - FIRST_EVENT_SECONDS),
            (make_call("late", 1.0), 1.41, hold_until(make_call("", 1.0))),
            (
                make_call("returning", 1.0, is_returning=True),
                1.01,
                hold_until(make_call("", 1.0)),
            ),
            (
                make_call("started", 1.0)._replace(response_started=True),
                1.5,
                hold_until(make_call("", 1.0)),
            ),
            (make_call("short", 1.0)._replace(deadline=1.3), 1.0, 1.05),
            (make_call("short, late", 1.0)._replace(deadline=2.0), 1.5, 1.75),
            (
                make_call("long objective", 1.0)._replace(due_at=50.0),
                1.0,
                hold_until(make_call("", 1.0)),
            ),
        ],
        ids=lambda value: value.request_id if isinstance(value, DirectCall) else "",
    )
    def test_deadlines(self, call: DirectCall, now: float, deadline: float) -> None:
        assert wait_deadline(call, now) == pytest.approx(deadline)

    def test_a_call_on_time_isn_t_held_until_it_is_late(self) -> None:
        """Guards against calls that wait and then are placed too late."""
        call = make_call("a", 0.0)
        assert wait_deadline(call, 0.0) + FIRST_EVENT_SECONDS <= call.due_at
        assert call.due_at == STREAM_ROUTE.objective


class TestFirstEvent:
    @pytest.mark.parametrize(
        ("steps", "step_seconds", "expected"),
        [
            (None, 9.0, FIRST_EVENT_SECONDS),
            (StepModel(0.006, 0.001, 6), 0.0, FIRST_EVENT_SECONDS),
            (StepModel(0.006, 0.001, 6), 0.084, 2 * FIRST_EVENT_SECONDS),
        ],
    )
    def test_it_takes_longer_while_steps_are_long(
        self, steps: StepModel | None, step_seconds: float, expected: float
    ) -> None:
        """Guards against calls that wait so long that they are late."""
        assert first_event_seconds(steps, step_seconds) == pytest.approx(expected)
