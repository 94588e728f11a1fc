"""Choice of the endpoint for streams of a service with priority levels."""

import time
from collections.abc import Callable, Iterator

import pytest

from mintsaddle.decisions.direct import (
    Incarnation,
)
from mintsaddle.decisions.overload import (
    FIRST_EVENT_SECONDS,
    MAX_CONCURRENT_ATTEMPTS,
    CallQueue,
)
from mintsaddle.direct import _overload, _turns
from mintsaddle.direct._availability import (
    DISCONNECT_POLL_SECONDS,
    CallerDisconnectedError,
)
from mintsaddle.direct._turns import ATTEMPT_INTERVAL_SECONDS
from mintsaddle.platform.tests.desk import (
    GROUP,
    OBJECTIVE,
    SCHEDULING_SECONDS,
    SLOTS,
    Caller,
    Desk,
    assert_placed,
)
from mintsaddle.values import Reason

MakeDesk = Callable[..., Desk]


@pytest.fixture
def make_desk(monkeypatch: pytest.MonkeyPatch) -> Iterator[MakeDesk]:
    """Make gateways; after the test nothing may be left in their queues."""
    desks: list[Desk] = []

    def make(*priorities: int) -> Desk:
        desks.append(Desk(monkeypatch, priorities))
        return desks[-1]

    yield make
    for desk in desks:
        desk.stop()
        assert desk.waiting == 0
        queue = desk.gateway.overload.queue("desk")
        tickets = int(desk.gateway.overload.next_ticket())
        assert not any(queue.is_displaced(str(n)) for n in range(tickets))


@pytest.fixture
def desk(make_desk: MakeDesk) -> Desk:
    return make_desk(0, 1, 2)


