"""One cell of the fault matrix: a kind of request, a step, its faults."""

from functools import partial
from typing import NamedTuple

from fakes.model._callers import Kind
from fakes.model._faults import FAULTS, PLANNED
from fakes.model._oracle import Violation, find_violations
from fakes.model._site import Site
from mintsaddle.values import stable_hash

_SECOND_FAULT = 0.1


class Cell(NamedTuple):
    """What is tried."""

    kind: str
    step: str
    faults: tuple[str, ...]
    skewed: bool = False
    """Whether clocks are apart by the whole bound."""

    def __str__(self) -> str:
        clocks = ", clocks apart" if self.skewed else ""
        return f"{self.kind} at '{self.step}': {' + '.join(self.faults)}{clocks}"


class CellResult(NamedTuple):
    """What came of it."""

    cell: Cell
    violations: list[Violation]
    reached: bool
    """Whether the step was reached, so that the faults took place."""

    executions: int
    answers: int


def run_cell(cell: Cell) -> CellResult:
    """Run a cell; the same cell gives the same result each time."""
    site = Site(Kind(cell.kind), stable_hash(str(cell)) % 2**32, cell.skewed)
    site.start()
    first, *others = cell.faults
    hooks = site.world.hooks.setdefault(cell.step, [])
    hooks.append(partial(FAULTS[first], site))
    for fault in others:
        # A fault of a message waits for the message; others strike a moment
        # later, in the midst of what the first one has set off.
        strike = partial(FAULTS[fault], site)
        if fault.startswith(("request", "reply")):
            hooks.append(strike)
        else:
            hooks.append(partial(site.world.after, _SECOND_FAULT, strike))
    site.run()
    reached = cell.step not in site.world.hooks
    planned = all(fault in PLANNED for fault in cell.faults)
    violations = find_violations(site, cell.faults, planned)
    answers = sum(len(caller.told) for caller in site.callers)
    return CellResult(cell, violations, reached, len(site.world.executions), answers)
