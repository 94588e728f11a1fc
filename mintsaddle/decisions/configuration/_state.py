"""What a daemon holds of the published configuration."""

from typing import NamedTuple

from mintsaddle.fleet import NO_MARKS, Fleet, Marks
from mintsaddle.values import Findings


class RefusedText(NamedTuple):
    """A published value that had findings and so was never put in force."""

    revision: int
    findings: Findings


class ConfigurationState:
    """The fleet text and marks in force in one daemon.

    Both revisions only rise. A value with findings is refused whole, and the
    last accepted one stays.
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
        """Revision of the text in force; 0 before the first."""
        return self._text_revision

    @property
    def text(self) -> str:
        """The text in force, to be passed on to other daemons."""
        return self._text

    @property
    def fleet(self) -> Fleet | None:
        """The fleet that the text describes; None before the first."""
        return self._fleet

    @property
    def marks_revision(self) -> int:
        """Revision of the marks in force; 0 before the first."""
        return self._marks_revision

    @property
    def marks_text(self) -> str:
        """The marks in force as published."""
        return self._marks_text

    @property
    def marks(self) -> Marks:
        """The marks in force."""
        return self._marks

    @property
    def refused_text(self) -> RefusedText | None:
        """The newest fleet text that was refused, for operators."""
        return self._refused_text

    @property
    def refused_marks(self) -> RefusedText | None:
        """The newest marks that were refused, for operators."""
        return self._refused_marks

    def set_text(self, revision: int, text: str, fleet: Fleet) -> None:
        """Put a checked text in force; `adopt_text` is its only caller."""
        self._text_revision = revision
        self._text = text
        self._fleet = fleet

    def set_marks(self, revision: int, text: str, marks: Marks) -> None:
        """Put checked marks in force; `adopt_marks` is its only caller."""
        self._marks_revision = revision
        self._marks_text = text
        self._marks = marks

    def refuse_text(self, refused: RefusedText) -> None:
        """Remember a refused text."""
        self._refused_text = refused

    def refuse_marks(self, refused: RefusedText) -> None:
        """Remember refused marks."""
        self._refused_marks = refused
