"""What a caller sends, and what it gets in the end."""

from collections.abc import Iterator
from typing import Any, NamedTuple, TypeAlias

from mintsaddle.decisions.direct import GiveUp


class CallerMessage(NamedTuple):
    """The caller's HTTP request, as it is passed on."""

    environ: dict[str, Any]
    method: str
    target: str
    """Raw path and query."""

    body: bytes


class WholeAnswer(NamedTuple):
    """An endpoint's whole answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class StreamAnswer(NamedTuple):
    """A stream that has begun."""

    status: int
    headers: list[tuple[str, str]]
    events: Iterator[bytes]


CallAnswer: TypeAlias = WholeAnswer | StreamAnswer | GiveUp
"""What the caller gets."""
