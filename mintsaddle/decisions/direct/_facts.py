"""Facts that were published, and what they change in the directory.

Facts arrive from the platform or from a peer; each holds for one key, so the
order between keys doesn't matter.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypeAlias, TypeVar

from mintsaddle.decisions.direct._directory import (
    Directory,
    Incarnation,
    Removal,
    Withheld,
)
from mintsaddle.decisions.direct._table import RoutingTable
from mintsaddle.values import Instant

_Value = TypeVar("_Value")

LAPSE_GRACE = 2.0
"""Seconds for which an entry that lapsed while the platform was away is still
used after its return; the platform's own figure for living endpoints to be
back."""

REMOVAL_MEMORY_SECONDS = 60.0
"""Seconds for which a removed endpoint is remembered, in case the platform
comes back from a copy that still lists it; such copies are seconds old."""


class TablePublished(NamedTuple):
    """The operator has published a table."""

    table: RoutingTable


class EndpointPublished(NamedTuple):
    """An endpoint has announced itself."""

    incarnation: Incarnation


class EndpointRemoved(NamedTuple):
    """An endpoint's announcement is gone, or can't be read any more."""

    name: str


class EndpointMoved(NamedTuple):
    """Another run answers at an endpoint's address."""

    name: str


class DataCentreOut(NamedTuple):
    """The operator has taken a data centre out."""

    data_centre: str


class DataCentreBack(NamedTuple):
    """The operator has taken a data centre back."""

    data_centre: str


Fact: TypeAlias = (
    TablePublished
    | EndpointPublished
    | EndpointRemoved
    | EndpointMoved
    | DataCentreOut
    | DataCentreBack
)
"""One thing that was published."""


def apply_facts(
    directory: Directory,
    facts: Iterable[Fact],
    lapse_until: Instant,
    now: Instant,
    hold_until: Instant | None = None,
) -> Directory:
    """Return the directory with newer facts.

    Args:
        directory: What was believed.
        facts: What was published, oldest first.
        lapse_until: Until when removed endpoints are still used; in the past
            while the platform is well, so that a removal counts at once.
        now: The present instant.
        hold_until: Given if the facts come from a copy that is older than
            what was believed: until when data centres stay out and removed
            endpoints get nothing, though the copy says otherwise.
    """
    draft = _Draft(directory, lapse_until, now, hold_until)
    for fact in facts:
        draft.apply(fact)
    return draft.finish()


class _Draft:
    """A directory that takes up facts one by one."""

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
        self._out = set(directory.out)
        self._returning = dict(directory.returning)
        self._removed = dict(directory.removed)
        self._withheld = dict(directory.withheld)

    def apply(self, fact: Fact) -> None:
        """Take up one fact."""
        match fact:
            case TablePublished(newer):
                # A version never goes backwards, whatever order relays and
                # the platform's own answers arrive in.
                if self._table is None or newer.version > self._table.version:
                    self._table = newer
            case EndpointPublished(incarnation):
                self._publish(incarnation)
            case EndpointMoved(name):
                self._endpoints.pop(name, None)
                self._lapsed.pop(name, None)
            case EndpointRemoved(name):
                self._remove(name)
            case DataCentreOut(name):
                self._out.add(name)
                self._returning.pop(name, None)
            case DataCentreBack(name):
                self._take_back(name)

    def finish(self) -> Directory:
        """Return the directory with all facts."""
        known_since = self._now - REMOVAL_MEMORY_SECONDS
        removed = {n: r for n, r in self._removed.items() if r.known_at > known_since}
        return Directory(
            table=self._table,
            endpoints=self._endpoints,
            out=frozenset(self._out),
            lapsed=self._lapsed,
            returning=self._returning,
            removed=removed,
            withheld=self._withheld,
        )

    def _publish(self, incarnation: Incarnation) -> None:
        name = incarnation.name
        removal = self._removed.get(name)
        is_known_gone = removal is not None and removal.born == incarnation.born
        if self._hold_until is not None and is_known_gone:
            self._withheld[name] = Withheld(incarnation, self._hold_until)
            return
        self._withheld.pop(name, None)
        self._removed.pop(name, None)
        if _replace_run(self._endpoints, incarnation):
            self._lapsed.pop(name, None)

    def _remove(self, name: str) -> None:
        self._withheld.pop(name, None)
        known = self._endpoints.get(name)
        if known is None:
            return
        if not known.leaving and self._lapse_until > self._now:
            self._lapsed.setdefault(name, self._lapse_until)
            return
        del self._endpoints[name]
        self._lapsed.pop(name, None)
        self._removed[name] = Removal(known.born, self._now)

    def _take_back(self, data_centre: str) -> None:
        if self._hold_until is not None and data_centre in self._out:
            self._returning[data_centre] = self._hold_until
            return
        self._returning.pop(data_centre, None)
        self._out.discard(data_centre)
        _cool_down(self._endpoints, self._table, data_centre, self._now)


def _replace_run(endpoints: dict[str, Incarnation], newer: Incarnation) -> bool:
    """Take over a run and drop an earlier one at its address.

    A run that has said that it leaves goes on leaving, whatever is published
    of it afterwards.

    The announcement of a run that crashed stays for seconds beside the one of
    its successor, and each request that is sent to it is refused.

    Returns:
        Whether the run is the last one known at its address.
    """
    others = [
        one
        for one in endpoints.values()
        if one.address == newer.address and one.name != newer.name
    ]
    if any(one.born > newer.born for one in others):
        endpoints.pop(newer.name, None)
        return False
    for one in others:
        if one.born < newer.born:
            del endpoints[one.name]
    known = endpoints.get(newer.name)
    if known is not None and known.leaving and known.born == newer.born:
        newer = newer._replace(leaving=True)
    endpoints[newer.name] = newer
    return True


def _cool_down(
    endpoints: dict[str, Incarnation],
    table: RoutingTable | None,
    data_centre: str,
    now: Instant,
) -> None:
    """Take the endpoints of a data centre that is back as cold.

    They may have become so while they got nothing, and say so only with their
    next announcement: all entries would find them the least loaded meanwhile.
    """
    services = table.services if table else {}
    for name, one in endpoints.items():
        if one.data_centre == data_centre and one.service in services:
            until = now + services[one.service].cold_seconds
            endpoints[name] = one._replace(cold_until=max(one.cold_until, until))


def drop_lapsed(directory: Directory, now: Instant) -> Directory:
    """Return the directory without what held only for a time that is over."""
    over = [name for name, until in directory.lapsed.items() if now >= until]
    back = [name for name, until in directory.returning.items() if now >= until]
    used = [name for name, one in directory.withheld.items() if now >= one.until]
    if not over and not back and not used:
        return directory
    endpoints = dict(directory.endpoints)
    removed = dict(directory.removed)
    for name in over:
        if (known := endpoints.pop(name, None)) is not None:
            removed[name] = Removal(known.born, now)
    for name in used:
        removed.pop(name, None)
        _replace_run(endpoints, directory.withheld[name].incarnation)
    for name in back:
        _cool_down(endpoints, directory.table, name, now)
    return directory._replace(
        endpoints=endpoints,
        out=directory.out - set(back),
        lapsed=_without(directory.lapsed, over),
        returning=_without(directory.returning, back),
        removed=removed,
        withheld=_without(directory.withheld, used),
    )


def _without(values: Mapping[str, _Value], names: Iterable[str]) -> dict[str, _Value]:
    dropped = set(names)
    return {name: value for name, value in values.items() if name not in dropped}
