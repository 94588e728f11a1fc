"""The request of a caller and the kinds of answers to it."""

from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple, TypeAlias

from mintsaddle.decisions.direct import GiveUp
from mintsaddle.direct._answer_buffers import AnswerBuffer


class CallerRequest(NamedTuple):
    """The caller's HTTP request, as it is forwarded."""

    environ: dict[str, Any]
    method: str
    target: str
    """Raw path and query string."""

    body: Sequence[bytes | bytearray | memoryview]
    """Parts of the body, which are valid until the request has been served."""


class BufferedAnswer(NamedTuple):
    """An endpoint's answer that has been read completely."""

    status: int
    headers: list[tuple[str, str]]
    body: AnswerBuffer
    """Has to be closed."""


class StreamAnswer(NamedTuple):
    """An event stream whose head has been received."""

    status: int
    headers: list[tuple[str, str]]
    events: Iterator[bytes]


CallAnswer: TypeAlias = BufferedAnswer | StreamAnswer | GiveUp
"""The final result of a call."""
