"""Simulates popularity shifts at full load, one poll at a time.

The hot experts of each layer change every three seconds and counts are polled
every tenth of a second. A map becomes active once its ranks have loaded their
new experts.
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
    mean_skew,
)

RANKS, EXPERTS, LAYERS, MAX_EXPERTS, MAX_NEW_EXPERTS = 12, 72, 4, 8, 3
POLL_SECONDS, SHIFT_SECONDS, RUN_SECONDS = 0.1, 3.1, 30.0
SHIFT_SHARE = 0.7
"""Share of the experts of a layer whose popularity changes in a shift."""

LOAD_SECONDS = 0.1
"""Seconds that a rank needs to load one expert."""

SWITCH_SECONDS = 0.15
"""Seconds from the end of loading to the first step with the new map."""

TOKENS = 20_000
"""Tokens counted in one layer per poll."""

MAX_SKEW = 1.5
"""Maximum of the mean skew, averaged over a run."""

Shares = list[list[float]]


def draw_popularity(rng: random.Random) -> Shares:
    """Return the popularity at the start of a run."""
    layers = []
    for _ in range(LAYERS):
        shares = [1.0 / (index + 1) for index in range(EXPERTS)]
        rng.shuffle(shares)
        total = sum(shares)
        layers.append([share / total for share in shares])
    return layers


def shift_popularity(rng: random.Random, before: Shares) -> Shares:
    """Return the popularity after a shift, which permutes most experts."""
    layers = []
    for layer in before:
        permuted = rng.sample(range(EXPERTS), int(EXPERTS * SHIFT_SHARE))
        after = list(layer)
        for expert, other in zip(permuted, permuted[1:] + permuted[:1], strict=True):
            after[expert] = layer[other]
        layers.append(after)
    return layers


def sample_counts(rng: random.Random, popularity: Shares) -> Shares:
    """Return the counts of one poll, with the noise of few requests."""
    return [
        [TOKENS * share * rng.uniform(0.7, 1.3) for share in layer]
        for layer in popularity
    ]


def max_loaded_experts(old: ExpertMap, new: ExpertMap) -> int:
    """Return the maximum number of experts that any rank has to load."""
    return max(
        sum(
            len(set(gets[rank]) - set(had[rank]))
            for had, gets in zip(old.layers, new.layers, strict=True)
        )
        for rank in range(RANKS)
    )


def simulate_run(seed: int, limits: SpreadLimits) -> float:
    """Return the skew of a run with shifts, averaged over its polls."""
    rng = random.Random(seed)
    watch = MapWatch(1, LAYERS, EXPERTS, 0.12)
    current = make_first_map(0, RANKS, EXPERTS, LAYERS, EXPERTS // RANKS)
    pending: tuple[float, ExpertMap] | None = None
    counts = [[0.0] * EXPERTS for _ in range(LAYERS)]
    popularity = draw_popularity(rng)
    shift_at, now, skews = SHIFT_SECONDS, 0.0, []
    while now < RUN_SECONDS:
        now += POLL_SECONDS
        if now >= shift_at:
            popularity = shift_popularity(rng, popularity)
            shift_at += SHIFT_SECONDS
        if pending and now >= pending[0]:
            current, pending = pending[1], None
        fresh = sample_counts(rng, popularity)
        counts = [
            [was + more for was, more in zip(*layers, strict=True)]
            for layers in zip(counts, fresh, strict=True)
        ]
        watch.record_counts(0, counts)
        watch.update_popularity(now)
        skews.append(mean_skew(current, popularity))
        if pending is None:
            planned = watch.plan(current, limits)
            if planned is not None:
                loading = LOAD_SECONDS * max_loaded_experts(current, planned)
                pending = (now + loading + SWITCH_SECONDS, planned)
    return sum(skews) / len(skews)


def mean_skew_of_runs(limits: SpreadLimits) -> float:
    return sum(simulate_run(seed, limits) for seed in range(3)) / 3


class TestShifts:
    """Guards against maps that follow a popularity shift too slowly.

    If old counts are averaged with new ones and one rank loads four experts
    while all others wait, a matching map is active a second late. Until then
    every step takes as long as the slowest rank, and half of all streams
    exceed their longest pause.
    """

    LIMITS = choose_limits(MAX_EXPERTS, MAX_NEW_EXPERTS, LOAD_SECONDS)

    def test_maps_keep_the_skew_within_the_maximum(self) -> None:
        assert mean_skew_of_runs(self.LIMITS) <= MAX_SKEW

    def test_old_counts_would_exceed_the_maximum(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_watch, "SHIFT_DISTANCE", 2.0)
        assert mean_skew_of_runs(self.LIMITS) > MAX_SKEW

    def test_all_copies_at_once_would_exceed_the_maximum(self) -> None:
        assert mean_skew_of_runs(self.LIMITS._replace(max_loads=12)) > MAX_SKEW

    def test_few_copies_only_would_exceed_the_maximum(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_spread, "TARGET_SKEW", 1.5)
        assert mean_skew_of_runs(self.LIMITS) > MAX_SKEW
