"""The predicted bound on a group's requests, and the skews it is based on."""

import random

import pytest

from mintsaddle.decisions.direct import StepModel
from mintsaddle.decisions.overload import StepSkews, bound_requests
from mintsaddle.values import Instant

STEPS = StepModel(token_seconds=0.006, request_seconds=0.001, tokens=6)
SLOTS = 5
PAUSE = 0.12
USUAL_SKEW, SHIFTED_SKEW = 1.3, 2.0


class TestBound:
    @pytest.mark.parametrize(
        ("skew", "pause", "bound"),
        [
            (0.0, PAUSE, SLOTS),
            (1.0, PAUSE, SLOTS),
            (SHIFTED_SKEW, PAUSE, 3.5),
            (SHIFTED_SKEW, 0.0, SLOTS),
            (9.0, PAUSE, SLOTS / 2),
        ],
    )
    def test_steps_fit_into_the_pause(
        self, skew: float, pause: float, bound: float
    ) -> None:
        assert bound_requests(STEPS, skew, pause, SLOTS) == pytest.approx(bound)

    def test_requests_without_cost_are_not_bounded(self) -> None:
        free = STEPS._replace(request_seconds=0.0)
        assert bound_requests(free, 9.0, PAUSE, SLOTS) == SLOTS


class TestSkews:
    def test_the_largest_is_remembered_for_seconds(self) -> None:
        skews = StepSkews()
        for at, seconds in ((0.0, 0.1), (1.0, 0.05), (2.0, 0.06)):
            for stream in ("a", "b"):
                skews.record_pause("g", stream, seconds, 0.05, at)
        assert skews.largest_skew("g", 2.0) == pytest.approx(2.0)
        assert skews.largest_skew("g", 9.0) == pytest.approx(1.2)
        assert skews.largest_skew("g", 60.0) == 0.0

    def test_a_pause_of_one_stream_is_ignored(self) -> None:
        """Guards against a lost packet that counts as a long step."""
        skews = StepSkews()
        for stream, seconds in (("a", 0.3), ("a", 0.3), ("b", 0.05)):
            skews.record_pause("g", stream, seconds, 0.05, 0.0)
        assert skews.largest_skew("g", 0.0) == pytest.approx(1.0)

    def test_pauses_of_different_steps_confirm_nothing(self) -> None:
        skews = StepSkews()
        skews.record_pause("g", "a", 0.3, 0.05, 0.0)
        skews.record_pause("g", "b", 0.3, 0.05, 1.0)
        assert skews.largest_skew("g", 1.0) == 0.0

    def test_groups_that_are_gone_are_forgotten(self) -> None:
        skews = StepSkews()
        for stream in ("a", "b"):
            skews.record_pause("g", stream, 0.1, 0.05, 0.0)
        skews.keep_only(())
        assert skews.largest_skew("g", 0.0) == 0.0


class Simulation:
    """A group under overload whose popularity changes."""

    ENGINES = 32
    STEPS_OF_STREAM = 23
    SHIFT_INTERVAL = 3.5
    SHIFT_SECONDS = 0.3
    RUN_SECONDS = 40.0

    def __init__(self, *, is_bounded: bool) -> None:
        self._is_bounded = is_bounded
        self._rng = random.Random(3)
        self._skews = StepSkews()
        self._streams: list[tuple[int, bool]] = []
        self.on_time = 0
        self.late = 0

    def run(self, rate: float) -> None:
        """Run with a rate of arriving streams, in streams per second."""
        now, arriving = 0.0, 0.0
        while now < self.RUN_SECONDS:
            seconds = self._step(now)
            now += seconds
            arriving += rate * seconds
            capacity = self._capacity(now)
            while arriving >= 1.0:
                arriving -= 1.0
                if len(self._streams) < capacity:
                    self._streams.append((0, False))

    def _capacity(self, now: Instant) -> float:
        skew = self._skews.largest_skew("g", now) if self._is_bounded else 0.0
        return self.ENGINES * bound_requests(STEPS, skew, PAUSE, SLOTS)

    def _step(self, now: Instant) -> float:
        requests = len(self._streams) / self.ENGINES
        is_shifted = now % self.SHIFT_INTERVAL < self.SHIFT_SECONDS
        skew = SHIFTED_SKEW if is_shifted else USUAL_SKEW
        expected = STEPS.tokens * (
            STEPS.token_seconds + STEPS.request_seconds * requests
        )
        seconds = expected * skew * self._rng.uniform(0.98, 1.0)
        for stream in ("a", "b"):
            self._skews.record_pause("g", stream, seconds, expected, now + seconds)
        moved = [(steps + 1, late or seconds > PAUSE) for steps, late in self._streams]
        done = [late for steps, late in moved if steps >= self.STEPS_OF_STREAM]
        self.late += sum(done)
        self.on_time += len(done) - sum(done)
        self._streams = [item for item in moved if item[0] < self.STEPS_OF_STREAM]
        return seconds


def simulate(*, is_bounded: bool, rate: float = 150.0) -> Simulation:
    simulation = Simulation(is_bounded=is_bounded)
    simulation.run(rate)
    return simulation


class TestChangesOfPopularityUnderOverload:
    def test_streams_stay_on_time(self) -> None:
        """Guards against full engines whose streams are late at a shift."""
        bounded = simulate(is_bounded=True)
        assert bounded.late <= 0.05 * (bounded.late + bounded.on_time)

    def test_without_a_bound_every_shift_makes_streams_late(self) -> None:
        unbounded = simulate(is_bounded=False)
        assert unbounded.late > 0.2 * (unbounded.late + unbounded.on_time)
        assert simulate(is_bounded=True).on_time > unbounded.on_time

    def test_a_calm_group_is_not_bounded(self) -> None:
        calm, usual = (simulate(is_bounded=b, rate=20.0) for b in (True, False))
        assert (calm.late, calm.on_time) == (0, usual.on_time)
