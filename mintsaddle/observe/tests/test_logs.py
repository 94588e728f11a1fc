"""Logging never blocks the thread that serves a caller."""

import logging

from mintsaddle.observe import fields
from mintsaddle.observe._logs import MAX_QUEUED_LINES, _BoundedHandler


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
