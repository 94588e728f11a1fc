"""Load replays of entries that share engines which requests may end."""

import functools

import pytest

from mintsaddle.decisions.quarantine import Verdict
from mintsaddle.decisions.quarantine.tests.fleet import CONTACT_SECONDS, Scenario
from mintsaddle.decisions.quarantine.tests.fleet_replay import FleetReplay

MAX_ENDS = 5
MAX_LATER_ARRIVALS = 3

SMALL = Scenario(7, 1, 12, sound_per_second=28.0, crashing_per_second=1.0)
MIDDLE = Scenario(34, 3, 24, sound_per_second=130.0, crashing_per_second=2.0)
LARGE = Scenario(340, 6, 128, sound_per_second=100.0, crashing_per_second=4.0)
SCENARIOS = {
    "small": SMALL,
    "small-frozen-and-cut": SMALL._replace(frozen_entries=2, cut_entries=1),
    "small-restarted": SMALL._replace(restarts_at=14.0),
    "large": LARGE,
    "large-frozen-and-cut": LARGE._replace(frozen_entries=60, cut_entries=60),
    "large-restarted": LARGE._replace(restarts_at=14.0),
}

RUNS = [
    (name, seed)
    for name in SCENARIOS
    for seed in range(1 if name.startswith("large") else 3)
]
SERVED_FROM = 20.0
"""When the part has been kept away for longer than twice the contact time."""


@functools.cache
def replay(name: str, seed: int) -> FleetReplay:
    return FleetReplay(SCENARIOS[name], seed).run()


class TestCrashingPart:
    @pytest.mark.parametrize(("name", "seed"), RUNS)
    def test_it_is_kept_away_soon_after_five_engines_have_ended(
        self, name: str, seed: int
    ) -> None:
        """Guards against a part of a prompt that ends engine after engine."""
        ends = replay(name, seed).crashing_ends
        if len(ends) >= MAX_ENDS:
            bound = ends[MAX_ENDS - 1] + CONTACT_SECONDS
            arrivals = replay(name, seed).crashing_arrivals
            assert len([at for at in arrivals if at > bound]) <= MAX_LATER_ARRIVALS
        # Without a verdict, an end would follow each return of the group.
        assert len(ends) <= MAX_ENDS + MAX_LATER_ARRIVALS

    @pytest.mark.parametrize(("name", "seed"), RUNS)
    def test_sound_requests_with_the_same_first_part_are_served(
        self, name: str, seed: int
    ) -> None:
        """Guards against sound callers refused along with crashing ones."""
        scenario = SCENARIOS[name]
        later = [at for at in replay(name, seed).sound_begun if at > SERVED_FROM]
        expected = scenario.sound_per_second * (scenario.seconds - SERVED_FROM)
        assert len(later) >= expected / 2


class TestOtherCauses:
    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("scenario", [SMALL, MIDDLE], ids=["small", "middle"])
    @pytest.mark.parametrize(
        "crash_at",
        [
            tuple(4.0 + 0.001 * number for number in range(12)),
            tuple(4.0 + 0.5 * number for number in range(40)),
            tuple(4.0 + 4.3 * number for number in range(6)),
        ],
        ids=["at-once", "wave", "one-after-the-other"],
    )
    def test_no_sound_request_is_quarantined_for_them(
        self, crash_at: tuple[float, ...], scenario: Scenario, seed: int
    ) -> None:
        """Guards against callers refused for engines that end on their own."""
        calm = scenario._replace(crashing_per_second=0.0, crash_at=crash_at)
        refused = [
            verdict for _, verdict in FleetReplay(calm, seed).run().sound_refused
        ]
        assert refused.count(Verdict.QUARANTINED) == 0
