"""Tests calls at an entry: attempts, chunks and outcomes."""

import random

import pytest

from mintsaddle.decisions.calls import (
    AttemptAccepted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    CallEvent,
    CallRequest,
    CallState,
    CancelAttempt,
    ChunkArrived,
    DeliverChunk,
    EndArrived,
    FinishCall,
    HeadArrived,
    RoutingContext,
    SendAttempt,
    TimerFired,
    handle_event,
    start_call,
)
from mintsaddle.decisions.calls._messages import CallAction
from mintsaddle.decisions.routing import RoutingState, record_load
from mintsaddle.fleet import NO_MARKS, read_fleet
from mintsaddle.values import Claim, Load, OrderKey, Outcome, Reason, Refusal, parse_key

TEXT = """
[fleet]
name = calls
[data centre a]
region = r
[endpoint one]
data centre = a
address = 10.0.0.1:7
[endpoint two]
data centre = a
address = 10.0.0.2:7
[service letters]
endpoints = one two
resume = yes
[service notes]
endpoints = one two
[service orders]
endpoints = one two
repeat = no
"""
FLEET = read_fleet("fleet", TEXT).unwrap()
NOW = 1_800_000_000.0
SUPPLIED_KEY = parse_key("01938a3c-8000-7000-8000-000000000001").unwrap()
NEVER = Refusal(Claim.NEVER, Reason.FULL, NOW + 1)
NONE = Refusal(Claim.NONE, Reason.HOME_UNCONFIRMED, NOW + 1)
MAYBE = Refusal(Claim.MAYBE, Reason.MEMORY_LOST, NOW + 1)
FAILED = AttemptFailed(1, sent=True)
UNSENT = AttemptFailed(1, sent=False)


class CallHarness:
    """Applies events to a call and collects its actions."""

    def __init__(self, service: str, key: OrderKey | None = None) -> None:
        routing = RoutingState("entry", "a")
        for name in FLEET.endpoints:
            record_load(routing, name, 5, Load(0, 4, 0, False), NOW)
        self.context = RoutingContext(FLEET, NO_MARKS, routing, random.Random(1))
        request = CallRequest("r", FLEET.services[service], "w", 0, NOW + 10, key=key)
        self.state = CallState(request)
        self.actions: list[CallAction] = []
        self.actions += start_call(self.state, self.context, NOW)

    def apply(self, *events: CallEvent, now: float = NOW) -> "CallHarness":
        """Apply events in order."""
        for event in events:
            self.actions += handle_event(self.state, self.context, event, now)
        return self

    def sent(self) -> list[SendAttempt]:
        """Return the attempts sent so far."""
        return [item for item in self.actions if isinstance(item, SendAttempt)]

    def finish(self) -> FinishCall | None:
        """Return the call's outcome, if it has ended."""
        last = [item for item in self.actions if isinstance(item, FinishCall)]
        assert len(last) <= 1, last
        return last[0] if last else None

    def data(self) -> bytes:
        """Return the data delivered to the caller."""
        chunks = [item.data for item in self.actions if isinstance(item, DeliverChunk)]
        return b"".join(chunks)


class TestChunks:
    @pytest.mark.parametrize(
        "order",
        [
            ("head", 1, 2, 3, "end"),
            ("head", 2, 1, 3, "end"),
            (1, "head", "end", 3, 2),
            ("head", 1, 1, 2, 2, 3, "end", "end"),
            ("end", 3, 2, 1, "head"),
        ],
    )
    def test_any_order_gives_the_whole_answer(self, order: tuple[object, ...]) -> None:
        call = CallHarness("letters")
        for item in order:
            if item == "head":
                call.apply(HeadArrived(1, 200, "text/plain"))
            elif item == "end":
                call.apply(EndArrived(1, 3))
            else:
                assert isinstance(item, int)
                call.apply(ChunkArrived(1, item, b"abc"[item - 1 : item]))
        finish = call.finish()
        assert finish is not None, order
        assert (finish.outcome, call.data()) == (Outcome.DONE, b"abc"), order

    def test_end_without_a_chunk_is_not_whole(self) -> None:
        call = CallHarness("letters")
        call.apply(HeadArrived(1, 200, ""), ChunkArrived(1, 1, b"a"), EndArrived(1, 2))
        assert call.finish() is None

    def test_chunks_of_an_old_attempt_are_dropped(self) -> None:
        call = CallHarness("letters").apply(
            HeadArrived(1, 200, ""),
            ChunkArrived(1, 1, b"a"),
            FAILED,
            ChunkArrived(1, 2, b"x"),
            ChunkArrived(2, 2, b"b"),
            EndArrived(2, 2),
        )
        assert call.data() == b"ab"
        assert [item.resume_after for item in call.sent()] == [0, 1]


