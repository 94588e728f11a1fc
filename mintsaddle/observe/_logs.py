"""Logging in one format, with the component as prefix of each message."""

import json
import logging
import logging.handlers
import queue
import sys
from typing import Any

MAX_QUEUED_LINES = 2_000
"""Capacity of the queue of unwritten lines: about 0.5 MB, or a burst of some
seconds."""

_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class _PrefixAdapter(logging.LoggerAdapter[logging.Logger]):
    def process(self, msg: Any, kwargs: Any) -> tuple[str, Any]:
        assert self.extra is not None
        return f"[{self.extra['component']}] {msg}", kwargs


def make_logger(component: str) -> logging.LoggerAdapter[logging.Logger]:
    """Return a logger that prefixes each message with ``[component]``."""
    logger = logging.getLogger(f"mintsaddle.{component}")
    return _PrefixAdapter(logger, {"component": component})


class _BoundedHandler(logging.handlers.QueueHandler):
    """Puts records into a bounded queue and counts the dropped ones.

    Otherwise, a slow reader of standard output would block the threads that
    serve callers.
    """

    def __init__(self) -> None:
        super().__init__(queue.Queue(MAX_QUEUED_LINES))
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of records dropped so far because the queue was full."""
        return self._dropped

    def enqueue(self, record: logging.LogRecord) -> None:
        """Put a record into the queue, or drop it if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1


class _Writer(logging.handlers.QueueListener):
    """Writes queued records in its own thread and reports dropped ones."""

    def __init__(self, source: _BoundedHandler) -> None:
        output = logging.StreamHandler(sys.stdout)
        output.setFormatter(logging.Formatter(_FORMAT))
        super().__init__(source.queue, output)
        self._source = source
        self._reported = 0

    def handle(self, record: logging.LogRecord) -> None:
        """Write a record, with the number of lines dropped before it."""
        dropped = self._source.dropped
        if dropped > self._reported:
            record.msg = (
                f"({dropped - self._reported} lines dropped before) {record.msg}"
            )
            self._reported = dropped
        super().handle(record)


_writers: list[_Writer] = []


def start_logging(level: str) -> None:
    """Write logs to standard output from a dedicated thread."""
    handler = _BoundedHandler()
    # The writer adds the date and level, which would otherwise appear twice.
    handler.setFormatter(logging.Formatter("%(message)s"))
    writer = _Writer(handler)
    writer.start()
    _writers.append(writer)
    logging.basicConfig(level=level, handlers=[handler])


def stop_logging() -> None:
    """Write the queued records and stop the writer threads."""
    while _writers:
        _writers.pop().stop()
    logging.shutdown()


def fields(**values: object) -> str:
    """Return ``key=value`` pairs, the structured part of a log line.

    Values that are empty or contain a space are quoted, so that a line can be
    split at spaces.
    """
    return " ".join(f"{key}={_render(value)}" for key, value in values.items())


def _render(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return json.dumps(text) if " " in text or not text else text
