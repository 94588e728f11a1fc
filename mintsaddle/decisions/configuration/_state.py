"""Configuration state of a daemon."""

from typing import NamedTuple

from mintsaddle.fleet import NO_MARKS, Fleet, Marks
from mintsaddle.values import Findings


class RefusedText(NamedTuple):
    """A published value that was refused because of its findings."""

    revision: int
    findings: Findings


class ConfigurationState:
    """Active fleet text and marks of one daemon.

    Both revisions only increase. A value with findings is refused as a whole,
    and the last accepted one stays active.
    """

    def __init__(self) -> None:
        self._text_revision = 0
        self._text = ""
        self._fleet: Fleet | None = None
        self._marks_revision = 0
        self._marks_text = ""
        self._marks = NO_MARKS
        self._refused_text: RefusedText | None = None
        self._refused_marks: RefusedText | None = None

    @property
    def text_revision(self) -> int:
        """Revision of the active text; 0 before the first."""
        return self._text_revision

    @property
    def text(self) -> str:
        """The active text as published, for relaying to other daemons."""
        return self._text

    @property
    def fleet(self) -> Fleet | None:
        """The fleet that the text describes; None before the first."""
        return self._fleet

    @property
    def marks_revision(self) -> int:
        """Revision of the active marks; 0 before the first."""
        return self._marks_revision

    @property
    def marks_text(self) -> str:
        """The active marks as published, for relaying to other daemons."""
        return self._marks_text

    @property
    def marks(self) -> Marks:
        """The active marks."""
        return self._marks

    @property
    def refused_text(self) -> RefusedText | None:
        """The last refused fleet text, for operators."""
        return self._refused_text

    @property
    def refused_marks(self) -> RefusedText | None:
        """The last refused marks, for operators."""
        return self._refused_marks

    def set_text(self, revision: int, text: str, fleet: Fleet) -> None:
        """Make a checked text active; called only by `adopt_text`."""
        self._text_revision = revision
        self._text = text
        self._fleet = fleet

    def set_marks(self, revision: int, text: str, marks: Marks) -> None:
        """Make checked marks active; called only by `adopt_marks`."""
        self._marks_revision = revision
        self._marks_text = text
        self._marks = marks

    def refuse_text(self, refused: RefusedText) -> None:
        """Store a refused text."""
        self._refused_text = refused

    def refuse_marks(self, refused: RefusedText) -> None:
        """Store refused marks."""
        self._refused_marks = refused
