"""How many streams a rank group that has just formed can serve on time.

A group that was down for seconds has lost its expert map. It starts with a
round-robin map, which ignores popularity, until the first planned map becomes
active a second later. Meanwhile its steps take twice as long, and all waiting
streams arrive together. Engines report new requests one step late, so each
engine appears idle to all entries; if all streams were admitted, all would be
late.

So the number of requests that an engine can serve is derived from the
published step model, and each entry keeps to its share of that number while
the round-robin map is active.
"""

from collections.abc import Sequence
from statistics import mean
from typing import NamedTuple

from mintsaddle.decisions.direct._table import StepModel

FIRST_MAP_SKEW = 2.0
"""How many times longer a step takes with the first map than with equal work
for all experts; used until steps are observed."""

PAUSE_BUDGET_SHARE = 0.95
"""Share of the route's longest pause that a predicted step may take."""

UNEVEN_LOAD_FACTOR = 1.5
"""Multiple of its equal share that an entry may use for streams that can still
be on time, since the upstream balancer spreads callers unevenly."""


class EntryShare(NamedTuple):
    """An entry's own load, and how many entries share the engines."""

    in_flight: int
    """Its own requests at engines of the service."""

    engines: int
    """Engines of the service that accept work."""

    entries: int
    """Entries that send to them."""

    def is_exhausted(self, slots: float, *, late: bool) -> bool:
        """Return whether this entry has used up its share of the slots.

        Args:
            slots: Requests that each engine can serve.
            late: Whether the slots are for late streams, which may not use
                more than the equal share.
        """
        share = slots * self.engines / max(1, self.entries)
        return self.in_flight >= max(1.0, share if late else share * UNEVEN_LOAD_FACTOR)


def sustainable_requests(
    steps: StepModel, skew: float, longest_pause: float, slots: int
) -> int:
    """Return how many requests an engine can serve on time.

    Args:
        steps: The model of its step times with equal work for all experts.
        skew: How many times longer its steps take.
        longest_pause: Longest time between two events of a stream that is on
            time, in seconds; 0 if the route sets none.
        slots: Its slots.
    """
    if longest_pause <= 0:
        return slots
    max_step_seconds = longest_pause * PAUSE_BUDGET_SHARE / skew
    fitting = [
        n for n in range(1, slots + 1) if steps.step_seconds(n) <= max_step_seconds
    ]
    return max(fitting, default=1)


def estimate_skew(steps: StepModel, seconds: float, requests: Sequence[int]) -> float:
    """Return how many times longer steps take than with equal work.

    Args:
        steps: The model of step times with equal work for all experts.
        seconds: The observed step time; 0 if unknown.
        requests: Requests at some engines of the group.
    """
    if seconds <= 0 or not requests:
        return FIRST_MAP_SKEW
    return max(1.0, seconds / steps.step_seconds(round(mean(requests))))
