"""Problems found in a configuration text, with their positions."""

from collections.abc import Iterable
from typing import NamedTuple, TypeAlias


class Finding(NamedTuple):
    """One problem, its position, and what a correct text would be."""

    source: str
    """Name of the file or of the published value."""

    line: int
    """Line number from 1; 0 if the finding concerns the whole text."""

    section: str
    """Section of the INI text, or an empty string."""

    key: str
    """Key within the section, or an empty string."""

    problem: str
    """Description of the problem and of a correct text."""

    def __str__(self) -> str:
        where = f"{self.source}:{self.line}" if self.line else self.source
        section = f" [{self.section}]" if self.section else ""
        key = f" {self.key}" if self.key else ""
        return f"{where}:{section}{key}: {self.problem}"


Findings: TypeAlias = tuple[Finding, ...]
"""Findings ordered by line."""


def render_findings(findings: Iterable[Finding]) -> str:
    """Format findings as text, one per line."""
    return "\n".join(str(finding) for finding in findings)
