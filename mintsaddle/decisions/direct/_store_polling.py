"""Polling of the platform's store, and the position that a response leads to.

Load pattern: the store is briefly unavailable, loses its history, or is
restored from a backup and assigns revisions again. A watch that continues from
a revision before the restore would skip changes, so a full read must come
first. Most stores name their era in each response. For the others an outage is
the only sign, and only a full read shows whether they were restored.

A store that is available may still cut connections. Announcements expire only
while it doesn't answer, so a cut connection counts as an outage only if the
next call isn't answered either. Removals that follow an outage may be undone
within seconds; all others are final.
"""

from typing import NamedTuple

from mintsaddle.decisions.direct._replica import Position, PublishedItem, Replica


class StoreResponse(NamedTuple):
    """One current response of the store."""

    items: tuple[PublishedItem, ...]
    revision: int
    """Revision up to which the response is complete."""

    era: int | None
    """How often the store was restored from a backup; None if it doesn't
    report that."""


class StorePolling:
    """State of one entry's polling of the store."""

    def __init__(self) -> None:
        self._needs_full_read = False
        self._needs_check = False
        self._is_lost = False
        self._names_era = False

    @property
    def needs_full_read(self) -> bool:
        """Whether a full read must come before the next watch."""
        return self._needs_full_read

    @property
    def needs_check(self) -> bool:
        """Whether the next call must be one that is answered at once."""
        return self._needs_check

    @property
    def is_lost(self) -> bool:
        """Whether the store hasn't answered since a call that it failed."""
        return self._is_lost

    def record_history_gone(self) -> None:
        """Record that the store no longer has the requested history."""
        self._needs_check = False
        self._needs_full_read = True

    def record_gap(self) -> None:
        """Record that the store failed, or wasn't polled for a while."""
        self._needs_full_read = self._needs_full_read or not self._names_era

    def record_cut(self) -> None:
        """Record that a connection broke before the store owed an answer."""
        self._needs_check = True
        self.record_gap()

    def record_failure(self) -> None:
        """Record that the store didn't answer a call, or refused it."""
        self._needs_check = False
        self._is_lost = True
        self.record_gap()

    def record_available(self) -> None:
        """Record that the store, or a peer that it answers, has answered."""
        self._needs_check = False
        self._is_lost = False

    def resolve_position(
        self,
        replica: Replica,
        requested_position: Position,
        response: StoreResponse,
        *,
        is_full_read: bool,
    ) -> Position | None:
        """Return the position that a response leads to.

        Args:
            replica: The replica, which peers may have advanced meanwhile.
            requested_position: Position of the replica when the store was
                polled.
            response: The response.
            is_full_read: Whether it answers a full read rather than a watch.

        Returns:
            The position to apply the response with; None if the response
            builds on state that this entry lacks, so that a full read must
            come first.
        """
        self._names_era = response.era is not None
        # The first full read may be outdated, but has nothing to contradict.
        is_comparable_read = is_full_read and requested_position.revision > 0
        is_restored = is_comparable_read and replica.is_contradicted(
            response.items, requested_position, response.revision
        )
        era = find_era(requested_position, response.era, is_restored=is_restored)
        self._needs_full_read = era != requested_position.era and not is_full_read
        return None if self._needs_full_read else Position(era, response.revision)


def find_era(
    requested_position: Position, named: int | None, *, is_restored: bool
) -> int:
    """Return the era of a current response of the store.

    Args:
        requested_position: Position of the replica when the store was polled.
        named: The era that the store names; None if it names none.
        is_restored: Whether the content of the response shows that the store
            was restored from a backup since.
    """
    if named is not None and named >= requested_position.era:
        return named
    return requested_position.era + 1 if is_restored else requested_position.era
