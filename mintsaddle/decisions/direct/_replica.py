"""A copy of what is published under one prefix, fed by platform and peers.

Load pattern: the platform turns some VMs away, is down, forgets its history
or answers late, and peers relay meanwhile. Each item carries the revision of
its last change, so answers of any source may be merged in any order.
"""

from collections.abc import Iterable
from typing import NamedTuple

from mintsaddle.values import Instant

_MOST_TOMBSTONES = 2_000
"""Removed keys remembered for relaying; about 200 KB. At the planned size 820
endpoints of which 410 a day are replaced, that is days of removals."""


class PublishedItem(NamedTuple):
    """One key's last change."""

    key: str
    revision: int
    value: bytes | None
    """None when the key was removed."""


class Replica:
    """Everything known under one prefix."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._items: dict[str, PublishedItem] = {}
        self._position = 0
        self._confirmed_at: Instant = 0.0
        self._lapse_until: Instant = 0.0

    @property
    def prefix(self) -> str:
        """The keys that it covers begin so."""
        return self._prefix

    @property
    def position(self) -> int:
        """Revision up to which nothing is missing; 0 before a reading."""
        return self._position

    @property
    def confirmed_at(self) -> Instant:
        """When it was last known to be complete."""
        return self._confirmed_at

    @property
    def lapse_until(self) -> Instant:
        """Until when a removal may stem from the platform's own absence."""
        return self._lapse_until

    def confirm(self, at: Instant) -> None:
        """Note when it was complete; an earlier instant changes nothing."""
        self._confirmed_at = max(self._confirmed_at, at)

    def expect_lapses(self, until: Instant) -> None:
        """Record that the platform came back a moment ago."""
        self._lapse_until = max(self._lapse_until, until)

    def merge(
        self, items: Iterable[PublishedItem], position: int
    ) -> list[PublishedItem]:
        """Take over changes; return those that are news."""
        changed = []
        for item in items:
            known = self._items.get(item.key)
            if known is None or item.revision > known.revision:
                self._items[item.key] = item
                changed.append(item)
        self._position = max(self._position, position)
        self._forget_tombstones()
        return changed

    def replace(
        self, items: Iterable[PublishedItem], position: int
    ) -> list[PublishedItem]:
        """Take over a complete reading; return changes, removals included."""
        listed = tuple(items)
        present = {item.key for item in listed}
        gone = [
            PublishedItem(key, position, None)
            for key, known in self._items.items()
            if key not in present
            and known.value is not None
            and known.revision <= position
        ]
        return self.merge((*listed, *gone), position)

    def count_older(self, items: Iterable[PublishedItem]) -> int:
        """Return how many items are older than what is known of their keys."""
        known = self._items
        return sum(
            item.key in known and item.revision < known[item.key].revision
            for item in items
        )

    def changes_since(self, position: int) -> list[PublishedItem]:
        """Return what a peer that stands at a revision is missing."""
        return [item for item in self._items.values() if item.revision > position]

    def _forget_tombstones(self) -> None:
        removed = [item for item in self._items.values() if item.value is None]
        if len(removed) <= _MOST_TOMBSTONES:
            return
        removed.sort(key=lambda item: item.revision)
        for item in removed[: len(removed) - _MOST_TOMBSTONES]:
            del self._items[item.key]
