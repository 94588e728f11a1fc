"""Tests arrivals at an endpoint daemon: admission combined with orders."""

import random

import pytest

from mintsaddle.decisions.admission import EngineFeedback
from mintsaddle.decisions.arrivals import (
    AcceptArrival,
    AnswerArrival,
    Arrival,
    ArrivalAction,
    EndpointState,
    EngineResult,
    RefuseArrival,
    StartEngine,
    apply_configuration,
    cancel,
    close_engine_call,
    handle_arrival,
    handle_engine_up,
    start_leaving,
)
from mintsaddle.decisions.configuration import (
    ConfigurationState,
    adopt_marks,
    adopt_text,
)
from mintsaddle.decisions.orders import OrderStatus
from mintsaddle.values import Claim, OrderKey, Reason, issue_key

NOW = 1_800_000_000.0
BOOT = 5
COMPLETE = EngineResult(EngineFeedback.GOOD, True, 200, "text/plain", b"done")
BROKEN = EngineResult(EngineFeedback.FAILED, True)
UNSENT = EngineResult(EngineFeedback.FAILED, False)
TEXT = """
[fleet]
name = arrivals
[data centre a]
region = r
[endpoint one]
data centre = a
address = 10.0.0.1:7
[endpoint two]
data centre = a
address = 10.0.0.2:7
[service letters]
endpoints = one
limit = 2
[service orders]
endpoints = one
repeat = no
limit = 2
"""


class EndpointHarness:
    """Applies events to an endpoint daemon's state."""

    def __init__(self) -> None:
        self.configuration = ConfigurationState()
        adopt_text(self.configuration, 1, TEXT)
        self.state = EndpointState("one", BOOT, NOW - 60.0, self.configuration)
        apply_configuration(self.state, NOW)
        handle_engine_up(self.state, 9, None, NOW)
        self.rng = random.Random(1)

    def key(self, boot: int = BOOT) -> OrderKey:
        """Return a key issued to this home."""
        return issue_key("one", boot, NOW, self.rng)

    def arrive(
        self, name: str, key: OrderKey | None = None
    ) -> tuple[ArrivalAction, ...]:
        """Handle an arriving attempt; return the actions."""
        service = "orders" if key else "letters"
        return handle_arrival(
            self.state, Arrival(name, service, "w", 0, NOW + 9, key), NOW
        )

    def end(self, name: str, result: EngineResult) -> tuple[ArrivalAction, ...]:
        """End an engine call; return the actions."""
        return close_engine_call(self.state, name, result, NOW)


def refusal_of(actions: tuple[ArrivalAction, ...]) -> tuple[Claim, Reason]:
    refused = [item for item in actions if isinstance(item, RefuseArrival)]
    return refused[0].refusal.claim, refused[0].refusal.reason


class TestOrders:
    @pytest.mark.parametrize(
        ("result", "status"),
        [
            (COMPLETE, OrderStatus.DONE),
            (BROKEN, OrderStatus.IN_DOUBT),
            (UNSENT, OrderStatus.TOMBSTONE),
        ],
    )
    def test_second_arrival_gets_the_first_ones_outcome(
        self, result: EngineResult, status: OrderStatus
    ) -> None:
        endpoint = EndpointHarness()
        key = endpoint.key()
        assert endpoint.arrive("r1", key) == (AcceptArrival("r1"), StartEngine("r1"))
        assert endpoint.arrive("r2", key) == (AcceptArrival("r2"),)
        answers = endpoint.end("r1", result)
        repeated = endpoint.arrive("r3", key)
        answered = [
            item for item in (*answers, *repeated) if isinstance(item, AnswerArrival)
        ]
        assert [item.request_id for item in answered] == ["r1", "r2", "r3"]
        assert {item.entry.status for item in answered} == {status}

    def test_order_runs_on_when_its_entry_is_gone(self) -> None:
        endpoint = EndpointHarness()
        endpoint.arrive("r1", endpoint.key())
        assert cancel(endpoint.state, "r1", NOW) == ()
        assert "r1" in endpoint.state.arrivals

    def test_key_of_another_run_is_in_doubt(self) -> None:
        endpoint = EndpointHarness()
        found = refusal_of(endpoint.arrive("r1", endpoint.key(BOOT + 1)))
        assert found == (Claim.MAYBE, Reason.WRONG_HOME)

    def test_former_home_knows_its_keys(self) -> None:
        """Guards against keys that no home answers for after a move."""
        endpoint = EndpointHarness()
        ran, issued = endpoint.key(), endpoint.key()
        endpoint.arrive("r1", ran)
        endpoint.end("r1", COMPLETE)
        moved = TEXT.replace("endpoints = one\nrepeat", "endpoints = two\nrepeat")
        adopt_text(endpoint.configuration, 2, moved)
        apply_configuration(endpoint.state, NOW)
        assert isinstance(endpoint.arrive("r2", ran)[0], AnswerArrival)
        found = refusal_of(endpoint.arrive("r3", issued))
        assert found == (Claim.NEVER, Reason.NOT_SERVED)
        assert isinstance(endpoint.arrive("r4", issued)[0], AnswerArrival)


class TestRefusals:
    def test_leaving_gives_the_queue_back(self) -> None:
        endpoint = EndpointHarness()
        for name in ("r1", "r2", "r3"):
            endpoint.arrive(name)
        found = refusal_of(start_leaving(endpoint.state, NOW))
        assert found == (Claim.NEVER, Reason.LEAVING)
        assert refusal_of(endpoint.arrive("r4")) == (Claim.NEVER, Reason.LEAVING)

    def test_marked_out_refuses_every_sender(self) -> None:
        endpoint = EndpointHarness()
        adopt_marks(endpoint.configuration, 1, "[marks]\ndata centre a = out\n")
        assert refusal_of(endpoint.arrive("r1")) == (Claim.NEVER, Reason.MARKED_OUT)

    def test_doubled_message_is_one_request(self) -> None:
        endpoint = EndpointHarness()
        endpoint.arrive("r1")
        assert endpoint.arrive("r1") == ()

    def test_cancelled_request_makes_room(self) -> None:
        endpoint = EndpointHarness()
        for name in ("r1", "r2", "r3"):
            endpoint.arrive(name)
        assert cancel(endpoint.state, "r1", NOW) == (StartEngine("r3"),)
