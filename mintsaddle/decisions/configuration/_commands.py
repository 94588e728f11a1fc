"""Adoption of newer fleet texts and marks."""

import enum
from collections.abc import Callable
from typing import TypeAlias

from returns.result import Failure, Result, Success

from mintsaddle.decisions.configuration._state import ConfigurationState, RefusedText
from mintsaddle.fleet import Fleet, read_fleet, read_marks
from mintsaddle.values import Findings

CheckText: TypeAlias = Callable[[str, str], Result[Fleet, Findings]]
"""Parses and validates a text, given its source name. A daemon does this in a
worker thread, since large texts take long."""

TEXT_SOURCE = "fleet"
MARKS_SOURCE = "marks"


class Adoption(enum.Enum):
    """Result of offering a published value."""

    ADOPTED = "adopted"
    NOT_NEWER = "not-newer"
    REFUSED = "refused"


def adopt_text(
    state: ConfigurationState,
    revision: int,
    text: str,
    check: CheckText = read_fleet,
) -> Adoption:
    """Make a text active if it is newer and has no findings.

    A revision that is not higher is ignored without being checked, so a stale
    platform replica or a delayed relay can't revert the fleet to an older
    text.
    """
    if revision <= state.text_revision:
        return Adoption.NOT_NEWER
    refused = state.refused_text
    if refused is not None and refused.revision == revision:
        return Adoption.REFUSED
    match check(TEXT_SOURCE, text):
        case Success(fleet):
            state.set_text(revision, text, fleet)
            return Adoption.ADOPTED
        case Failure(findings):
            state.refuse_text(RefusedText(revision, findings))
    return Adoption.REFUSED


def adopt_marks(state: ConfigurationState, revision: int, text: str) -> Adoption:
    """Make marks active if they are newer and have no findings."""
    if revision <= state.marks_revision:
        return Adoption.NOT_NEWER
    refused = state.refused_marks
    if refused is not None and refused.revision == revision:
        return Adoption.REFUSED
    match read_marks(MARKS_SOURCE, text):
        case Success(marks):
            state.set_marks(revision, text, marks)
            return Adoption.ADOPTED
        case Failure(findings):
            state.refuse_marks(RefusedText(revision, findings))
    return Adoption.REFUSED
