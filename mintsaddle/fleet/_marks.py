"""Marks: data centres and VMs that operators take out of service."""

from typing import NamedTuple

from returns.result import Failure, Result, Success

from mintsaddle.fleet._model import Fleet
from mintsaddle.ini import FieldReader, Section, read_document
from mintsaddle.values import Finding, Findings

_SECTION = "marks"
_DATA_CENTRE = "data centre "
_VM = "vm "
_STATES = ("in", "out")


class Marks(NamedTuple):
    """Data centres and VMs that are marked out."""

    data_centres: frozenset[str]
    vms: frozenset[str]

    def is_out(self, fleet: Fleet, vm: str) -> bool:
        """Return whether a VM gets no new work."""
        return vm in self.vms or fleet.data_centre_of(vm) in self.data_centres


NO_MARKS = Marks(frozenset(), frozenset())
"""Marks with everything in service."""


def read_marks(source: str, text: str) -> Result[Marks, Findings]:
    """Return the marks in an INI text, or all findings.

    A name that the fleet text doesn't list is not a finding: marks and fleet
    text are published separately, and either may arrive first.
    """
    document = read_document(source, text)
    findings = list(document.findings)
    data_centres: set[str] = set()
    vms: set[str] = set()
    for section in document.sections:
        if section.name != _SECTION:
            problem = f"is not a known section; use [{_SECTION}]"
            findings.append(Finding(source, section.line, section.name, "", problem))
            continue
        _read_section(source, section, data_centres, vms, findings)
    if findings:
        return Failure(tuple(findings))
    return Success(Marks(frozenset(data_centres), frozenset(vms)))


def _read_section(
    source: str,
    section: Section,
    data_centres: set[str],
    vms: set[str],
    findings: list[Finding],
) -> None:
    fields = FieldReader(source, section, findings)
    for key in section.values:
        state = fields.read_choice(key, _STATES, "in")
        if key.startswith(_DATA_CENTRE):
            names = data_centres
        elif key.startswith(_VM):
            names = vms
        else:
            fields.report(key, "is unknown; use 'data centre NAME' or 'vm NAME'")
            continue
        if state == "out":
            names.add(key.split()[-1])
