"""Bounds on the expert maps; seeded, so equal on each run."""

from functools import lru_cache

import pytest

from benchmarks.expert_maps import PLANNERS, SMALL, STORIES, Result, run

NAMES = [story.__name__ for story in STORIES]


@lru_cache
def results(name: str) -> dict[str, Result]:
    story = next(story for story in STORIES if story.__name__ == name)
    return {planner: run(planner, story, SMALL) for planner in PLANNERS}


class TestExpertMaps:
    @pytest.mark.parametrize("name", NAMES)
    def test_total_beats_each_baseline(self, name: str) -> None:
        found = results(name)
        own = found["mintsaddle"].total
        others = [
            found[planner].total for planner in PLANNERS if planner != "mintsaddle"
        ]
        assert own < min(others), found

    @pytest.mark.parametrize("name", NAMES)
    def test_skew_is_near_a_full_plan_with_few_moves(self, name: str) -> None:
        found = results(name)
        assert found["mintsaddle"].skew <= 1.05 * found["always"].skew
        assert found["mintsaddle"].moved <= 0.15 * found["always"].moved
