"""Deciding when a group's map is worth changing.

Load pattern: popularity stays for a few seconds and then changes for most
experts at once; some of it returns. A change costs the moved weights, a dozen
orders and slower steps while weights are loaded, so it has to win more than
that: nothing is changed while the group keeps up anyway.
"""

from collections.abc import Sequence

from mintsaddle.decisions.expert_maps._maps import ExpertMap, Popularity
from mintsaddle.decisions.expert_maps._spread import (
    SpreadLimits,
    slowest_share,
    spread_experts,
)
from mintsaddle.values import Instant

BUSY_STEP_SECONDS = 0.06
"""Seconds of a step from which a better map is looked for. Loading weights
makes steps longer by 15 in 100: begun only at 0.1 s, it makes every pause
longer than the 0.12 s that are on time. On calm days steps take 0.06 s."""

LEAST_GAIN = 0.3
"""Share of the slowest rank's load that a new map has to take away. At 0.2 a
calm day pays 0.03 of its worth for maps, at 0.3 0.02 and is served as well."""

KEEP_COUNTS = 0.3
"""Share of older counts in the popularity: it follows a change within one or
two looks and still evens out single requests."""

STUCK_SECONDS = 0.6
"""Seconds without a step, with requests running, after which a held step is
looked for: the longest steps take 0.25 s."""


def choose_samples(serving: Sequence[int], count: int) -> list[int]:
    """Return the ranks to read, spread over those that get work.

    Guards against a data centre that is out: its ranks run in step with all
    others but get no requests. Judged by one of them the group seems idle, and
    its map was not changed for as long as the data centre was out.

    Args:
        serving: Ranks that get work.
        count: How many to read.
    """
    step = max(1, len(serving) // count)
    return list(serving[::step][:count])


class MapWatch:
    """What is known of one group in one epoch."""

    def __init__(self, epoch: int, layers: int, experts: int) -> None:
        self._epoch = epoch
        self._layers = layers
        self._experts = experts
        self._step = 0
        self._step_at: Instant = 0.0
        self._moved_at: Instant = 0.0
        self._step_seconds = 0.0
        self._running = 0
        self._last_counts: dict[int, Popularity] = {}
        self._fresh = _zeros(layers, experts)
        self._popularity: Popularity | None = None
        self._slowness: dict[int, float] = {}

    @property
    def epoch(self) -> int:
        """The group's epoch."""
        return self._epoch

    @property
    def step_seconds(self) -> float:
        """Seconds that a step takes at present; 0 while not known."""
        return self._step_seconds

    @property
    def is_busy(self) -> bool:
        """Whether the group is the bottleneck."""
        return self._step_seconds >= BUSY_STEP_SECONDS

    def is_stuck(self, now: Instant) -> bool:
        """Return whether the group stands still although it has work."""
        return self._running > 0 and now - self._moved_at > STUCK_SECONDS

    def note_step(self, step: int, running: int, now: Instant) -> None:
        """Note a report's step and requests."""
        if step != self._step or not running:
            if self._step and step > self._step and running and self._running:
                self._step_seconds = (now - self._step_at) / (step - self._step)
            self._moved_at = now
        if not running:
            self._step_seconds = 0.0
        self._step, self._step_at = step, now
        self._running = running

    def note_counts(self, rank: int, counts: Popularity) -> None:
        """Note a rank's counts since its start."""
        before = self._last_counts.get(rank)
        self._last_counts[rank] = counts
        if before is None:
            return
        for fresh, old, new in zip(self._fresh, before, counts, strict=True):
            for expert, (was, now) in enumerate(zip(old, new, strict=True)):
                fresh[expert] += max(0, now - was)

    def finish_counts(self) -> None:
        """Take the counts of one look into the popularity."""
        fresh, self._fresh = self._fresh, _zeros(self._layers, self._experts)
        if not all(sum(layer) for layer in fresh):
            return
        shares = [[count / sum(layer) for count in layer] for layer in fresh]
        if self._popularity is None:
            self._popularity = shares
            return
        self._popularity = [
            [
                KEEP_COUNTS * old + (1.0 - KEEP_COUNTS) * new
                for old, new in zip(before, after, strict=True)
            ]
            for before, after in zip(self._popularity, shares, strict=True)
        ]

    def note_slowness(self, rank: int, slowness: float) -> None:
        """Note how slow a rank says that it is."""
        self._slowness[rank] = max(1.0, slowness)

    def note_switch(self) -> None:
        """Forget the time of a step: it was measured around a switch."""
        self._step = 0

    def plan(self, current: ExpertMap, limits: SpreadLimits) -> ExpertMap | None:
        """Return a map that is worth the change, or None."""
        if self._popularity is None:
            return None
        ranks = range(len(current.layers[0]))
        speeds = [1.0 / self._slowness.get(rank, 1.0) for rank in ranks]
        popularity = self._popularity
        version = current.version + 1
        planned = spread_experts(version, current, popularity, limits, speeds)
        before = slowest_share(current, popularity, speeds)
        after = slowest_share(planned, popularity, speeds)
        return planned if after <= before * (1.0 - LEAST_GAIN) else None


def _zeros(layers: int, experts: int) -> list[list[float]]:
    return [[0.0] * experts for _ in range(layers)]
