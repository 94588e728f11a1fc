"""Tests of the rank group emulator and of policies under heavy load."""

import functools

from fakes.lockstep import (
    PRODUCT,
    CallerModel,
    EngineModel,
    EngineRequest,
    EngineRequestEnd,
    Outage,
    Policy,
    RankGroup,
    Scenario,
    run_scenario,
)
from fakes.model._world import START, World

SEEDS = range(8)
LOST_RANK = Scenario(
    duration=34.0, outages=(Outage(12.0, 17.8),), callers=CallerModel(rate=26.0)
)


def score_after_opening(policy: Policy) -> float:
    """Return the mean score of requests in the 14 s after the group opens."""
    results = [run_scenario(LOST_RANK, policy, seed) for seed in SEEDS]
    return sum(result.score_between(18.4, 32.4) for result in results) / len(results)


class TestModel:
    def make_group(self, world: World) -> RankGroup:
        return RankGroup(world, EngineModel(ranks=2, slots=1), lambda now: 1.0)

    def test_the_more_urgent_is_admitted_first(self) -> None:
        world = World(1)
        group = self.make_group(world)
        started: list[str] = []
        for name, urgency in (("first", 5), ("late", 6), ("fresh", 1)):
            record = functools.partial(started.append, name)
            group.submit(0, EngineRequest(100, 1, urgency, record, lambda end: None))
        world.run_until(START + 5.0)
        assert started == ["first", "fresh", "late"]

    def test_a_lost_rank_stalls_and_then_interrupts_the_whole_group(self) -> None:
        world = World(1)
        group = self.make_group(world)
        ends: list[tuple[float, EngineRequestEnd]] = []
        for rank in (0, 1):
            group.submit(
                rank,
                EngineRequest(
                    100,
                    1000,
                    0,
                    lambda: None,
                    lambda end: ends.append((world.now - START, end)),
                ),
            )
        world.after(1.0, group.lose_rank)
        world.run_until(START + 5.0)
        assert ends == [(2.5, EngineRequestEnd.INTERRUPTED)] * 2

    def test_a_pass_takes_the_published_time(self) -> None:
        """A pass of two ranks with one decoding request each has five steps.

        Each step takes 5.85 ms plus the time of its decoding request.
        """
        world = World(1)
        group = self.make_group(world)
        for rank in (0, 1):
            group.submit(rank, EngineRequest(1, 50, 0, lambda: None, lambda end: None))
        world.run_until(START + 2.0)
        expected = 5 * (EngineModel().step + EngineModel().decode_step)
        assert abs(group.pass_seconds[10] - expected) < 1e-9


class TestHeavyLoad:
    def test_calm_load_is_served_on_time(self) -> None:
        result = run_scenario(Scenario(duration=15.0), PRODUCT, seed=1)
        assert result.served > 0.99
        assert result.score > 0.95

    def test_new_requests_go_before_late_ones_after_an_outage(self) -> None:
        """Guards against new requests that queue behind late ones."""
        plain = PRODUCT._replace(sets_urgency=False)
        assert score_after_opening(PRODUCT) > score_after_opening(plain) + 0.005
