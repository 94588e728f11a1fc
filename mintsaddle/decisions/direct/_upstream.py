"""From whom an entry hears of what the platform publishes.

Load pattern: hundreds of entries, each change of which all have to know
within the published bound. A watch of its own in each entry costs the platform
a call for each change and entry; a relay tree in each data centre costs one
for each change and data centre.

No entry is elected. All derive the tree from their own view of who is alive,
and an entry whose copy is no longer confirmed polls the platform for itself.
So a wrong view costs calls, never the bound.
"""

from collections.abc import Iterable

from mintsaddle.decisions.direct._membership import KnownEntry
from mintsaddle.values import Instant, rank_by_score, relay_parent

READERS = 1
"""Entries of a data centre that watch the platform."""

FAN_OUT = 6
"""Entries that follow the same upstream; bounds what a relay sends."""

STALE_SHARE = 0.6
"""Share of the bound after which an unconfirmed copy counts as stale: the rest
is for a poll on a fresh connection."""

WATCH_SHARE = 0.35
"""Share of the bound for which a watch waits, so that a quiet reader confirms
its followers' copies before they count as stale."""

COALESCE_SHARE = 0.05
"""Share of the bound between two calls of a reader, so that changes that come
together, as at the start of a fleet, cost one call."""

RETRY_SHARE = 0.15
"""Share of the bound between two tries while the platform fails."""

REJECT_SECONDS = 5.0
"""Seconds for which an upstream whose copy was stale isn't followed again."""


def must_poll(
    *, is_reader: bool, confirmed_at: Instant, bound: float, now: Instant
) -> bool:
    """Return whether an entry has to ask the platform itself.

    Args:
        is_reader: Whether it has nobody to follow.
        confirmed_at: When its copy was last known to be complete.
        bound: Seconds from a change until every entry acts on it.
        now: The present instant.
    """
    return is_reader or now - confirmed_at >= bound * STALE_SHARE


class Upstreams:
    """Whom one entry follows."""

    def __init__(self, vm: str, data_centre: str) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._rejected_until: dict[str, Instant] = {}

    def choose(self, entries: Iterable[KnownEntry], now: Instant) -> KnownEntry | None:
        """Return the entry to follow.

        Args:
            entries: The other entries that are believed to be reachable.
            now: The present instant.

        Returns:
            An entry of the same data centre that ranks higher, or None when
            this one has to watch the platform.
        """
        fit = {
            entry.vm: entry
            for entry in entries
            if entry.data_centre == self._data_centre
            and now >= self._rejected_until.get(entry.vm, now)
        }
        ranked = rank_by_score(f"upstream {self._data_centre}", {*fit, self._vm})
        parent = relay_parent(ranked, self._vm, roots=READERS, fan_out=FAN_OUT)
        return None if parent is None else fit[parent]

    def reject(self, vm: str, now: Instant) -> None:
        """Avoid an upstream whose copy is older than this entry's own."""
        self._rejected_until = {
            name: until for name, until in self._rejected_until.items() if until > now
        }
        self._rejected_until[vm] = now + REJECT_SECONDS
