"""Requests that hold connections without going on."""

import pytest

from mintsaddle.decisions.direct import Unfinished, find_excess


class TestExcess:
    @pytest.mark.parametrize(
        ("allowed", "refused"), [(5, []), (3, []), (2, [11]), (0, [11, 12, 13])]
    )
    def test_those_that_arrive_for_longest_are_refused(
        self, allowed: int, refused: list[int]
    ) -> None:
        """Guards against new callers that are refused for stalled ones."""
        requests = [Unfinished(3.0, 13), Unfinished(1.0, 11), Unfinished(2.0, 12)]
        assert find_excess(requests, allowed) == refused
