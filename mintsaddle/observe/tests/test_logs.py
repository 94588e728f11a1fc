"""Logging never blocks the thread that serves a caller."""

import logging
import sys
import threading
import time

import pytest

from mintsaddle.observe import _logs, fields, stop_logging
from mintsaddle.observe._logs import (
    MAX_QUEUED_LINES,
    STOP_SECONDS,
    _BoundedHandler,
    _Writer,
)
from mintsaddle.process.tests.failing_threads import raise_in


class TestLogs:
    def test_a_full_queue_drops_records_and_counts_them(self) -> None:
        """Guards against threads that block on the log output."""
        handler = _BoundedHandler()
        record = logging.LogRecord("part", logging.INFO, "", 0, "line", (), None)
        for _ in range(MAX_QUEUED_LINES + 5):
            handler.handle(record)
        assert handler.dropped == 5

    def test_values_with_spaces_are_quoted(self) -> None:
        line = fields(request="r-1", seconds=0.25, why="no route", none="")
        assert line == 'request=r-1 seconds=0.250 why="no route" none=""'


class OddStream:
    """An output whose first lines fail."""

    def __init__(self, errors: list[BaseException]) -> None:
        self._errors = errors
        self.lines: list[str] = []

    def write(self, text: str) -> None:
        if self._errors:
            raise self._errors.pop()
        self.lines.append(text)

    def flush(self) -> None:
        """Required by the handler; does nothing."""


class BlockedStream(OddStream):
    """An output whose reader takes nothing."""

    def __init__(self) -> None:
        super().__init__([])
        self.release = threading.Event()

    def write(self, text: str) -> None:
        self.release.wait()


def write_lines(
    monkeypatch: pytest.MonkeyPatch, stream: OddStream, count: int
) -> logging.Logger:
    monkeypatch.setattr("sys.stdout", stream)
    handler = _BoundedHandler()
    writer = _Writer(handler)
    writer.start()
    monkeypatch.setattr(_logs, "_writers", [writer])
    logger = logging.Logger("odd")
    logger.addHandler(handler)
    for number in range(count):
        logger.info("line %d", number)
    return logger


class TestWriter:
    @pytest.mark.parametrize("error", [RecursionError(), MemoryError(), OSError()])
    def test_a_line_that_fails_costs_no_other(
        self, monkeypatch: pytest.MonkeyPatch, error: Exception
    ) -> None:
        """Guards against a process without a log from some line on."""
        stream = OddStream([error])
        write_lines(monkeypatch, stream, 5)
        stop_logging()
        assert [line.strip()[-6:] for line in stream.lines][-4:] == [
            f"line {number}" for number in range(1, 5)
        ]

    @pytest.mark.parametrize("error", [RuntimeError, SystemExit, MemoryError])
    def test_an_exception_while_it_waits_costs_no_line(
        self, monkeypatch: pytest.MonkeyPatch, error: type[BaseException]
    ) -> None:
        """Guards against a process without a log from some moment on."""
        others = set(sys._current_frames())
        stream = OddStream([])
        logger = write_lines(monkeypatch, stream, 1)
        (thread,) = set(sys._current_frames()) - others
        for number in range(1, 5):
            # By then it waits.
            time.sleep(0.1)
            raise_in(thread, error)
            logger.info("line %d", number)
        stop_logging()
        written = [line.strip()[-6:] for line in stream.lines]
        assert written == [f"line {number}" for number in range(5)]

    def test_a_blocked_reader_does_not_keep_the_process(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a planned stop that doesn't end."""
        stream = BlockedStream()
        write_lines(monkeypatch, stream, MAX_QUEUED_LINES + 5)
        begun_at = time.monotonic()
        stop_logging()
        assert time.monotonic() - begun_at < 2 * STOP_SECONDS + 1.0
        stream.release.set()
