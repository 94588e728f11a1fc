"""Arrivals at an endpoint daemon: admission and orders together."""

import random

import pytest

from mintsaddle.decisions.admission import Evidence
from mintsaddle.decisions.arrivals import (
    AcceptArrival,
    AnswerArrival,
    Arrival,
    ArrivalAction,
    EndpointState,
    EngineResult,
    RefuseArrival,
    StartEngine,
    arrive,
    cancel,
    close_engine_call,
    confirm,
    follow_text,
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
WHOLE = EngineResult(Evidence.GOOD, True, 200, "text/plain", b"done")
BROKEN = EngineResult(Evidence.FAILED, True)
UNSENT = EngineResult(Evidence.FAILED, False)
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


class Endpoint:
    """An endpoint daemon's state, driven by hand."""

    def __init__(self) -> None:
        self.configuration = ConfigurationState()
        adopt_text(self.configuration, 1, TEXT)
        self.state = EndpointState("one", BOOT, NOW - 60.0, self.configuration)
        follow_text(self.state, NOW)
        confirm(self.state, 9, None, NOW)
        self.rng = random.Random(1)

    def key(self, boot: int = BOOT) -> OrderKey:
        """Return a key issued to this home."""
        return issue_key("one", boot, NOW, self.rng)

    def arrive(
        self, name: str, key: OrderKey | None = None
    ) -> tuple[ArrivalAction, ...]:
        """Let an attempt arrive."""
        service = "orders" if key else "letters"
        return arrive(self.state, Arrival(name, service, "w", 0, NOW + 9, key), NOW)

    def end(self, name: str, result: EngineResult) -> tuple[ArrivalAction, ...]:
        """Let an engine call end."""
        return close_engine_call(self.state, name, result, NOW)


def refusal_of(actions: tuple[ArrivalAction, ...]) -> tuple[Claim, Reason]:
    refused = [item for item in actions if isinstance(item, RefuseArrival)]
    return refused[0].refusal.claim, refused[0].refusal.reason


class TestOrders:
    @pytest.mark.parametrize(
        ("result", "status"),
        [
            (WHOLE, OrderStatus.DONE),
            (BROKEN, OrderStatus.IN_DOUBT),
            (UNSENT, OrderStatus.TOMBSTONE),
        ],
    )
    def test_second_arrival_gets_the_first_ones_fate(
        self, result: EngineResult, status: OrderStatus
    ) -> None:
        endpoint = Endpoint()
        key = endpoint.key()
        assert endpoint.arrive("r1", key) == (AcceptArrival("r1"), StartEngine("r1"))
        assert endpoint.arrive("r2", key) == (AcceptArrival("r2"),)
        answers = endpoint.end("r1", result)
        later = endpoint.arrive("r3", key)
        told = [item for item in (*answers, *later) if isinstance(item, AnswerArrival)]
        assert [item.request_id for item in told] == ["r1", "r2", "r3"]
        assert {item.entry.status for item in told} == {status}

    def test_order_runs_on_when_its_entry_is_gone(self) -> None:
        endpoint = Endpoint()
        endpoint.arrive("r1", endpoint.key())
        assert cancel(endpoint.state, "r1", NOW) == ()
        assert "r1" in endpoint.state.arrivals

    def test_key_of_another_run_is_in_doubt(self) -> None:
        endpoint = Endpoint()
        found = refusal_of(endpoint.arrive("r1", endpoint.key(BOOT + 1)))
        assert found == (Claim.MAYBE, Reason.WRONG_HOME)

    def test_former_home_knows_its_keys(self) -> None:
        """Guards against keys of a former home that nobody answers for."""
        endpoint = Endpoint()
        ran, issued = endpoint.key(), endpoint.key()
        endpoint.arrive("r1", ran)
        endpoint.end("r1", WHOLE)
        moved = TEXT.replace("endpoints = one\nrepeat", "endpoints = two\nrepeat")
        adopt_text(endpoint.configuration, 2, moved)
        follow_text(endpoint.state, NOW)
        assert isinstance(endpoint.arrive("r2", ran)[0], AnswerArrival)
        found = refusal_of(endpoint.arrive("r3", issued))
        assert found == (Claim.NEVER, Reason.NOT_SERVED)
        assert isinstance(endpoint.arrive("r4", issued)[0], AnswerArrival)


class TestRefusals:
    def test_leaving_gives_the_queue_back(self) -> None:
        endpoint = Endpoint()
        for name in ("r1", "r2", "r3"):
            endpoint.arrive(name)
        found = refusal_of(start_leaving(endpoint.state, NOW))
        assert found == (Claim.NEVER, Reason.LEAVING)
        assert refusal_of(endpoint.arrive("r4")) == (Claim.NEVER, Reason.LEAVING)

    def test_marked_out_refuses_whoever_sends(self) -> None:
        endpoint = Endpoint()
        adopt_marks(endpoint.configuration, 1, "[marks]\ndata centre a = out\n")
        assert refusal_of(endpoint.arrive("r1")) == (Claim.NEVER, Reason.MARKED_OUT)

    def test_doubled_message_is_one_request(self) -> None:
        endpoint = Endpoint()
        endpoint.arrive("r1")
        assert endpoint.arrive("r1") == ()

    def test_cancelled_request_makes_room(self) -> None:
        endpoint = Endpoint()
        for name in ("r1", "r2", "r3"):
            endpoint.arrive(name)
        assert cancel(endpoint.state, "r1", NOW) == (StartEngine("r3"),)
