"""Load patterns replayed on emulated rank groups, and the model itself."""

import functools

from fakes.lockstep import (
    PRODUCT,
    CallerModel,
    Day,
    EngineModel,
    Outage,
    Policy,
    RankGroup,
    Work,
    WorkEnd,
    play_day,
)
from fakes.model._world import START, World

SEEDS = range(8)
LOST_RANK = Day(
    length=34.0, outages=(Outage(12.0, 17.8),), callers=CallerModel(rate=26.0)
)


def worth_after_opening(policy: Policy) -> float:
    """Return the mean worth of callers that come in the 14 s after it."""
    results = [play_day(LOST_RANK, policy, seed) for seed in SEEDS]
    return sum(result.worth_between(18.4, 32.4) for result in results) / len(results)


class TestModel:
    def make_group(self, world: World) -> RankGroup:
        return RankGroup(world, EngineModel(ranks=2, slots=1), lambda now: 1.0)

    def test_the_more_urgent_is_admitted_first(self) -> None:
        world = World(1)
        group = self.make_group(world)
        begun: list[str] = []
        for name, urgency in (("first", 5), ("late", 6), ("fresh", 1)):
            note = functools.partial(begun.append, name)
            group.submit(0, Work(100, 1, urgency, note, lambda end: None))
        world.run_until(START + 5.0)
        assert begun == ["first", "fresh", "late"]

    def test_a_lost_rank_stalls_the_whole_group_and_then_cuts_it_off(self) -> None:
        world = World(1)
        group = self.make_group(world)
        ends: list[tuple[float, WorkEnd]] = []
        for rank in (0, 1):
            group.submit(
                rank,
                Work(
                    100,
                    1000,
                    0,
                    lambda: None,
                    lambda end: ends.append((world.now - START, end)),
                ),
            )
        world.after(1.0, group.lose)
        world.run_until(START + 5.0)
        assert ends == [(2.5, WorkEnd.CUT)] * 2

    def test_a_pass_takes_the_published_time(self) -> None:
        """Two ranks, one writer each: five steps of 5.85 ms and their work."""
        world = World(1)
        group = self.make_group(world)
        for rank in (0, 1):
            group.submit(rank, Work(1, 50, 0, lambda: None, lambda end: None))
        world.run_until(START + 2.0)
        expected = 5 * (EngineModel().step + EngineModel().per_writer)
        assert abs(group.pass_seconds[10] - expected) < 1e-9


class TestLoadAtItsWorst:
    def test_a_calm_day_is_served_on_time(self) -> None:
        result = play_day(Day(length=15.0), PRODUCT, seed=1)
        assert result.served > 0.99
        assert result.worth > 0.95

    def test_late_callers_after_fresh_ones_once_a_group_is_back(self) -> None:
        """Guards against fresh callers that wait behind late ones."""
        plain = PRODUCT._replace(names_urgency=False)
        assert worth_after_opening(PRODUCT) > worth_after_opening(plain) + 0.005
