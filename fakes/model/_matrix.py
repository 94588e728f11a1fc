"""One cell of the fault matrix: a kind of request, a step and faults."""

from functools import partial
from typing import NamedTuple

from fakes.model._callers import RequestKind
from fakes.model._faults import FAULTS, PLANNED
from fakes.model._oracle import Violation, find_violations
from fakes.model._site import Site
from mintsaddle.values import stable_hash

_SECOND_FAULT_DELAY = 0.1


class Cell(NamedTuple):
    """A kind of request, and the faults injected at one of its steps."""

    kind: str
    step: str
    faults: tuple[str, ...]
    skewed: bool = False
    """Whether clocks differ by the whole clock bound."""

    def __str__(self) -> str:
        clocks = ", clocks apart" if self.skewed else ""
        return f"{self.kind} at '{self.step}': {' + '.join(self.faults)}{clocks}"


class CellResult(NamedTuple):
    """The outcome of one cell."""

    cell: Cell
    violations: list[Violation]
    reached: bool
    """Whether the step was reached, so that the faults were injected."""

    executions: int
    answers: int


def run_cell(cell: Cell) -> CellResult:
    """Run a cell; the result is deterministic, as the cell seeds the run."""
    site = Site(RequestKind(cell.kind), stable_hash(str(cell)) % 2**32, cell.skewed)
    site.start()
    first, *others = cell.faults
    hooks = site.world.hooks.setdefault(cell.step, [])
    hooks.append(partial(FAULTS[first], site))
    for fault in others:
        # A message fault waits for its message. Other faults follow shortly
        # after, while the system still reacts to the first one.
        inject = partial(FAULTS[fault], site)
        if fault.startswith(("request", "reply")):
            hooks.append(inject)
        else:
            hooks.append(partial(site.world.after, _SECOND_FAULT_DELAY, inject))
    site.run()
    reached = cell.step not in site.world.hooks
    planned = all(fault in PLANNED for fault in cell.faults)
    violations = find_violations(site, cell.faults, planned)
    answers = sum(len(caller.answers) for caller in site.callers)
    return CellResult(cell, violations, reached, len(site.world.executions), answers)
