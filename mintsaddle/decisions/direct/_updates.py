"""Published updates, and how they change the directory.

Updates arrive from the platform or from a peer. Each one concerns a single
key, so the order of updates to different keys doesn't matter.
"""

from collections.abc import Iterable
from typing import NamedTuple, TypeAlias

from mintsaddle.decisions.direct._directory import (
    Directory,
    Incarnation,
    LeavingRun,
    RankAssignment,
    Removal,
    WithheldRun,
)
from mintsaddle.decisions.direct._table import RoutingTable
from mintsaddle.values import Instant

LAPSE_GRACE_SECONDS = 2.0
"""How long an endpoint whose announcement expired during a platform outage
stays usable after the platform returns; the platform gives running endpoints
the same time to announce themselves again."""

REMOVAL_MEMORY_SECONDS = 60.0
"""How long a removed endpoint is remembered, in case the platform is restored
from a backup that still lists it; such backups are seconds old."""


class TablePublished(NamedTuple):
    """The operator has published a routing table."""

    table: RoutingTable


class EndpointPublished(NamedTuple):
    """An endpoint has announced itself."""

    incarnation: Incarnation


class EndpointRemoved(NamedTuple):
    """An endpoint's announcement was removed or is no longer readable."""

    name: str


class EndpointReplaced(NamedTuple):
    """Another run has answered at an endpoint's address."""

    name: str


class EndpointSaidLeaving(NamedTuple):
    """An endpoint has said in an answer that it is shutting down."""

    name: str
    started_at_ms: int
    """Announced start of the run that answered, in Unix milliseconds."""


class DataCentreEvacuated(NamedTuple):
    """The operator has taken a data centre out of service."""

    data_centre: str


class DataCentreReinstated(NamedTuple):
    """The operator has put a data centre back into service."""

    data_centre: str


DirectoryUpdate: TypeAlias = (
    TablePublished
    | EndpointPublished
    | EndpointRemoved
    | EndpointReplaced
    | EndpointSaidLeaving
    | DataCentreEvacuated
    | DataCentreReinstated
)
"""One published change."""


def apply_updates(
    directory: Directory,
    updates: Iterable[DirectoryUpdate],
    lapse_until: Instant,
    now: Instant,
    hold_until: Instant | None = None,
) -> Directory:
    """Return the directory with updates applied.

    Args:
        directory: The directory before the updates.
        updates: Published updates, oldest first.
        lapse_until: Until when removed endpoints stay usable; in the past
            while the platform is healthy, so that removals take effect at
            once.
        now: The current time.
        hold_until: Set if the updates come from a store restored from a
            backup older than the directory: until when evacuated data centres
            stay evacuated and removed endpoints stay unused, even if the
            updates say otherwise.
    """
    builder = _DirectoryBuilder(directory, lapse_until, now, hold_until)
    for update in updates:
        builder.apply(update)
    return builder.finish()


