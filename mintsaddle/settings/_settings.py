"""The typed settings of one daemon."""

import enum
from typing import NamedTuple


class Role(enum.Enum):
    """What a daemon does."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class Settings(NamedTuple):
    """What a daemon learns from its settings file."""

    vm: str
    """Its name in the fleet text."""

    data_centre: str
    role: Role
    address: str
    """IP and port at which other daemons reach it."""

    platform: str
    """IP and port of the platform's configuration service."""

    peers: tuple[str, ...]
    """Daemons to ask at the start, as IP and port, when no text is known."""

    http: str
    """IP and port for callers; entries only."""

    threads: int
    """Callers served at one time; entries only."""

    engine: str
    """IP and port of the engine; endpoints only."""

    grace: float
    """Seconds for which a leaving entry still serves new callers."""

    log_level: str