class TestOutcome:
    @pytest.mark.parametrize(
        ("service", "key", "events", "outcome"),
        [
            (
                "letters",
                None,
                [AttemptRefused(1, NEVER), AttemptRefused(2, NEVER)],
                "not-run",
            ),
            ("letters", None, [FAILED, AttemptRefused(2, NEVER)], "ask-again"),
            (
                "letters",
                None,
                [
                    AttemptAccepted(1),
                    AttemptRefused(1, NEVER),
                    AttemptRefused(2, NEVER),
                ],
                "not-run",
            ),
            ("letters", None, [UNSENT, AttemptRefused(2, NEVER)], "not-run"),
            ("orders", SUPPLIED_KEY, [AttemptRefused(1, NEVER)], "not-run"),
            ("orders", SUPPLIED_KEY, [AttemptRefused(1, NONE)], "ask-again"),
            ("orders", SUPPLIED_KEY, [AttemptRefused(1, MAYBE)], "in-doubt"),
            ("orders", SUPPLIED_KEY, [UNSENT], "ask-again"),
            ("orders", SUPPLIED_KEY, [FAILED], "in-doubt"),
            ("orders", SUPPLIED_KEY, [AttemptAccepted(1), FAILED], "in-doubt"),
            ("orders", None, [FAILED], "in-doubt"),
            ("orders", None, [UNSENT, AttemptFailed(2, sent=False)], "not-run"),
            ("orders", None, [UNSENT, AttemptFailed(2, sent=True)], "in-doubt"),
        ],
    )
    def test_claims_no_more_than_is_known(
        self,
        service: str,
        key: OrderKey | None,
        events: list[CallEvent],
        outcome: str,
    ) -> None:
        finish = CallHarness(service, key).apply(*events).finish()
        assert finish is not None
        assert finish.outcome.value == outcome, events

    def test_cut_answer_of_an_engine_that_cant_resume(self) -> None:
        call = CallHarness("notes").apply(
            HeadArrived(1, 200, ""), ChunkArrived(1, 1, b"a"), FAILED
        )
        finish = call.finish()
        assert finish is not None
        assert (finish.outcome, finish.delivered) == (Outcome.ASK_AGAIN, 1)

    def test_refused_order_gets_a_fresh_key_for_another_home(self) -> None:
        call = CallHarness("orders", SUPPLIED_KEY).apply(AttemptRefused(1, NEVER))
        finish = call.finish()
        assert finish is not None
        assert finish.fresh_key is not None
        assert finish.fresh_key.text != SUPPLIED_KEY.text

    def test_order_is_never_sent_twice_by_an_entry(self) -> None:
        call = CallHarness("orders").apply(FAILED, TimerFired(), now=NOW + 11)
        assert len(call.sent()) == 1


class TestTime:
    def test_unresponsive_endpoint_is_left_for_another(self) -> None:
        """Guards against calls that wait for a frozen endpoint daemon."""
        call = CallHarness("letters").apply(TimerFired(), now=NOW + 0.6)
        cancelled = [item for item in call.actions if isinstance(item, CancelAttempt)]
        assert [item.attempt for item in cancelled] == [1]
        assert call.sent()[0].endpoint != call.sent()[1].endpoint

    def test_deadline_ends_the_call(self) -> None:
        call = CallHarness("letters").apply(
            AttemptAccepted(1), TimerFired(), now=NOW + 10
        )
        finish = call.finish()
        assert finish is not None
        assert (finish.outcome, finish.reason) == (Outcome.ASK_AGAIN, Reason.TOO_LATE)

    def test_caller_that_hangs_up_cancels(self) -> None:
        call = CallHarness("letters").apply(AttemptAccepted(1), CallerDisconnected())
        assert isinstance(call.actions[-1], CancelAttempt)

    def test_order_of_a_caller_that_hangs_up_runs_on(self) -> None:
        call = CallHarness("orders", SUPPLIED_KEY).apply(
            AttemptAccepted(1), CallerDisconnected()
        )
        assert not any(isinstance(item, CancelAttempt) for item in call.actions)
