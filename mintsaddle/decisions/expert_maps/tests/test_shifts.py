"""Changes of popularity at full load, replayed look by look.

What is hot in each layer changes every three seconds; looks come each tenth
of a second, and a map is in use once its ranks have loaded what is new.
"""

import random

import pytest

from mintsaddle.decisions.expert_maps import (
    ExpertMap,
    MapWatch,
    SpreadLimits,
    _spread,
    _watch,
    choose_limits,
    make_first_map,
    slowest_share,
)

RANKS, EXPERTS, LAYERS, PLACES, NEW_PLACES = 12, 72, 4, 8, 3
POLL_SECONDS, SHIFT_SECONDS, DAY_SECONDS = 0.1, 3.1, 30.0
SHIFT_SHARE = 0.7
"""Share of the experts of a layer whose popularity changes."""

LOAD_SECONDS = 0.1
"""Seconds in which a rank loads one expert."""

SWITCH_SECONDS = 0.15
"""Seconds from loaded weights to the step that begins with the new map."""

TOKENS = 20_000
"""Choices of experts in one layer that a poll shows."""

MOST_SKEW = 1.5
"""The aim: slowest rank over the mean, averaged over the day."""

Shares = list[list[float]]


def draw_popularity(rng: random.Random) -> Shares:
    """Return the popularity at the start of a day."""
    layers = []
    for _ in range(LAYERS):
        shares = [1.0 / (place + 1) for place in range(EXPERTS)]
        rng.shuffle(shares)
        total = sum(shares)
        layers.append([share / total for share in shares])
    return layers


def shift_popularity(rng: random.Random, before: Shares) -> Shares:
    """Return the popularity after a change: most experts trade places."""
    layers = []
    for layer in before:
        traded = rng.sample(range(EXPERTS), int(EXPERTS * SHIFT_SHARE))
        after = list(layer)
        for expert, other in zip(traded, traded[1:] + traded[:1], strict=True):
            after[expert] = layer[other]
        layers.append(after)
    return layers


def show_look(rng: random.Random, popularity: Shares) -> Shares:
    """Return the counts of one poll, uneven as few requests make them."""
    return [
        [TOKENS * share * rng.uniform(0.7, 1.3) for share in layer]
        for layer in popularity
    ]


def most_loaded(old: ExpertMap, new: ExpertMap) -> int:
    """Return how many experts the rank with most of them has to load."""
    return max(
        sum(
            len(set(gets[rank]) - set(had[rank]))
            for had, gets in zip(old.layers, new.layers, strict=True)
        )
        for rank in range(RANKS)
    )


def play_day(seed: int, limits: SpreadLimits) -> float:
    """Return the skew of a day of shifts, averaged over its looks."""
    rng = random.Random(seed)
    watch = MapWatch(1, LAYERS, EXPERTS, 0.12)
    current = make_first_map(0, RANKS, EXPERTS, LAYERS, EXPERTS // RANKS)
    coming: tuple[float, ExpertMap] | None = None
    counts = [[0.0] * EXPERTS for _ in range(LAYERS)]
    popularity = draw_popularity(rng)
    shift_at, now, skews = SHIFT_SECONDS, 0.0, []
    while now < DAY_SECONDS:
        now += POLL_SECONDS
        if now >= shift_at:
            popularity = shift_popularity(rng, popularity)
            shift_at += SHIFT_SECONDS
        if coming and now >= coming[0]:
            current, coming = coming[1], None
        fresh = show_look(rng, popularity)
        counts = [
            [was + more for was, more in zip(*layers, strict=True)]
            for layers in zip(counts, fresh, strict=True)
        ]
        watch.record_counts(0, counts)
        watch.finish_counts(now)
        skews.append(slowest_share(current, popularity))
        if coming is None:
            planned = watch.plan(current, limits)
            if planned is not None:
                loading = LOAD_SECONDS * most_loaded(current, planned)
                coming = (now + loading + SWITCH_SECONDS, planned)
    return sum(skews) / len(skews)


def play_days(limits: SpreadLimits) -> float:
    return sum(play_day(seed, limits) for seed in range(3)) / 3


class TestShifts:
    """Half of all streams come late by their pauses.

    Popularity changes; the map that fits comes a second later, since old
    counts are mixed with new ones and one rank loads four experts while all
    others wait. Until then every step takes as long as the slowest rank.
    """

    LIMITS = choose_limits(PLACES, NEW_PLACES, LOAD_SECONDS)

    def test_maps_follow_within_the_aim(self) -> None:
        assert play_days(self.LIMITS) <= MOST_SKEW

    def test_old_counts_would_miss_the_aim(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_watch, "SHIFT_DISTANCE", 2.0)
        assert play_days(self.LIMITS) > MOST_SKEW

    def test_all_copies_at_once_would_miss_the_aim(self) -> None:
        assert play_days(self.LIMITS._replace(loads=12)) > MOST_SKEW

    def test_few_copies_only_would_miss_the_aim(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_spread, "GOOD_ENOUGH", 1.5)
        assert play_days(self.LIMITS) > MOST_SKEW