class TestPlacement:
    def test_an_urgent_call_is_placed_when_a_less_urgent_one_is_not(
        self, desk: Desk
    ) -> None:
        """Guards against the least urgent calls taking the last slots."""
        desk.engines.requests = SLOTS - 1
        (last,) = desk.start_waiting(2)
        assert_placed(desk.start(0))
        assert last.join() < OBJECTIVE
        assert last.result is Reason.FULL

    def test_slots_that_become_free_go_to_waiting_calls_in_order(
        self, desk: Desk
    ) -> None:
        """Guards against calls that are placed by chance."""
        desk.engines.fill()
        callers = desk.start_waiting(2, 1, 0, 2, 1, 0)
        order = [callers[n].name for n in (2, 5, 1, 4, 0, 3)]
        for number in range(1, 4):
            desk.engines.leave_room_for_one()
            desk.wait_for_placed(number)
        for number, name in enumerate(desk.engines.placed):
            # Those that attempt placement at the same time have no order.
            waiting = [n for n in order if n not in desk.engines.placed[:number]]
            assert name in waiting[:MAX_CONCURRENT_ATTEMPTS]

    def test_a_placement_lets_the_first_call_attempt_again(
        self, desk: Desk, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against free slots that all go to calls which come up next.

        They attempt placement as soon as they come up, while the first call
        would wait for its next attempt.
        """
        monkeypatch.setattr(_turns, "ATTEMPT_INTERVAL_SECONDS", 10.0)
        desk.engines.fill()
        (first,) = desk.start_waiting(0)
        desk.engines.requests = 0
        room_at = time.monotonic()
        assert_placed(desk.start(2))
        assert_placed(first)
        assert (
            time.monotonic() - room_at < ATTEMPT_INTERVAL_SECONDS + SCHEDULING_SECONDS
        )

    def test_a_new_call_does_not_overtake_a_waiting_one(self, desk: Desk) -> None:
        """Guards against a free slot that goes to whoever arrives then."""
        desk.engines.fill()
        first = desk.start_waiting(*[0] * MAX_CONCURRENT_ATTEMPTS)
        (new,) = desk.start_waiting(1)
        desk.engines.leave_room_for_one()
        desk.wait_for_placed(1)
        assert new.name not in desk.engines.placed
        assert set(desk.engines.placed) <= {caller.name for caller in first}


class TestEndOfWait:
    def test_a_disconnected_call_leaves_and_the_next_goes_on(self, desk: Desk) -> None:
        """Guards against a queue blocked by callers that are gone."""
        desk.engines.fill()
        *first, behind = desk.start_waiting(*[0] * MAX_CONCURRENT_ATTEMPTS, 2)
        left_at = time.monotonic()
        for caller in first:
            caller.left.set()
        desk.wait_for_waiting(1)
        left_seconds = time.monotonic() - left_at
        assert left_seconds < DISCONNECT_POLL_SECONDS + SCHEDULING_SECONDS
        desk.engines.requests = 0
        assert_placed(behind)
        for caller in first:
            caller.join()
            assert isinstance(caller.result, CallerDisconnectedError)

    def test_a_call_behind_others_leaves_when_its_caller_does(self, desk: Desk) -> None:
        """Guards against calls of callers that left while they wait."""
        desk.engines.fill()
        *_, behind = desk.start_waiting(*[0] * MAX_CONCURRENT_ATTEMPTS, 2)
        left_at = time.monotonic()
        behind.left.set()
        behind.join()
        assert isinstance(behind.result, CallerDisconnectedError)
        left_seconds = time.monotonic() - left_at
        assert left_seconds < DISCONNECT_POLL_SECONDS + SCHEDULING_SECONDS

    def test_calls_that_cannot_be_on_time_are_refused_in_time(self, desk: Desk) -> None:
        """Guards against refusals after which callers are late anyway.

        The last one never gets its turn.
        """
        desk.engines.fill()
        for caller in desk.start_waiting(0, 1, 2):
            latest = OBJECTIVE - FIRST_EVENT_SECONDS + SCHEDULING_SECONDS
            assert caller.join() < latest
            assert caller.result is Reason.FULL

    def test_a_call_that_is_displaced_is_refused_at_once(
        self, desk: Desk, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against displaced calls that wait for their deadline."""
        monkeypatch.setattr(_overload, "MAX_WAITING_CALLS", 3)
        desk.engines.fill()
        *first, last = desk.start_waiting(1, 1, 2)
        displaced_at = time.monotonic()
        urgent = desk.start(0)
        last.join()
        assert last.result is Reason.FULL
        seconds = time.monotonic() - displaced_at
        assert seconds < DISCONNECT_POLL_SECONDS + SCHEDULING_SECONDS
        assert not any(caller.has_ended for caller in [urgent, *first])
        assert desk.waiting == 3

    def test_a_displaced_call_that_attempted_is_refused_at_once(
        self, desk: Desk, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a displaced call that waits for its next attempt."""
        monkeypatch.setattr(_overload, "MAX_WAITING_CALLS", 1)
        desk.engines.fill()
        (last,) = desk.start_waiting(2)
        displaced_at = time.monotonic()
        desk.start(0)
        last.join()
        assert last.result is Reason.FULL
        seconds = time.monotonic() - displaced_at
        assert seconds < ATTEMPT_INTERVAL_SECONDS + SCHEDULING_SECONDS

    def test_a_call_for_which_the_queue_has_no_place_is_refused_at_once(
        self, desk: Desk, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against callers that wait for nothing."""
        monkeypatch.setattr(_overload, "MAX_WAITING_CALLS", 2)
        desk.engines.fill()
        desk.start_waiting(0, 0)
        caller = desk.start(2)
        assert caller.join() < SCHEDULING_SECONDS
        assert caller.result is Reason.FULL

    def test_calls_with_one_request_id_keep_their_own_places(self, desk: Desk) -> None:
        """Guards against a repeated id that frees another call's place."""
        desk.engines.fill()
        one = desk.start(0, request_id="same")
        two = desk.start(0, request_id="same")
        desk.wait_for_waiting(2)
        one.left.set()
        one.join()
        assert desk.waiting == 1
        assert not two.has_ended
        desk.engines.requests = 0
        assert_placed(two)


class TestWithoutQueue:
    def test_a_service_without_levels_does_not_use_the_queue(
        self, make_desk: MakeDesk
    ) -> None:
        """Guards against changed decisions where nothing was configured."""
        desk = make_desk(1)
        free = desk.start(1)
        assert_placed(free)
        desk.engines.fill()
        refused = desk.start(1)
        assert refused.join() < SCHEDULING_SECONDS
        assert refused.result is Reason.FULL
        assert desk.gateway.overload.waiting == {}

    def test_a_stream_that_has_begun_does_not_wait(self, desk: Desk) -> None:
        """Guards against interrupted streams that queue behind new ones."""
        desk.engines.fill()
        desk.start_waiting(0, 0, 0)
        call = desk.make_call(2)._replace(response_started=True)
        resumed = Caller(desk.gateway, "resumed", call)
        assert resumed.join() < SCHEDULING_SECONDS
        assert isinstance(resumed.result, Incarnation)
        assert desk.waiting == 3


class TestGroupDown:
    def test_calls_leave_the_queue_and_return_in_order(self, desk: Desk) -> None:
        """Guards against an order by chance when a group returns."""
        desk.engines.fill()
        callers = desk.start_waiting(2, 2, 1, 1, 0, 0)
        desk.gateway.record_group_refusal(GROUP, 1, "i-9")
        desk.wait_for_waiting(0)
        desk.engines.epoch = 2
        desk.gateway.record_group(GROUP, 2, is_open=True)
        desk.wait_for_waiting(6)
        queue = desk.gateway.overload.queue("desk")
        assert isinstance(queue, CallQueue)
        desk.engines.leave_room_for_one()
        desk.wait_for_placed(1)
        urgent = {caller.name for caller in callers[-MAX_CONCURRENT_ATTEMPTS:]}
        assert set(desk.engines.placed) <= urgent

    def test_free_slots_of_a_group_that_returns_go_to_urgent_calls(
        self, desk: Desk
    ) -> None:
        """Guards against the first calls to wake up taking all slots."""
        # Calls that wake up first would all be placed before the others.
        desk.engines.probe_seconds = 0.0
        desk.gateway.record_group_refusal(GROUP, 1, "i-9")
        callers = [desk.start(priority) for priority in (2, 2, 2, 2, 0, 0, 0, 0)]
        time.sleep(0.1)
        assert desk.waiting == 0
        desk.engines.requests = 1
        desk.engines.epoch = 2
        desk.gateway.record_group(GROUP, 2, is_open=True)
        for caller in callers[4:]:
            assert_placed(caller)
        urgent = [caller.name for caller in callers[4:]]
        last_urgent = max(desk.engines.placed.index(name) for name in urgent)
        before = set(desk.engines.placed[:last_urgent]) - set(urgent)
        # Others attempt placement only beside the last urgent call.
        assert len(before) < MAX_CONCURRENT_ATTEMPTS
