"""Max-min fair shares of a capacity."""

import math
from collections.abc import Iterable
from typing import NamedTuple

OVER_SHARE = 1.25
"""Multiple of the equal share above which a workspace becomes over its share;
the use of equal workspaces fluctuates this much."""


class FairUse(NamedTuple):
    """The largest fair share, and how far use may deviate from it."""

    share: float = math.inf
    """Largest max-min fair share."""

    regained: float = math.inf
    """Use up to which a workspace is no longer over its share."""

    tolerated: float = math.inf
    """Use above which a workspace becomes over its share."""


def find_fair_use(uses: Iterable[float], demand_factor: float) -> FairUse:
    """Return which use is within a fair share of the total use.

    Two bounds, one above and one below, keep the use of a workspace near its
    share on average; with the tolerated use alone it would stay above.

    Args:
        uses: Known use of each workspace.
        demand_factor: Multiple of its use that each of them wants.

    Returns:
        Infinite uses if there is one workspace or none, or if they want no
        more than they use.
    """
    ascending = sorted(uses)
    if len(ascending) <= 1 or demand_factor <= 1.0:
        return FairUse()
    total = sum(ascending)
    demands = [use * demand_factor for use in ascending]
    share = _max_min_share(demands, total)
    equal_share = total / len(ascending)
    tolerated = max(share, equal_share * OVER_SHARE)
    return FairUse(share, share / OVER_SHARE, tolerated)


def _max_min_share(demands: list[float], capacity: float) -> float:
    """Return the largest max-min fair share of a capacity.

    Workspaces that want less than an equal part leave the rest of it to the
    others.

    Args:
        demands: What each workspace wants, the smallest first.
        capacity: What is shared out.
    """
    left, number = capacity, len(demands)
    for demand in demands:
        if demand * number >= left:
            return left / number
        left -= demand
        number -= 1
    return math.inf
