"""Logs that never make a caller's thread wait."""

import logging

from mintsaddle.observe import fields
from mintsaddle.observe._logs import MOST_LINES, _BoundedHandler


class TestLogs:
    def test_a_full_buffer_drops_lines_and_counts_them(self) -> None:
        """Guards against callers that wait for the log."""
        handler = _BoundedHandler()
        record = logging.LogRecord("part", logging.INFO, "", 0, "line", (), None)
        for _ in range(MOST_LINES + 5):
            handler.handle(record)
        assert handler.dropped == 5

    def test_a_line_splits_at_spaces(self) -> None:
        line = fields(request="r-1", seconds=0.25, why="no route", none="")
        assert line == 'request=r-1 seconds=0.250 why="no route" none=""'
