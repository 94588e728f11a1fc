"""A replica of one key prefix of the platform's store.

Load pattern: the platform refuses some VMs, is down, has compacted its history
or responds late, while peers relay its changes. Each item carries the revision
of its last change, so updates from any source may be merged in any order.

The platform's store may also be restored from a backup. Later writes are lost
then, and their revisions are assigned again, so a revision is meaningful only
together with the era in which it was assigned. Updates from a later era are
taken over only as a complete snapshot.
"""

from collections.abc import Iterable
from typing import NamedTuple

from mintsaddle.values import Instant

_MAX_TOMBSTONES = 2_000
"""Removed keys remembered for relaying; about 200 KB. Covers days of removals
at the planned size of 820 endpoints, of which 410 are replaced per day."""


class Position(NamedTuple):
    """The point up to which a replica is complete; ordered by time."""

    era: int = 0
    """How often the store has been restored from a backup."""

    revision: int = 0
    """The store's revision in that era; 0 before the first full read."""


class PublishedItem(NamedTuple):
    """The last change of one key."""

    key: str
    revision: int
    value: bytes | None
    """None if the key was removed."""


class Replica:
    """All known items under one prefix."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._items: dict[str, PublishedItem] = {}
        self._position = Position()
        self._tombstones_since = 0
        self._confirmed_at: Instant = 0.0
        self._lapse_until: Instant = 0.0

    @property
    def prefix(self) -> str:
        """Prefix of all keys in the replica."""
        return self._prefix

    @property
    def position(self) -> Position:
        """The point up to which the replica is complete."""
        return self._position

    @property
    def is_empty(self) -> bool:
        """Whether no snapshot has been read yet."""
        return not self._position.revision

    @property
    def confirmed_at(self) -> Instant:
        """When the replica was last known to be complete."""
        return self._confirmed_at

    @property
    def lapse_until(self) -> Instant:
        """Until when a removal may result from an outage of the platform."""
        return self._lapse_until

    def confirm(self, at: Instant) -> None:
        """Record when the replica was complete; ignores earlier times."""
        self._confirmed_at = max(self._confirmed_at, at)

    def expect_lapses(self, until: Instant) -> None:
        """Record that removals may result from an outage of the platform."""
        self._lapse_until = max(self._lapse_until, until)

    def accepts(self, position: Position, *, is_complete: bool) -> bool:
        """Return whether updates that lead to a position can be taken over.

        Updates from an earlier era are invalid. Those from a later era must be
        a complete snapshot, since known items can't be compared with them.
        """
        era = self._position.era
        return position.era == era or (is_complete and position.era > era)

    def merge(
        self, items: Iterable[PublishedItem], position: Position
    ) -> list[PublishedItem]:
        """Merge changes; return those that were new."""
        if not self.accepts(position, is_complete=False):
            return []
        changed = []
        for item in items:
            if self._is_newer(item):
                self._items[item.key] = item
                changed.append(item)
        self._position = max(self._position, position)
        self._prune_tombstones()
        return changed

    def replace(
        self, items: Iterable[PublishedItem], position: Position
    ) -> list[PublishedItem]:
        """Apply a complete snapshot; return changes, removals included."""
        if not self.accepts(position, is_complete=True):
            return []
        snapshot = tuple(items)
        is_new_era = position.era > self._position.era
        present = {item.key for item in snapshot if item.value is not None}
        removals = [
            PublishedItem(key, position.revision, None)
            for key, known in self._items.items()
            if key not in present
            and known.value is not None
            and (is_new_era or known.revision <= position.revision)
        ]
        # The snapshot holds no removals of keys that were created and removed
        # before it.
        if is_new_era:
            self._tombstones_since = position.revision
            return self._start_era((*snapshot, *removals), position)
        self._tombstones_since = max(self._tombstones_since, position.revision)
        return self.merge((*snapshot, *removals), position)

    def lacks_removals_since(self, position: Position) -> bool:
        """Return whether a peer at a position needs a complete snapshot.

        Removals before the last snapshot that was read leave no tombstone.
        """
        return position < Position(self._position.era, self._tombstones_since)

    def changes_since(self, position: Position) -> list[PublishedItem]:
        """Return the changes that a peer at a position is missing.

        Returns all items if the peer needs a complete snapshot.
        """
        if position > self._position:
            return []
        if self.lacks_removals_since(position):
            return list(self._items.values())
        return [i for i in self._items.values() if i.revision > position.revision]

    def is_contradicted(
        self,
        items: Iterable[PublishedItem],
        requested_position: Position,
        revision: int,
    ) -> bool:
        """Return whether a full read shows that the store was restored.

        Unless the store was restored, neither a full read nor any of its items
        is older than what was known when the read was requested, and it
        neither lacks a key that was just written nor lists a removed one.

        Args:
            items: The items that were read.
            requested_position: Position of the replica when the read was
                requested.
            revision: The store's revision according to its response.
        """
        if revision < requested_position.revision:
            return True
        if requested_position.era != self._position.era:
            return False
        read = {item.key: item for item in items}
        has_unknown_old_key = any(
            item.revision <= requested_position.revision
            for key, item in read.items()
            if key not in self._items
        )
        return has_unknown_old_key or any(
            known.revision <= revision and _conflicts(known, read.get(key), revision)
            for key, known in self._items.items()
        )

    def count_older(self, items: Iterable[PublishedItem], position: Position) -> int:
        """Return how many items are older than the known state of their keys.

        Args:
            items: Items that were read or relayed.
            position: Position that they lead to; items from another era count
                as new.
        """
        if position.era != self._position.era:
            return 0
        known = self._items
        return sum(
            item.key in known and item.revision < known[item.key].revision
            for item in items
        )

    def _is_newer(self, item: PublishedItem) -> bool:
        known = self._items.get(item.key)
        # A key unknown up to the replica's position has been removed.
        known_revision = self._position.revision if known is None else known.revision
        return item.revision > known_revision

    def _start_era(
        self, items: Iterable[PublishedItem], position: Position
    ) -> list[PublishedItem]:
        """Take over the first snapshot of an era; return what it changes."""
        known = self._items
        self._items = {item.key: item for item in items}
        self._position = position
        return [
            item
            for item in self._items.values()
            if item.key not in known or known[item.key].value != item.value
        ]

    def _prune_tombstones(self) -> None:
        removed = [item for item in self._items.values() if item.value is None]
        if len(removed) <= _MAX_TOMBSTONES:
            return
        removed.sort(key=lambda item: item.revision)
        for item in removed[: len(removed) - _MAX_TOMBSTONES]:
            del self._items[item.key]
            self._tombstones_since = max(self._tombstones_since, item.revision)


def _conflicts(known: PublishedItem, read: PublishedItem | None, revision: int) -> bool:
    """Return whether two states of a key can't belong to the same history.

    Args:
        known: The known state.
        read: The state that was read; None if the key didn't exist.
        revision: The store's revision when the key was read.
    """
    if read is None:
        return known.value is not None and known.revision == revision
    is_same_revision = read.revision == known.revision
    return read.revision < known.revision or (
        is_same_revision and read.value != known.value
    )