class _DirectoryBuilder:
    """Builds a directory by applying updates one by one."""

    def __init__(
        self,
        directory: Directory,
        lapse_until: Instant,
        now: Instant,
        hold_until: Instant | None,
    ) -> None:
        self._lapse_until = lapse_until
        self._now = now
        self._hold_until = hold_until
        self._table = directory.table
        self._endpoints = dict(directory.endpoints)
        self._lapsed = dict(directory.lapsed)
        self._superseded = dict(directory.superseded)
        self._evacuated = set(directory.evacuated)
        self._pending_reinstatement = dict(directory.pending_reinstatement)
        self._removed = dict(directory.removed)
        self._withheld = dict(directory.withheld)
        self._said_leaving = dict(directory.said_leaving)

    def apply(self, update: DirectoryUpdate) -> None:
        """Apply one update."""
        match update:
            case TablePublished(newer):
                # Relayed updates and platform responses may arrive in any
                # order; the table version must never decrease.
                if self._table is None or newer.version > self._table.version:
                    self._table = newer
            case EndpointPublished(incarnation):
                self._publish_run(incarnation)
            case EndpointReplaced(name):
                self._drop(name)
            case EndpointSaidLeaving(name, started_at_ms):
                self._record_leaving(name, started_at_ms)
            case EndpointRemoved(name):
                self._remove(name)
            case DataCentreEvacuated(name):
                self._evacuated.add(name)
                self._pending_reinstatement.pop(name, None)
            case DataCentreReinstated(name):
                self._reinstate(name)

    def finish(self) -> Directory:
        """Return the resulting directory."""
        known_since = self._now - REMOVAL_MEMORY_SECONDS
        removed = {n: r for n, r in self._removed.items() if r.known_at > known_since}
        listed = self._endpoints.keys() | self._superseded.keys()
        said_leaving = {
            name: run
            for name, run in self._said_leaving.items()
            if name in listed or run.known_at > known_since
        }
        return Directory(
            table=self._table,
            endpoints=self._endpoints,
            evacuated=frozenset(self._evacuated),
            lapsed=self._lapsed,
            superseded=self._superseded,
            pending_reinstatement=self._pending_reinstatement,
            removed=removed,
            said_leaving=said_leaving,
            withheld=self._withheld,
        )

    def expire(self) -> None:
        """Apply all time limits that have passed."""
        for name, until in list(self._lapsed.items()):
            if self._now >= until:
                self._drop(name)
        for withheld in list(self._withheld.values()):
            if self._now >= withheld.until:
                self._publish_run(withheld.incarnation)
        for name, until in list(self._pending_reinstatement.items()):
            if self._now >= until:
                self._reinstate(name)

    def _publish_run(self, incarnation: Incarnation) -> None:
        name = incarnation.name
        removal = self._removed.get(name)
        is_known_removed = (
            removal is not None and removal.started_at_ms >= incarnation.started_at_ms
        )
        if self._hold_until is not None and is_known_removed:
            self._withheld[name] = WithheldRun(incarnation, self._hold_until)
            return
        self._withheld.pop(name, None)
        self._removed.pop(name, None)
        known = self._endpoints.get(name)
        if known is not None:
            incarnation = self._merge_announcement(known, incarnation)
        self._resolve_address(incarnation)

    def _record_leaving(self, name: str, started_at_ms: int) -> None:
        self._said_leaving[name] = LeavingRun(started_at_ms, self._now)
        known = self._endpoints.get(name)
        if known is not None and self._has_said_leaving(known):
            self._endpoints[name] = known._replace(leaving=True)

    def _has_said_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether this run has said that it leaves.

        The store may list it as ready all the while: announcements come later
        than answers, are missing while the store is away, and may be restored
        from a backup.
        """
        leaving = self._said_leaving.get(incarnation.name)
        return (
            leaving is not None and leaving.started_at_ms == incarnation.started_at_ms
        )

    def _merge_announcement(
        self, known: Incarnation, newer: Incarnation
    ) -> Incarnation:
        """Return a newer announcement, keeping state that only advances.

        A run that has announced its shutdown stays ``leaving``. A restored
        store may hold an announcement from before the endpoint restarted,
        turned cold or joined a new epoch of its group.
        """
        if self._hold_until is not None and known.started_at_ms > newer.started_at_ms:
            return known
        if known.started_at_ms != newer.started_at_ms:
            return newer
        newer = newer._replace(leaving=known.leaving or newer.leaving)
        if self._hold_until is None:
            return newer
        return newer._replace(
            cold_until=max(known.cold_until, newer.cold_until),
            assignment=_later_assignment(known.assignment, newer.assignment),
        )

    def _resolve_address(self, run: Incarnation) -> None:
        """Use a run unless another one at its address started later.

        The announcement of a crashed run stays listed for seconds next to
        that of its successor, and every request sent to it is refused.
        """
        if self._has_said_leaving(run):
            run = run._replace(leaving=True)
        others = [
            other
            for other in self._endpoints.values()
            if other.address == run.address and other.name != run.name
        ]
        if any(other.started_at_ms > run.started_at_ms for other in others):
            self._endpoints.pop(run.name, None)
            self._superseded[run.name] = run
            return
        for other in others:
            if other.started_at_ms < run.started_at_ms:
                del self._endpoints[other.name]
                if other.name not in self._lapsed:
                    self._superseded[other.name] = other
        self._endpoints[run.name] = run
        self._superseded.pop(run.name, None)
        self._lapsed.pop(run.name, None)

    def _remove(self, name: str) -> None:
        self._withheld.pop(name, None)
        self._superseded.pop(name, None)
        known = self._endpoints.get(name)
        if known is None:
            return
        if not known.leaving and self._lapse_until > self._now:
            self._lapsed.setdefault(name, self._lapse_until)
            return
        self._drop(name)

    def _drop(self, name: str) -> None:
        """Remove a run, and use the one that it superseded.

        Start times come from clocks that may jump, so the superseded run may
        be the one that is alive.
        """
        self._lapsed.pop(name, None)
        known = self._endpoints.pop(name, None)
        if known is None:
            return
        self._removed[name] = Removal(known.started_at_ms, self._now)
        superseded = [
            i for i in self._superseded.values() if i.address == known.address
        ]
        for run in superseded:
            self._resolve_address(run)

    def _reinstate(self, data_centre: str) -> None:
        if self._hold_until is not None and data_centre in self._evacuated:
            self._pending_reinstatement[data_centre] = self._hold_until
            return
        self._pending_reinstatement.pop(data_centre, None)
        self._evacuated.discard(data_centre)
        _mark_cold(self._endpoints, self._table, data_centre, self._now)


def _later_assignment(
    known: RankAssignment | None, newer: RankAssignment | None
) -> RankAssignment | None:
    if known is None or newer is None or known.group != newer.group:
        return newer
    return known if known.epoch > newer.epoch else newer


def _mark_cold(
    endpoints: dict[str, Incarnation],
    table: RoutingTable | None,
    data_centre: str,
    now: Instant,
) -> None:
    """Treat the endpoints of a reinstated data centre as cold.

    They may have turned cold while they got no requests, and report it only in
    their next announcement. Until then every entry would consider them the
    least loaded.
    """
    services = table.services if table else {}
    for name, run in endpoints.items():
        if run.data_centre == data_centre and run.service in services:
            until = now + services[run.service].cold_seconds
            endpoints[name] = run._replace(cold_until=max(run.cold_until, until))


def drop_expired(directory: Directory, now: Instant) -> Directory:
    """Return the directory after applying all time limits that have passed."""
    deadlines = (
        *directory.lapsed.values(),
        *directory.pending_reinstatement.values(),
        *(withheld.until for withheld in directory.withheld.values()),
    )
    if not any(now >= until for until in deadlines):
        return directory
    builder = _DirectoryBuilder(directory, now, now, None)
    builder.expire()
    return builder.finish()
