"""Priority levels from the published priorities, and invalid ones."""

import pytest

from mintsaddle.decisions.direct import KeyHolder
from mintsaddle.decisions.overload import (
    MAX_LEVELS,
    CallPriority,
    PriorityLevels,
    find_priority_levels,
)
from mintsaddle.decisions.overload.tests.samples import make_call, make_table

HOLDERS = (KeyHolder("a", 1), KeyHolder("b", 0), KeyHolder("c", 1))


def find_levels(
    route_priorities: tuple[int, ...], *holders: KeyHolder
) -> PriorityLevels:
    levels = find_priority_levels(make_table(route_priorities, *holders), "s")
    assert levels is not None
    return levels


class TestWithoutLevels:
    @pytest.mark.parametrize(
        ("route_priorities", "is_stream", "service"),
        [
            ((), True, "s"),
            ((3, 3), True, "s"),
            ((0, -4), True, "s"),
            ((0, 1), False, "s"),
            ((0, 1), True, "other"),
        ],
    )
    def test_one_priority_of_stream_routes_gives_none(
        self, route_priorities: tuple[int, ...], *, is_stream: bool, service: str
    ) -> None:
        """Guards against changes for services that publish one priority."""
        table = make_table(route_priorities, *HOLDERS, is_stream=is_stream)
        assert find_priority_levels(table, service) is None


class TestLevels:
    @pytest.mark.parametrize(
        ("workspace", "route", "level"),
        [
            (0, 0, 0),
            (0, 2, 1),
            (1, 0, 2),
            (1, 2, 3),
            (None, 0, 2),
            (-7, -1, 0),
            (0, 1, 1),
            (0, 9, 2),
            (10**30, 0, 3),
        ],
    )
    def test_workspaces_go_before_routes(
        self, workspace: int | None, route: int, level: int
    ) -> None:
        """Guards against routes before workspaces, and invalid priorities."""
        levels = find_levels((2, 0), *HOLDERS)
        assert levels.level_of(make_call(0.0, workspace, route)) == level

    @pytest.mark.parametrize(
        ("holders", "default"),
        [
            ((), 0),
            ((KeyHolder("a", None),), 0),
            (HOLDERS, 1),
            ((KeyHolder("a", 2), KeyHolder("b", 5)), 5),
            ((KeyHolder("a", 0), KeyHolder("a", 0), *HOLDERS), 1),
            ((KeyHolder("a", -3), KeyHolder("b", -2), KeyHolder("c", 4)), 0),
        ],
    )
    def test_the_most_common_priority_of_workspaces_is_the_default(
        self, holders: tuple[KeyHolder, ...], default: int
    ) -> None:
        """Guards against a better priority for many keys or for none."""
        assert find_levels((0, 1), *holders).default_workspace == default

    def test_neighbours_are_merged_evenly(self) -> None:
        """Guards against more levels than there are urgencies and slots."""
        holders = [KeyHolder(str(n), n * 10**20) for n in range(25)]
        levels = find_levels((0, 1), *holders)
        assert len(levels.priorities) == MAX_LEVELS
        found = [
            levels.level_of(make_call(0.0, n * 10**20, route))
            for n in range(25)
            for route in (0, 1)
        ]
        assert found == [n // 5 for n in range(50)]


class TestUrgency:
    @pytest.mark.parametrize(
        ("count", "fresh"),
        [
            (2, [0, 1]),
            (5, [0, 1, 2, 3, 4]),
            (7, [0, 0, 1, 2, 2, 3, 4]),
            (10, [0, 0, 1, 1, 2, 2, 3, 3, 4, 4]),
        ],
    )
    def test_levels_are_scaled_to_what_endpoints_accept(
        self, count: int, fresh: list[int]
    ) -> None:
        """Guards against late calls that go before those on time."""
        levels = PriorityLevels(tuple(CallPriority(0, n) for n in range(count)))
        urgencies = [levels.urgency_of(n, late=False) for n in range(count)]
        assert urgencies == fresh
        assert [levels.urgency_of(n, late=True) - 5 for n in range(count)] == fresh
        assert levels.urgency_of(count, late=True) == 9 if count > 4 else 5 + count - 1
