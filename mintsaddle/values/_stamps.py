"""Metadata that daemons attach to their messages."""

from typing import NamedTuple, TypeAlias

Boot: TypeAlias = int
"""A number drawn at random at start; identifies one run of a daemon or an
engine."""


class Stamp(NamedTuple):
    """The sender of a message and the revision of its configuration."""

    vm: str
    """Name of the sending VM."""

    boot: Boot
    """Boot number of the sending daemon."""

    text_revision: int
    """Revision of the active fleet text; 0 if there is none yet."""

    marks_revision: int
    """Revision of the active marks; 0 if there are none yet."""

    def is_newer_than(self, other: "Stamp") -> bool:
        """Return whether this sender has a newer fleet text or newer marks."""
        newer_text = self.text_revision > other.text_revision
        return newer_text or self.marks_revision > other.marks_revision


class Load(NamedTuple):
    """An endpoint daemon's exact load, sent with each answer to an entry."""

    in_flight: int
    """Requests that were passed to the engine and aren't finished."""

    limit: int
    """Requests that the engine may have in flight now."""

    queued: int
    """Requests that wait for a free slot."""

    leaving: bool
    """Whether the daemon is leaving and refuses new work."""
