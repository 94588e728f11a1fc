"""Choice of the upstream from which an entry receives published changes.

Load pattern: hundreds of entries that all have to learn of each change within
the published bound. If every entry watched the platform, each change would
cost the platform one call per entry; a relay tree in each data centre reduces
that to one call per data centre.

There is no election. Each entry derives the tree from its own view of which
entries are alive, and polls the platform itself once its replica is no longer
confirmed. A wrong view therefore costs extra calls, but never exceeds the
bound.
"""

from collections.abc import Iterable

from mintsaddle.decisions.direct._membership import KnownEntry
from mintsaddle.values import Instant, rank_by_score, relay_parent

READERS_PER_DATA_CENTRE = 1
"""Entries per data centre that watch the platform."""

FAN_OUT = 6
"""Entries that follow the same upstream; bounds the load on a relay."""

STALE_AFTER_FRACTION = 0.6
"""Fraction of the bound after which an unconfirmed replica counts as stale;
the rest is left for a poll on a new connection."""

WATCH_WAIT_FRACTION = 0.35
"""Fraction of the bound for which a watch waits; short enough that a reader
without changes confirms its followers' replicas before they count as stale."""

CALL_INTERVAL_FRACTION = 0.05
"""Fraction of the bound between two calls of a reader, so that a burst of
changes, as at the start of a fleet, costs one call."""

RETRY_INTERVAL_FRACTION = 0.15
"""Fraction of the bound between two attempts while the platform fails."""

REJECT_SECONDS = 5.0
"""Seconds for which an upstream with a stale replica isn't followed again."""


def must_poll(
    *, is_reader: bool, confirmed_at: Instant, bound: float, now: Instant
) -> bool:
    """Return whether an entry has to poll the platform itself.

    Args:
        is_reader: Whether it has no upstream.
        confirmed_at: When its replica was last known to be complete.
        bound: Seconds from a change until every entry acts on it.
        now: The current time.
    """
    return is_reader or now - confirmed_at >= bound * STALE_AFTER_FRACTION


class UpstreamSelector:
    """Chooses the upstream of one entry."""

    def __init__(self, vm: str, data_centre: str) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._rejected_until: dict[str, Instant] = {}

    def choose(self, entries: Iterable[KnownEntry], now: Instant) -> KnownEntry | None:
        """Return the entry to follow.

        Args:
            entries: The other entries that are considered reachable.
            now: The current time.

        Returns:
            A higher-ranked entry of the same data centre, or None if this
            entry has to watch the platform.
        """
        candidates = {
            entry.vm: entry
            for entry in entries
            if entry.data_centre == self._data_centre
            and now >= self._rejected_until.get(entry.vm, now)
        }
        ranked = rank_by_score(f"upstream {self._data_centre}", {*candidates, self._vm})
        parent = relay_parent(
            ranked, self._vm, roots=READERS_PER_DATA_CENTRE, fan_out=FAN_OUT
        )
        return None if parent is None else candidates[parent]

    def reject(self, vm: str, now: Instant) -> None:
        """Avoid an upstream whose replica is older than this entry's."""
        self._rejected_until = {
            name: until for name, until in self._rejected_until.items() if until > now
        }
        self._rejected_until[vm] = now + REJECT_SECONDS
