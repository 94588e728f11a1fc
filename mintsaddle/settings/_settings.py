"""The typed settings of one daemon."""

import enum
from typing import NamedTuple

from mintsaddle.settings._requests import DEFAULT_REQUEST_LIMITS, RequestLimits


class Role(enum.Enum):
    """Role of a daemon."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class Settings(NamedTuple):
    """Settings of a daemon from its settings file."""

    vm: str
    """Name of the VM in the fleet text."""

    data_centre: str
    role: Role
    address: str
    """IP and port at which other daemons reach this one."""

    platform: str
    """IP and port of the platform's configuration service."""

    peers: tuple[str, ...]
    """IP and port of daemons to ask for the fleet text at the start."""

    http: str
    """IP and port for callers; entries only."""

    threads: int
    """Maximum number of callers served concurrently; entries only."""

    engine: str
    """IP and port of the engine; endpoints only."""

    grace: float
    """Time for which a leaving entry still accepts new callers, in seconds."""

    log_level: str
    memory: int = 268_435_456
    """Memory limit of this process, in bytes."""

    requests: RequestLimits = DEFAULT_REQUEST_LIMITS
    """Limits for the requests of all callers together; entries only."""
