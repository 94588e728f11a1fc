"""Adopts published fleet texts and marks and relays them between daemons."""

from mintsaddle.decisions.configuration._commands import (
    Adoption,
    adopt_marks,
    adopt_text,
)
from mintsaddle.decisions.configuration._gate import ReadinessGate, is_open
from mintsaddle.decisions.configuration._queries import (
    choose_startup_peers,
    is_out,
    make_stamp,
    must_wait_for_text,
)
from mintsaddle.decisions.configuration._relays import (
    FAN_OUT,
    READERS_PER_DATA_CENTRE,
    Source,
    SourceKind,
    choose_sources,
)
from mintsaddle.decisions.configuration._state import ConfigurationState, RefusedText

__all__ = [
    "FAN_OUT",
    "READERS_PER_DATA_CENTRE",
    "Adoption",
    "ConfigurationState",
    "ReadinessGate",
    "RefusedText",
    "Source",
    "SourceKind",
    "adopt_marks",
    "adopt_text",
    "choose_sources",
    "choose_startup_peers",
    "is_open",
    "is_out",
    "make_stamp",
    "must_wait_for_text",
]
