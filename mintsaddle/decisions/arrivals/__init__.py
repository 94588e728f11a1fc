"""Decides what an endpoint daemon does on each arrival and engine event."""

from mintsaddle.decisions.arrivals._commands import (
    apply_configuration,
    cancel,
    close_engine_call,
    handle_arrival,
    handle_engine_down,
    handle_engine_up,
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
    may_exit,
    refusal_reason,
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
    "apply_configuration",
    "cancel",
    "close_engine_call",
    "describe_endpoint_load",
    "handle_arrival",
    "handle_engine_down",
    "handle_engine_up",
    "may_exit",
    "refusal_reason",
    "rules_of",
    "start_leaving",
    "tick",
]
