"""A small model: the product's decisions on virtual time, with fake I/O.

It drives the same decision code as the daemons, brings about faults at each
step of a watched request, and an oracle compares what the fake engines ran
with what each caller was told.
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
