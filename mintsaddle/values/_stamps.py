"""What rides on every message between daemons."""

from typing import NamedTuple, TypeAlias

Boot: TypeAlias = int
"""A random number drawn at start; names one run of one daemon or engine."""


class Stamp(NamedTuple):
    """Who speaks, and how new its configuration is."""

    vm: str
    """Name of the sending VM."""

    boot: Boot
    """The run of the sending daemon."""

    text_revision: int
    """Revision of the fleet text in force; 0 before the first."""

    marks_revision: int
    """Revision of the marks in force; 0 before the first."""

    def is_newer_than(self, other: "Stamp") -> bool:
        """Return whether this sender knows something newer."""
        newer_text = self.text_revision > other.text_revision
        return newer_text or self.marks_revision > other.marks_revision


class Load(NamedTuple):
    """An endpoint daemon's exact load, sent on every answer to an entry."""

    in_flight: int
    """Requests given to the engine and not yet over."""

    limit: int
    """Requests that the engine may hold now."""

    queued: int
    """Requests waiting for a place."""

    leaving: bool
    """Whether new work is refused."""
