"""Bounds on the expert map benchmark; seeded, so deterministic."""

from functools import lru_cache

import pytest

from benchmarks.expert_maps import PLANNERS, SCENARIOS, SMALL_GROUP, Result, run

SCENARIO_NAMES = [scenario.__name__ for scenario in SCENARIOS]


@lru_cache
def results(name: str) -> dict[str, Result]:
    scenario = next(scenario for scenario in SCENARIOS if scenario.__name__ == name)
    return {planner: run(planner, scenario, SMALL_GROUP) for planner in PLANNERS}


class TestExpertMaps:
    @pytest.mark.parametrize("name", SCENARIO_NAMES)
    def test_total_beats_each_baseline(self, name: str) -> None:
        by_planner = results(name)
        own = by_planner["mintsaddle"].total
        others = [
            by_planner[planner].total for planner in PLANNERS if planner != "mintsaddle"
        ]
        assert own < min(others), by_planner

    @pytest.mark.parametrize("name", SCENARIO_NAMES)
    def test_skew_is_near_a_full_plan_with_few_moves(self, name: str) -> None:
        by_planner = results(name)
        assert by_planner["mintsaddle"].skew <= 1.05 * by_planner["always"].skew
        assert by_planner["mintsaddle"].moved <= 0.15 * by_planner["always"].moved
