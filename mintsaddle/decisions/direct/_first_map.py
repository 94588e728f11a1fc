"""How many streams a group bears that has just formed.

Load pattern: a group was away for seconds, and with it its map: it begins with
experts in turn, whatever is popular, until the first map that fits is in force
a second later. Its steps take twice as long meanwhile, and all who waited
arrive together. Engines tell of new requests a step late, so each of them
looks idle to all entries; let in one and all, everybody is late.

So the published duration of steps says how many requests an engine bears, and
each entry keeps to its share of that for as long as the first map is in force.
"""

from collections.abc import Sequence
from statistics import mean
from typing import NamedTuple

from mintsaddle.decisions.direct._table import StepModel

FIRST_MAP_SKEW = 2.0
"""Times that a step of a group with its first map takes longer than one with
equal work for all experts, until steps are observed."""

ON_TIME_SHARE = 0.95
"""Share of the longest pause on time that a predicted step may take."""

UNEVEN_SHARE = 1.5
"""Times its equal share that an entry may use for streams that can still be on
time: the balancer spreads callers unevenly."""


class EntryShare(NamedTuple):
    """What one of many entries has to know of the others' streams."""

    in_flight: int
    """Its own requests at engines of the service."""

    engines: int
    """Engines of the service that take work."""

    entries: int
    """Entries that send to them."""

    def is_used(self, places: float, *, late: bool) -> bool:
        """Return whether this entry has its share of places already.

        Args:
            places: Requests that each engine bears.
            late: Whether they are for streams that can't be on time any more,
                which leave the rest to others.
        """
        share = places * self.engines / max(1, self.entries)
        return self.in_flight >= max(1.0, share if late else share * UNEVEN_SHARE)


def bearable_requests(
    steps: StepModel, skew: float, longest_pause: float, most: int
) -> int:
    """Return how many requests an engine may have with all of them on time.

    Args:
        steps: How long its steps take with equal work for all experts.
        skew: How many times longer they take.
        longest_pause: Seconds between two events that are still on time; 0 if
            the route names none.
        most: Its places.
    """
    if longest_pause <= 0:
        return most
    bearable = longest_pause * ON_TIME_SHARE / skew
    fitting = [n for n in range(1, most + 1) if steps.step_seconds(n) <= bearable]
    return max(fitting, default=1)


def estimate_skew(steps: StepModel, seconds: float, requests: Sequence[int]) -> float:
    """Return how many times longer steps take than with equal work.

    Args:
        steps: How long they take with equal work.
        seconds: How long they are observed to take; 0 if that isn't known.
        requests: Requests at some engines of the group.
    """
    if seconds <= 0 or not requests:
        return FIRST_MAP_SKEW
    return max(1.0, seconds / steps.step_seconds(round(mean(requests))))
