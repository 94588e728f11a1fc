"""A discrete-event model of the whole system: real decisions, fake I/O.

It runs the same decision code as the daemons on virtual time and injects
faults at each step of one watched request. An oracle then compares what the
fake engines executed with the answers that each caller received.
"""

from fakes.model._faults import FAULTS, PLANNED, STEPS
from fakes.model._matrix import Cell, CellResult, run_cell
from fakes.model._oracle import Violation

__all__ = [
    "FAULTS",
    "PLANNED",
    "STEPS",
    "Cell",
    "CellResult",
    "Violation",
    "run_cell",
]
