"""Findings: what is wrong with a text, and where, for a person to mend."""

from collections.abc import Iterable
from typing import NamedTuple, TypeAlias


class Finding(NamedTuple):
    """One thing that is wrong, where it is, and what would be right."""

    source: str
    """Name of the file or published value."""

    line: int
    """Line counted from 1; 0 when the finding is about the whole text."""

    section: str
    """Section of the INI text, or an empty string."""

    key: str
    """Key within the section, or an empty string."""

    problem: str
    """What is wrong, and what would be right."""

    def __str__(self) -> str:
        where = f"{self.source}:{self.line}" if self.line else self.source
        section = f" [{self.section}]" if self.section else ""
        key = f" {self.key}" if self.key else ""
        return f"{where}:{section}{key}: {self.problem}"


Findings: TypeAlias = tuple[Finding, ...]
"""Findings in the order of their lines."""


def render_findings(findings: Iterable[Finding]) -> str:
    """Return one line of text for each finding."""
    return "\n".join(str(finding) for finding in findings)
