"""HTTP client for the engine or plain service on the same VM."""

from mintsaddle.engines._calls import (
    EVENT_STREAM,
    EngineCall,
    EngineCallResult,
    EngineHead,
    EngineRequest,
)
from mintsaddle.engines._probe import EngineStatus, probe_engine, send_group_order
from mintsaddle.engines._responses import BoundedConnection, StrictResponse
from mintsaddle.engines._sockets import is_readable, shut_down

__all__ = [
    "EVENT_STREAM",
    "EngineCall",
    "EngineCallResult",
    "EngineHead",
    "EngineRequest",
    "EngineStatus",
    "BoundedConnection",
    "StrictResponse",
    "probe_engine",
    "send_group_order",
    "is_readable",
    "shut_down",
]
