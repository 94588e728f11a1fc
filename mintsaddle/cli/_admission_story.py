"""Describes how a request was admitted or refused by its priority level."""

import re
from collections.abc import Callable, Iterable, Mapping

_FIELD_PATTERN = re.compile(r'\b(\w+)=("(?:[^"\\]|\\.)*"|\S+)')

_NOT_ADMITTED = "] Request not admitted "


def describe_admission(texts: Iterable[str]) -> str:
    """Return a sentence for each step of a request's admission.

    Args:
        texts: The messages that name the request, ordered by time.

    Returns:
        An empty string if no line is about admission by priority level.
    """
    sentences = [
        describe(_parse_fields(text))
        for text in texts
        for sentence, describe in _STEPS.items()
        if sentence in text
    ]
    return " ".join(filter(None, sentences))


def is_refused_by_level(texts: Iterable[str]) -> bool:
    """Return whether the last refusal of admission was by priority level."""
    refusals = [text for text in texts if _NOT_ADMITTED in text]
    return bool(refusals) and _parse_fields(refusals[-1]).get("part") == "levels"


def _parse_fields(text: str) -> Mapping[str, str]:
    return dict(_FIELD_PATTERN.findall(text.removesuffix(".")))


def _describe_over_share(found: Mapping[str, str]) -> str:
    own, level = found.get("own_level", "?"), found.get("level", "?")
    judged = f"like level {level}" if level != own else "as late"
    workspace = found.get("workspace", "?")
    return (
        f"Workspace {workspace} was over its share, so the request of level {own} "
        f"was treated {judged}."
    )


def _describe_waiting(found: Mapping[str, str]) -> str:
    place, waiting = found.get("position", "?"), found.get("waiting", "?")
    return (
        f"It began to wait at place {place} of {waiting} in the queue, for at most "
        f"{found.get('until', '?')} s."
    )


def _describe_displaced(found: Mapping[str, str]) -> str:
    return (
        f"After {found.get('waited', '?')} s it was displaced from the full queue by "
        "a request that goes first."
    )


def _describe_refusal(found: Mapping[str, str]) -> str:
    if found.get("part") != "levels":
        return ""
    late = " (late)" if found.get("late") == "True" else ""
    engines = "no probed engine reported its load"
    if found.get("probed", "0") != "0":
        engines = (
            f"the engines probed ({found['probed']}) had "
            f"{found.get('requests', '?')} requests for {found.get('slots', '?')} slots"
        )
    return (
        f"It was not admitted at level {found.get('level', '?')}{late}: {engines}, "
        f"the queue had {found.get('waiting', '?')} requests, and capacity was "
        f"expected after {found.get('expected', '?')} s."
    )


_STEPS: Mapping[str, Callable[[Mapping[str, str]], str]] = {
    "] Request over share ": _describe_over_share,
    "] Request waits ": _describe_waiting,
    "] Request displaced ": _describe_displaced,
    _NOT_ADMITTED: _describe_refusal,
}
