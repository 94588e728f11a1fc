"""Decides when changing the expert map of a group pays off.

Load pattern: popularity is stable for a few seconds and then changes for most
experts at once; earlier patterns partly recur. Changing the map costs weight
transfers, a few orders and slower steps while weights are loaded. The gain
must exceed that cost, so the map of a group that keeps up is left unchanged.
"""

import math
from collections import deque
from collections.abc import Sequence

from mintsaddle.decisions.expert_maps._maps import ExpertMap, Popularity
from mintsaddle.decisions.expert_maps._spread import (
    SpreadLimits,
    mean_skew,
    spread_experts,
)
from mintsaddle.decisions.expert_maps._stall import StallDetector
from mintsaddle.values import Instant

BUSY_PAUSE_SHARE = 0.25
"""Step time from which a group counts as busy, as a share of the longest
pause that callers accept. Planning starts well before pauses become too long,
since loading the weights of a new map makes steps 15% longer."""

DEFAULT_PAUSE = 0.12
"""Longest accepted seconds between two events if no route specifies them."""

MIN_GAIN = 0.1
"""Minimum share by which a new map must reduce the mean skew."""

AVERAGING_SECONDS = 0.6
"""Time constant in seconds for averaging counts while popularity is stable;
long enough to smooth out the mix of requests in progress."""

SHIFT_DISTANCE = 0.22
"""Share of a layer's tokens routed to different experts above which popularity
counts as changed. Older counts of the layer are then discarded, since a map
planned for a mixture of both would fit neither."""

STEP_WINDOW_SECONDS = 0.3
"""Window in seconds for measuring the step time; longer than one poll, during
which no step may begin."""

ACTIVATION_TIMEOUT_SECONDS = 1.0
"""Seconds to wait for an ordered map to become active; after that, planning
starts from the map that the ranks report."""


def choose_sampled_ranks(serving: Sequence[int], count: int) -> list[int]:
    """Return the ranks to read, evenly spread over those that receive work.

    Ranks in an evacuated data centre run the same steps as all others but
    receive no requests. Sampling one of them would make the group appear idle,
    and its map would not change until the data centre is back.

    Args:
        serving: Ranks that receive work.
        count: Number of ranks to read.
    """
    step = max(1, len(serving) // count)
    return list(serving[::step][:count])


class MapWatch:
    """Tracks step time, popularity and rank speeds of a group in one epoch."""

    def __init__(
        self, epoch: int, layers: int, experts: int, longest_pause: float
    ) -> None:
        """Initialise with no measurements.

        Args:
            epoch: The group's epoch.
            layers: Number of layers of the model.
            experts: Number of experts in each layer.
            longest_pause: Longest seconds between two events that callers
                accept; 0 if no route specifies them.
        """
        self._epoch = epoch
        self._layers = layers
        self._experts = experts
        # With a pause of 0 an idle group would count as busy.
        self._longest_pause = longest_pause or DEFAULT_PAUSE
        self._steps: deque[tuple[Instant, int]] = deque()
        self._stall_detector = StallDetector()
        self._running = 0
        self._last_counts: dict[int, Popularity] = {}
        self._pending_counts = _zeros(layers, experts)
        self._popularity_at: Instant | None = None
        self._popularity: list[list[float]] | None = None
        self._slowness: dict[int, float] = {}
        self._ordered_version = 0
        self._pending_until: Instant = 0.0

    @property
    def epoch(self) -> int:
        """The group's epoch."""
        return self._epoch

    @property
    def step_seconds(self) -> float:
        """Current duration of a step in seconds; 0 if unknown."""
        if not self._running or len(self._steps) < 2:
            return 0.0
        (first_at, first), (last_at, last) = self._steps[0], self._steps[-1]
        return (last_at - first_at) / (last - first)

    @property
    def is_busy(self) -> bool:
        """Whether steps are long enough to delay callers."""
        return self.step_seconds >= self._longest_pause * BUSY_PAUSE_SHARE

    def is_stalled(self, now: Instant) -> bool:
        """Return whether the group has work but makes no steps."""
        return self._stall_detector.is_stalled(now)

    def can_plan_from(self, version: int, now: Instant) -> bool:
        """Return whether a new map may be planned from the given version.

        While an ordered map is not yet active, a plan would start from the
        previous map: its orders would be refused, or it would repeat moves of
        the ordered map.

        Args:
            version: The active version as reported by a rank.
            now: The current time.
        """
        return version == self._ordered_version or now >= self._pending_until

    def record_step(self, step: int, running: int, now: Instant) -> None:
        """Record the step number and running requests of a report."""
        if not running or not self._running:
            self._steps.clear()
        self._stall_detector.record_step(step, running, now)
        if not self._steps or step != self._steps[-1][1]:
            self._steps.append((now, step))
        while len(self._steps) > 2 and self._steps[1][0] <= now - STEP_WINDOW_SECONDS:
            self._steps.popleft()
        self._running = running

    def record_counts(self, rank: int, counts: Popularity) -> None:
        """Record the token counts of a rank, cumulative since its start."""
        before = self._last_counts.get(rank)
        self._last_counts[rank] = counts
        if before is None:
            return
        for fresh, old, new in zip(self._pending_counts, before, counts, strict=True):
            for expert, (old_count, new_count) in enumerate(zip(old, new, strict=True)):
                fresh[expert] += max(0, new_count - old_count)

    def update_popularity(self, now: Instant) -> None:
        """Update the popularity average with the counts of one poll."""
        fresh = self._pending_counts
        if not all(sum(layer) for layer in fresh):
            return
        self._pending_counts = _zeros(self._layers, self._experts)
        shares = [[count / sum(layer) for count in layer] for layer in fresh]
        before, before_at = self._popularity, self._popularity_at
        self._popularity, self._popularity_at = shares, now
        if before is None or before_at is None:
            return
        decay = math.exp((before_at - now) / AVERAGING_SECONDS)
        self._popularity = [
            _average(old, new, decay) for old, new in zip(before, shares, strict=True)
        ]

    def record_slowness(self, rank: int, slowness: float) -> None:
        """Record the slowness that a rank reports, at least 1."""
        self._slowness[rank] = max(1.0, slowness)

    def record_switch(self, version: int, now: Instant) -> None:
        """Record that a map was ordered.

        The step time is reset, since steps around a switch are not
        representative.
        """
        self._steps.clear()
        self._ordered_version = version
        self._pending_until = now + ACTIVATION_TIMEOUT_SECONDS

    def plan(self, current: ExpertMap, limits: SpreadLimits) -> ExpertMap | None:
        """Return a new map if its gain is sufficient, else None."""
        if self._popularity is None:
            return None
        ranks = range(len(current.layers[0]))
        speeds = [1.0 / self._slowness.get(rank, 1.0) for rank in ranks]
        popularity = self._popularity
        version = current.version + 1
        planned = spread_experts(version, current, popularity, limits, speeds)
        before = mean_skew(current, popularity, speeds)
        after = mean_skew(planned, popularity, speeds)
        return planned if after <= before * (1.0 - MIN_GAIN) else None


def _average(old: Sequence[float], new: Sequence[float], decay: float) -> list[float]:
    """Return a layer's averaged popularity, or the new one after a shift."""
    distance = (
        sum(abs(before - after) for before, after in zip(old, new, strict=True)) / 2
    )
    if distance > SHIFT_DISTANCE:
        return list(new)
    return [
        decay * before + (1.0 - decay) * after
        for before, after in zip(old, new, strict=True)
    ]


def _zeros(layers: int, experts: int) -> list[list[float]]:
    return [[0.0] * experts for _ in range(layers)]
