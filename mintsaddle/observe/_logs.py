"""Logging in one format, with the component as prefix of each message."""

import contextlib
import json
import logging
import logging.handlers
import queue
import sys
from typing import Any

MAX_QUEUED_LINES = 2_000
"""Capacity of the queue of unwritten lines: about 0.5 MB, or a burst of some
seconds."""

STOP_SECONDS = 1.0
"""How long a process that stops waits for a slow reader of its log."""

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
        self._records: queue.Queue[Any] = queue.Queue(MAX_QUEUED_LINES)
        super().__init__(self._records)
        self._dropped = 0

    @property
    def records(self) -> "queue.Queue[Any]":
        """Records that wait to be written."""
        return self._records

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
        """Write a record, with the number of lines dropped before it.

        What fails costs one record: the thread writes those of all others.
        """
        with contextlib.suppress(Exception):
            self._write(record)

    def dequeue(self, block: bool) -> logging.LogRecord:
        """Return the next record, whatever is raised while waiting for it.

        Raises:
            Empty: There is none, and the caller doesn't wait.
        """
        while True:
            try:
                return super().dequeue(block)
            except queue.Empty:
                raise
            except BaseException:
                continue

    def enqueue_sentinel(self) -> None:
        """Ask the thread to stop; the queue may be full."""
        with contextlib.suppress(queue.Full):
            self._source.records.put(None, timeout=STOP_SECONDS)

    def stop_in_time(self) -> bool:
        """Stop the thread; return whether all records are written."""
        thread = self._thread
        if thread is None:
            return True
        self.enqueue_sentinel()
        thread.join(STOP_SECONDS)
        return not thread.is_alive()

    def _write(self, record: logging.LogRecord) -> None:
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
    """Write the queued records and stop the writer threads.

    A reader that takes nothing doesn't keep the process from ending.
    """
    are_written = True
    while _writers:
        are_written &= _writers.pop().stop_in_time()
    if are_written:
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
