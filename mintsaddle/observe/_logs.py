"""Logs: short sentences, each with the fixed prefix of its part."""

import json
import logging
import logging.handlers
import queue
import sys
from typing import Any

MOST_LINES = 2_000
"""Lines that wait for being written; about 0.5 MB, some seconds of a burst."""

_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class _PrefixAdapter(logging.LoggerAdapter[logging.Logger]):
    def process(self, msg: Any, kwargs: Any) -> tuple[str, Any]:
        assert self.extra is not None
        return f"[{self.extra['part']}] {msg}", kwargs


def make_logger(part: str) -> logging.LoggerAdapter[logging.Logger]:
    """Return the logger of one part; each line starts with the part."""
    logger = logging.getLogger(f"mintsaddle.{part}")
    return _PrefixAdapter(logger, {"part": part})


class _BoundedHandler(logging.handlers.QueueHandler):
    """Puts lines into a bounded buffer and counts those that don't fit.

    Guards against an output that is read slowly: a thread that serves a caller
    would wait for it.
    """

    def __init__(self) -> None:
        super().__init__(queue.Queue(MOST_LINES))
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines that didn't fit so far."""
        return self._dropped

    def enqueue(self, record: logging.LogRecord) -> None:
        """Put a line into the buffer, or drop it."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1


class _Writer(logging.handlers.QueueListener):
    """The one thread that writes; it says how many lines were dropped."""

    def __init__(self, source: _BoundedHandler) -> None:
        output = logging.StreamHandler(sys.stdout)
        output.setFormatter(logging.Formatter(_FORMAT))
        super().__init__(source.queue, output)
        self._source = source
        self._told = 0

    def handle(self, record: logging.LogRecord) -> None:
        """Write a line."""
        dropped = self._source.dropped
        if dropped > self._told:
            record.msg = f"({dropped - self._told} lines dropped before) {record.msg}"
            self._told = dropped
        super().handle(record)


_writers: list[_Writer] = []


def start_logging(level: str) -> None:
    """Send the program's logs to standard output, by a thread of their own."""
    handler = _BoundedHandler()
    # The writer adds date and level; else both would be there twice.
    handler.setFormatter(logging.Formatter("%(message)s"))
    writer = _Writer(handler)
    writer.start()
    _writers.append(writer)
    logging.basicConfig(level=level, handlers=[handler])


def stop_logging() -> None:
    """Write what is still in the buffer."""
    while _writers:
        _writers.pop().stop()
    logging.shutdown()


def fields(**values: object) -> str:
    """Return ``key=value`` pairs, the structured part of a line.

    A value with a space is quoted, so that a line splits at spaces.
    """
    return " ".join(f"{key}={_render(value)}" for key, value in values.items())


def _render(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return json.dumps(text) if " " in text or not text else text
