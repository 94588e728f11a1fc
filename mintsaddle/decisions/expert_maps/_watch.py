"""Deciding when a group's map is worth changing.

Load pattern: popularity stays for a few seconds and then changes for most
experts at once; some of it returns. A change costs the moved weights, some
orders and slower steps while weights are loaded, so it has to win more than
that: nothing is changed while the group keeps up anyway.
"""

import math
from collections import deque
from collections.abc import Sequence

from mintsaddle.decisions.expert_maps._maps import ExpertMap, Popularity
from mintsaddle.decisions.expert_maps._spread import (
    SpreadLimits,
    slowest_share,
    spread_experts,
)
from mintsaddle.decisions.expert_maps._stall import StallDetector
from mintsaddle.values import Instant

BUSY_SHARE = 0.25
"""Share of the longest pause that callers bear from which a step counts as
long: a better map is looked for well before pauses are too long, since loading
weights makes steps longer by 15 in 100."""

USUAL_PAUSE = 0.12
"""Seconds between two events that callers bear where no route names them."""

LEAST_GAIN = 0.1
"""Share of the slowest rank's load that a new map has to take away."""

AVERAGE_SECONDS = 0.6
"""Seconds over which counts are averaged while popularity stays: long enough
to even out which requests happen to be written at present."""

SHIFT_DISTANCE = 0.22
"""Share of a layer's tokens that go to other experts than before from which
popularity has changed: older counts of that layer are dropped, since a map for
a mixture of both would suit neither."""

STEP_SECONDS = 0.3
"""Seconds over which a step's time is measured; a poll may see none begin."""

IN_FORCE_SECONDS = 1.0
"""Seconds for an ordered map to come into use, after which it is planned from
whatever the ranks report."""


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

    def __init__(
        self, epoch: int, layers: int, experts: int, longest_pause: float
    ) -> None:
        """Begin to watch.

        Args:
            epoch: The group's epoch.
            layers: Layers of its model.
            experts: Experts of each layer.
            longest_pause: Seconds between two events that callers bear; 0 if
                no route names them.
        """
        self._epoch = epoch
        self._layers = layers
        self._experts = experts
        # With a pause of 0 an idle group would count as busy.
        self._longest_pause = longest_pause or USUAL_PAUSE
        self._steps: deque[tuple[Instant, int]] = deque()
        self._stall = StallDetector()
        self._running = 0
        self._last_counts: dict[int, Popularity] = {}
        self._fresh = _zeros(layers, experts)
        self._fresh_at: Instant | None = None
        self._popularity: list[list[float]] | None = None
        self._slowness: dict[int, float] = {}
        self._ordered_version = 0
        self._ordered_until: Instant = 0.0

    @property
    def epoch(self) -> int:
        """The group's epoch."""
        return self._epoch

    @property
    def step_seconds(self) -> float:
        """Seconds that a step takes at present; 0 while not known."""
        if not self._running or len(self._steps) < 2:
            return 0.0
        (first_at, first), (last_at, last) = self._steps[0], self._steps[-1]
        return (last_at - first_at) / (last - first)

    @property
    def is_busy(self) -> bool:
        """Whether the group is the bottleneck."""
        return self.step_seconds >= self._longest_pause * BUSY_SHARE

    def is_stuck(self, now: Instant) -> bool:
        """Return whether the group stands still although it has work."""
        return self._stall.is_stuck(now)

    def is_in_force(self, version: int, now: Instant) -> bool:
        """Return whether no ordered map is still to come into use.

        Guards against a plan from the map before: its orders are refused, or
        it moves again what the ordered map has moved.

        Args:
            version: The version in use, as a rank reports.
            now: The present instant.
        """
        return version == self._ordered_version or now >= self._ordered_until

    def record_step(self, step: int, running: int, now: Instant) -> None:
        """Note a report's step and requests."""
        if not running or not self._running:
            self._steps.clear()
        self._stall.record_step(step, running, now)
        if not self._steps or step != self._steps[-1][1]:
            self._steps.append((now, step))
        while len(self._steps) > 2 and self._steps[1][0] <= now - STEP_SECONDS:
            self._steps.popleft()
        self._running = running

    def record_counts(self, rank: int, counts: Popularity) -> None:
        """Note a rank's counts since its start."""
        before = self._last_counts.get(rank)
        self._last_counts[rank] = counts
        if before is None:
            return
        for fresh, old, new in zip(self._fresh, before, counts, strict=True):
            for expert, (was, now) in enumerate(zip(old, new, strict=True)):
                fresh[expert] += max(0, now - was)

    def finish_counts(self, now: Instant) -> None:
        """Take the counts of one poll into the popularity."""
        fresh = self._fresh
        if not all(sum(layer) for layer in fresh):
            return
        self._fresh = _zeros(self._layers, self._experts)
        shares = [[count / sum(layer) for count in layer] for layer in fresh]
        before, before_at = self._popularity, self._fresh_at
        self._popularity, self._fresh_at = shares, now
        if before is None or before_at is None:
            return
        keep = math.exp((before_at - now) / AVERAGE_SECONDS)
        self._popularity = [
            _average(old, new, keep) for old, new in zip(before, shares, strict=True)
        ]

    def record_slowness(self, rank: int, slowness: float) -> None:
        """Note how slow a rank says that it is."""
        self._slowness[rank] = max(1.0, slowness)

    def record_switch(self, version: int, now: Instant) -> None:
        """Note that a map was ordered.

        The time of a step is forgotten: it was measured around a switch.
        """
        self._steps.clear()
        self._ordered_version = version
        self._ordered_until = now + IN_FORCE_SECONDS

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


def _average(old: Sequence[float], new: Sequence[float], keep: float) -> list[float]:
    """Return a layer's popularity; the new one alone after a change."""
    distance = sum(abs(was - now) for was, now in zip(old, new, strict=True)) / 2
    if distance > SHIFT_DISTANCE:
        return list(new)
    return [keep * was + (1.0 - keep) * now for was, now in zip(old, new, strict=True)]


def _zeros(layers: int, experts: int) -> list[list[float]]:
    return [[0.0] * experts for _ in range(layers)]
