"""Adopting a newer fleet text or newer marks."""

import enum
from collections.abc import Callable
from typing import TypeAlias

from returns.result import Failure, Result, Success

from mintsaddle.decisions.configuration._state import ConfigurationState, RefusedText
from mintsaddle.fleet import Fleet, read_fleet, read_marks
from mintsaddle.values import Findings

CheckText: TypeAlias = Callable[[str, str], Result[Fleet, Findings]]
"""Checks a text; a daemon does that aside, since a large one takes a while."""

TEXT_SOURCE = "fleet"
MARKS_SOURCE = "marks"


class Adoption(enum.Enum):
    """What became of a published value."""

    ADOPTED = "adopted"
    NOT_NEWER = "not-newer"
    REFUSED = "refused"


def adopt_text(
    state: ConfigurationState,
    revision: int,
    text: str,
    check: CheckText = read_fleet,
) -> Adoption:
    """Put a text in force if it is newer and has no findings.

    Guards against a stale platform replica or a late relay, which would show
    as a fleet falling back to an older text: a revision that isn't higher is
    never looked at.
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
    """Put marks in force if they are newer and have no findings."""
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
