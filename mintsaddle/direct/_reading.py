"""Reading of answers, as whole bodies or event by event."""

import http.client
import time
from collections.abc import Callable, Iterator

from mintsaddle.decisions.direct import BURST_PARTS, AnswerPace
from mintsaddle.direct._answer_buffers import (
    FREE_BYTES,
    AnswerBuffer,
    OversizedAnswerError,
)
from mintsaddle.engines import StrictResponse
from mintsaddle.values import read_digits

MAX_EVENT_BYTES = 262_144
"""Largest event. An event holds what an engine generates in one step."""

_MAX_SINGLE_EVENTS = 16
_ABORT_CHECK_SECONDS = 0.1
_READ_BYTES = 65_536
_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class StreamCutError(ConnectionError):
    """An event stream ended early.

    It is a ConnectionError so that the server closes the caller's connection
    without a traceback and without the last chunk: a truncated stream never
    looks complete.
    """


class AbortedError(ConnectionError):
    """This entry aborted the exchange before the answer's end was certain."""


class Event:
    """One complete event of a stream, or several in a row, as raw bytes."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    @property
    def data(self) -> bytes:
        """The events, including the blank lines that end them."""
        return self._data

    def read_id(self) -> int | None:
        """Return the last id; None if there is none or it isn't numeric."""
        for line in reversed(self._data.split(b"\n")):
            if line.startswith(_ID_FIELD):
                return read_digits(line[len(_ID_FIELD) :].strip().decode("latin-1"))
        return None


def read_body(
    response: StrictResponse,
    buffer: AnswerBuffer,
    is_aborted: Callable[[], bool],
) -> AnswerBuffer:
    """Return a buffer with the complete body; it is closed on errors.

    Args:
        response: The answer, whose head has been read.
        buffer: Where to store the body.
        is_aborted: Returns whether this entry has aborted the exchange.

    Raises:
        OSError: The connection broke, there is no memory for the body, or the
            exchange was aborted before a body that only ends with the
            connection was complete.
        http.client.HTTPException: The body is shorter than announced.
    """
    try:
        _fill(response, buffer, is_aborted)
    except BaseException:
        buffer.close()
        raise
    return buffer


def _fill(
    response: StrictResponse,
    buffer: AnswerBuffer,
    is_aborted: Callable[[], bool],
) -> None:
    has_marked_end = response.has_marked_end
    pace = AnswerPace(time.monotonic())
    wait = _make_wait(pace, is_aborted)
    response.on_chunk(lambda: wait(1))
    if response.length is not None and response.length > buffer.largest_answer:
        raise OversizedAnswerError
    first = response.read(FREE_BYTES)
    if len(first) < FREE_BYTES or response.isclosed():
        buffer.set(first)
    else:
        buffer.fill(_make_reader(response, pace), first)
    if response.length:
        raise http.client.IncompleteRead(b"", response.length)
    # An abort ends the connection in the same way as a complete answer.
    if not has_marked_end and is_aborted():
        raise AbortedError


def read_events(
    response: StrictResponse,
    buffer: AnswerBuffer,
    is_aborted: Callable[[], bool],
) -> Iterator[Event]:
    """Yield each complete event as it arrives, and many at once together.

    Args:
        response: The answer, whose head has been read.
        buffer: Accounts for an event that isn't complete yet.
        is_aborted: Returns whether this entry has aborted the exchange.

    Raises:
        OSError: The connection broke, an event is too large, or the exchange
            was aborted before a stream that only ends with the connection was
            complete.
        http.client.HTTPException: The body ended early.
        StreamCutError: The body ended in the middle of an event, or before
            its first event with nothing that marks the end.
    """
    has_marked_end = response.has_marked_end
    wait = _make_wait(AnswerPace(time.monotonic()), is_aborted)
    response.on_chunk(lambda: wait(1))
    has_event = False
    partial = b""
    while True:
        block = response.read1(_READ_BYTES)
        if not block:
            break
        *complete, partial = (partial + block).split(_EVENT_END)
        if len(partial) > MAX_EVENT_BYTES:
            raise OversizedAnswerError
        buffer.hold(len(partial))
        has_event = has_event or bool(complete)
        if len(complete) > _MAX_SINGLE_EVENTS:
            yield Event(_EVENT_END.join([*complete, b""]))
        else:
            for data in complete:
                yield Event(data + _EVENT_END)
        wait(len(complete))
    if response.length:
        raise http.client.IncompleteRead(partial, response.length)
    if not has_marked_end and is_aborted():
        raise AbortedError
    if partial.strip() or not (has_event or has_marked_end):
        raise StreamCutError


def _make_reader(
    response: StrictResponse, pace: AnswerPace
) -> Callable[[memoryview], int]:
    """Return a function that fills a buffer with a part of the body."""

    def read_into(buffer: memoryview) -> int:
        count = response.readinto(buffer)
        pace.record_bytes(count)
        return count

    return read_into


def _make_wait(
    pace: AnswerPace, is_aborted: Callable[[], bool]
) -> Callable[[int], None]:
    """Return a function that waits after some parts until the next one.

    It raises an AbortedError if the exchange has been aborted and so many
    parts have arrived that reading the rest would take long.
    """
    parts = 0

    def wait(count: int) -> None:
        nonlocal parts
        parts += count
        if parts > BURST_PARTS and is_aborted():
            raise AbortedError
        next_at = pace.record_parts(count, time.monotonic())
        while (left := next_at - time.monotonic()) > 0:
            if is_aborted():
                raise AbortedError
            time.sleep(min(left, _ABORT_CHECK_SECONDS))

    return wait
