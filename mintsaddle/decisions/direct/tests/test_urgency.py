"""Order of requests under overload."""

import pytest

from mintsaddle.decisions.direct import (
    HIGHEST_URGENCY,
    LATE_URGENCY,
    DirectCall,
    RouteDeadlines,
    choose_urgency,
)
from mintsaddle.decisions.direct.tests.samples import ROUTE

CALL = DirectCall(
    "id", ROUTE, "llm", "north", arrived_at=0.0, deadline=8.0, due_at=0.4, priority=1
)


class TestUrgency:
    @pytest.mark.parametrize(
        ("call", "now", "urgency"),
        [
            (CALL, 0.0, 1),
            (CALL, 0.4, 1),
            (CALL, 0.41, LATE_URGENCY + 1),
            (CALL._replace(priority=0), 1.0, LATE_URGENCY),
            (CALL._replace(priority=7), 0.0, LATE_URGENCY - 1),
            (CALL._replace(priority=7), 1.0, 9),
            (CALL._replace(response_started=True), 5.0, HIGHEST_URGENCY),
        ],
    )
    def test_what_can_be_on_time_goes_before_what_is_late(
        self, call: DirectCall, now: float, urgency: int
    ) -> None:
        assert choose_urgency(call, now) == urgency


class TestRouteDeadlines:
    def test_a_returning_caller_is_recognised_by_its_time_left(self) -> None:
        """Guards against late callers that go before new ones."""
        deadlines = RouteDeadlines()
        deadlines.note("draft", 8.0)
        deadlines.note("draft", 4.25)
        assert deadlines.is_returning("draft", 4.25)

    def test_callers_with_somewhat_shorter_times_are_new(self) -> None:
        """Guards against new callers ranked late for a shorter deadline."""
        deadlines = RouteDeadlines()
        deadlines.note("draft", 8.0)
        assert not deadlines.is_returning("draft", 6.85)

    def test_a_first_request_is_new(self) -> None:
        assert not RouteDeadlines().is_returning("draft", 3.0)

    def test_shorter_deadlines_are_learned(self) -> None:
        """Guards against callers that count as late permanently."""
        deadlines = RouteDeadlines()
        deadlines.note("draft", 8.0)
        for _ in range(128):
            deadlines.note("draft", 4.0)
        assert not deadlines.is_returning("draft", 4.0)

    def test_removed_routes_are_forgotten(self) -> None:
        """Guards against memory that grows with every published route."""
        deadlines = RouteDeadlines()
        deadlines.note("draft", 8.0)
        deadlines.note("old", 8.0)
        deadlines.keep_only({"draft"})
        assert deadlines.is_returning("draft", 3.0)
        assert not deadlines.is_returning("old", 3.0)
