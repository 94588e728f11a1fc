"""Turns of connections whose bodies take long to parse."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from mintsaddle.decisions.direct import ParsingTurns


def run_pass(turns: ParsingTurns, readable: list[int]) -> list[int]:
    """Return the connections that are read in a pass."""
    for _ in readable:
        turns.begin_pass()
    return [one for one in readable if turns.take(one)]


class TestTurns:
    def test_a_connection_alone_is_read_in_every_other_pass(self) -> None:
        """Guards against a single slow body that is never read."""
        turns = ParsingTurns()
        read = [run_pass(turns, [1]) for _ in range(10)]
        assert read.count([1]) == 5

    @given(st.lists(st.integers(1, 30), min_size=1, unique=True))
    def test_all_are_read_equally_often(self, connections: list[int]) -> None:
        """Guards against connections that others keep from being read."""
        turns = ParsingTurns()
        passes = 3 * (len(connections) + 1)
        read = [run_pass(turns, connections) for _ in range(passes)]
        assert all(len(one) <= 1 for one in read)
        counts = Counter(one for in_pass in read for one in in_pass)
        assert counts == dict.fromkeys(connections, 3)

    def test_one_that_has_left_holds_up_no_round(self) -> None:
        turns = ParsingTurns()
        assert run_pass(turns, [1, 2, 3]) == [1]
        assert [run_pass(turns, [2, 3]) for _ in range(2)] == [[2], [3]]
        assert run_pass(turns, [2, 3]) == []
        assert run_pass(turns, [2, 3]) == [2]
