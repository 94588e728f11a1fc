"""A copy of what is published under one prefix, fed by platform and peers.

Load pattern: the platform turns some VMs away, is down, forgets its history
or answers late, and peers relay meanwhile. Each item carries the revision of
its last change, so answers of any source may be merged in any order.

The platform's store may also come back from an older copy. What was written
since is gone, and its revisions are given out again, so a revision says
nothing without the era in which it was given out. News of another era are
taken over as a complete copy only.
"""

from collections.abc import Iterable
from typing import NamedTuple

from mintsaddle.values import Instant

_MOST_TOMBSTONES = 2_000
"""Removed keys remembered for relaying; about 200 KB. At the planned size 820
endpoints of which 410 a day are replaced, that is days of removals."""


class Position(NamedTuple):
    """Up to where a copy misses nothing; of two, the later one is greater."""

    era: int = 0
    """How often the store has come back from an older copy."""

    revision: int = 0
    """The store's revision in that era; 0 before a reading."""


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
        self._position = Position()
        self._floor = 0
        self._confirmed_at: Instant = 0.0
        self._lapse_until: Instant = 0.0

    @property
    def prefix(self) -> str:
        """The keys that it covers begin so."""
        return self._prefix

    @property
    def position(self) -> Position:
        """Up to where nothing is missing."""
        return self._position

    @property
    def is_empty(self) -> bool:
        """Whether nothing has been read yet."""
        return not self._position.revision

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

    def accepts(self, position: Position, *, is_complete: bool) -> bool:
        """Return whether news that lead to a position can be taken over.

        News of an earlier era are void. Those of a later era need a complete
        copy, since what is known can't be compared with them.
        """
        era = self._position.era
        return position.era == era or (is_complete and position.era > era)

    def merge(
        self, items: Iterable[PublishedItem], position: Position
    ) -> list[PublishedItem]:
        """Take over changes; return those that are news."""
        if not self.accepts(position, is_complete=False):
            return []
        changed = []
        for item in items:
            if self._is_news(item):
                self._items[item.key] = item
                changed.append(item)
        self._position = max(self._position, position)
        self._forget_tombstones()
        return changed

    def replace(
        self, items: Iterable[PublishedItem], position: Position
    ) -> list[PublishedItem]:
        """Take over a complete copy; return changes, removals included."""
        if not self.accepts(position, is_complete=True):
            return []
        listed = tuple(items)
        is_new_era = position.era > self._position.era
        present = {item.key for item in listed if item.value is not None}
        gone = [
            PublishedItem(key, position.revision, None)
            for key, known in self._items.items()
            if key not in present
            and known.value is not None
            and (is_new_era or known.revision <= position.revision)
        ]
        # Of keys that came and went before, it holds no removal.
        if is_new_era:
            self._floor = position.revision
            return self._start_era((*listed, *gone), position)
        self._floor = max(self._floor, position.revision)
        return self.merge((*listed, *gone), position)

    def lacks_removals_since(self, position: Position) -> bool:
        """Return whether a peer that stands at a position needs a whole copy.

        Only what is removed after the last complete reading leaves a trace.
        """
        return position < Position(self._position.era, self._floor)

    def changes_since(self, position: Position) -> list[PublishedItem]:
        """Return what a peer that stands at a position is missing.

        That is everything if it needs a whole copy.
        """
        if position > self._position:
            return []
        if self.lacks_removals_since(position):
            return list(self._items.values())
        return [i for i in self._items.values() if i.revision > position.revision]

    def is_contradicted(
        self, items: Iterable[PublishedItem], asked: Position, revision: int
    ) -> bool:
        """Return whether a complete reading shows that the store was restored.

        Without that, a current reading is never before what was known when it
        was asked for, nor is any of its items, nor does it lack what was just
        written or hold what was gone.

        Args:
            items: What was read.
            asked: Where the copy stood before.
            revision: The store's revision by its answer.
        """
        if revision < asked.revision:
            return True
        if asked.era != self._position.era:
            return False
        read = {item.key: item for item in items}
        is_unknown_old = any(
            item.revision <= asked.revision
            for key, item in read.items()
            if key not in self._items
        )
        return is_unknown_old or any(
            known.revision <= revision and _clash(known, read.get(key), revision)
            for key, known in self._items.items()
        )

    def count_older(self, items: Iterable[PublishedItem], position: Position) -> int:
        """Return how many items are older than what is known of their keys.

        Args:
            items: What was read or relayed.
            position: Where it leads to; items of another era count as new.
        """
        if position.era != self._position.era:
            return 0
        known = self._items
        return sum(
            item.key in known and item.revision < known[item.key].revision
            for item in items
        )

    def _is_news(self, item: PublishedItem) -> bool:
        known = self._items.get(item.key)
        # Up to its position a copy knows all keys but those that are gone.
        floor = self._position.revision if known is None else known.revision
        return item.revision > floor

    def _start_era(
        self, items: Iterable[PublishedItem], position: Position
    ) -> list[PublishedItem]:
        """Take over the first copy of an era; return what it changes."""
        known = self._items
        self._items = {item.key: item for item in items}
        self._position = position
        return [
            item
            for item in self._items.values()
            if item.key not in known or known[item.key].value != item.value
        ]

    def _forget_tombstones(self) -> None:
        removed = [item for item in self._items.values() if item.value is None]
        if len(removed) <= _MOST_TOMBSTONES:
            return
        removed.sort(key=lambda item: item.revision)
        for item in removed[: len(removed) - _MOST_TOMBSTONES]:
            del self._items[item.key]
            self._floor = max(self._floor, item.revision)


def _clash(known: PublishedItem, read: PublishedItem | None, revision: int) -> bool:
    """Return whether two states of a key can't be of one history.

    Args:
        known: The state before.
        read: The state that was read; None if the key wasn't there.
        revision: The store's revision when it was read.
    """
    if read is None:
        return known.value is not None and known.revision == revision
    is_same_revision = read.revision == known.revision
    return read.revision < known.revision or (
        is_same_revision and read.value != known.value
    )
