"""Which fleet text and marks are in force, and how news of them travels."""

from mintsaddle.decisions.configuration._commands import (
    Adoption,
    adopt_marks,
    adopt_text,
)
from mintsaddle.decisions.configuration._gate import StartGate, is_open
from mintsaddle.decisions.configuration._queries import (
    choose_first_peers,
    is_out,
    make_stamp,
    must_wait_for_text,
)
from mintsaddle.decisions.configuration._relays import (
    FAN_OUT,
    READERS,
    Source,
    SourceKind,
    choose_sources,
)
from mintsaddle.decisions.configuration._state import ConfigurationState, RefusedText

__all__ = [
    "FAN_OUT",
    "READERS",
    "Adoption",
    "ConfigurationState",
    "RefusedText",
    "Source",
    "SourceKind",
    "StartGate",
    "adopt_marks",
    "adopt_text",
    "choose_first_peers",
    "choose_sources",
    "is_open",
    "is_out",
    "make_stamp",
    "must_wait_for_text",
]
