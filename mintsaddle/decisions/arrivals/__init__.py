"""What an endpoint daemon does with each arrival and each engine event."""

from mintsaddle.decisions.arrivals._commands import (
    arrive,
    cancel,
    close_engine_call,
    confirm,
    follow_text,
    lose,
    start_leaving,
    tick,
)
from mintsaddle.decisions.arrivals._messages import (
    AcceptArrival,
    AnswerArrival,
    Arrival,
    ArrivalAction,
    EngineResult,
    RefuseArrival,
    StartEngine,
)
from mintsaddle.decisions.arrivals._queries import (
    describe_endpoint_load,
    is_refusing,
    may_exit,
    rules_of,
)
from mintsaddle.decisions.arrivals._state import EndpointState

__all__ = [
    "AcceptArrival",
    "AnswerArrival",
    "Arrival",
    "ArrivalAction",
    "EndpointState",
    "EngineResult",
    "RefuseArrival",
    "StartEngine",
    "arrive",
    "cancel",
    "close_engine_call",
    "confirm",
    "describe_endpoint_load",
    "follow_text",
    "is_refusing",
    "lose",
    "may_exit",
    "rules_of",
    "start_leaving",
    "tick",
]
