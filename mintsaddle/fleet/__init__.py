"""Fleet texts and marks: parsing, checks, comparison and explanation.

A fleet text is the INI text that configures the whole fleet.
"""

from mintsaddle.fleet._explain import explain_service
from mintsaddle.fleet._homes import OrderHomes, find_home, list_homes
from mintsaddle.fleet._marks import NO_MARKS, Marks, read_marks
from mintsaddle.fleet._model import (
    DataCentre,
    Endpoint,
    EntryVm,
    Fleet,
    Group,
    Service,
    ServiceKind,
    Workspace,
)
from mintsaddle.fleet._plan import Change, plan_change
from mintsaddle.fleet._read import read_fleet

__all__ = [
    "NO_MARKS",
    "Change",
    "DataCentre",
    "Endpoint",
    "EntryVm",
    "Fleet",
    "Group",
    "Marks",
    "OrderHomes",
    "Service",
    "ServiceKind",
    "Workspace",
    "explain_service",
    "find_home",
    "list_homes",
    "plan_change",
    "read_fleet",
    "read_marks",
]
