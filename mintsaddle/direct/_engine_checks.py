"""Checks whether an engine has ended or only a connection to it."""

import enum
import socket
from typing import Final

CHECK_TIMEOUT_SECONDS: Final = 0.15
"""Timeout of a connection. Round trips within a region take a few
milliseconds."""


class EngineState(enum.Enum):
    """What a new connection shows about an engine."""

    RUNNING = "running"
    """Something listens at its address."""

    ENDED = "ended"
    """Its VM refuses connections: nothing listens at its address."""

    UNKNOWN = "unknown"
    """Its VM doesn't answer."""


def check_engine(
    address: str, timeout_seconds: float = CHECK_TIMEOUT_SECONDS
) -> EngineState:
    """Return the state of the engine at an address, by a new connection."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout_seconds).close()
    except ConnectionRefusedError:
        return EngineState.ENDED
    except OSError:
        return EngineState.UNKNOWN
    return EngineState.RUNNING
