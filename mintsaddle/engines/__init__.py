"""The HTTP side towards an engine or a plain service on the same VM."""

from mintsaddle.engines._calls import (
    EVENT_STREAM,
    EngineCall,
    EngineEnd,
    EngineHead,
    EngineRequest,
)
from mintsaddle.engines._probe import EngineSight, probe_engine, send_group_order
from mintsaddle.engines._sockets import shut_down

__all__ = [
    "EVENT_STREAM",
    "EngineCall",
    "EngineEnd",
    "EngineHead",
    "EngineRequest",
    "EngineSight",
    "probe_engine",
    "send_group_order",
    "shut_down",
]
