"""Requests that have begun to arrive and don't go on.

Load pattern: requests arrive whole within milliseconds. A client that sends a
byte now and then, or nothing more, keeps its connection for as long as it
likes, and a few hundred of them would take all connections. Each part of a
request therefore has a deadline, and all unfinished requests together hold a
share of the connections at most. Those that arrive for longest go first.
"""

import heapq
from collections.abc import Iterable
from typing import NamedTuple

from mintsaddle.values import Instant


class Unfinished(NamedTuple):
    """A request that is still arriving."""

    begun_at: Instant
    connection: int


def find_excess(requests: Iterable[Unfinished], allowed: int) -> list[int]:
    """Return the connections of the requests that exceed the allowed number.

    Args:
        requests: All unfinished requests.
        allowed: How many of them may hold a connection.
    """
    waiting = list(requests)
    oldest = heapq.nsmallest(max(0, len(waiting) - allowed), waiting)
    return [request.connection for request in oldest]
