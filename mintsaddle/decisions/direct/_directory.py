"""What an entry believes of table, endpoints and data centres.

Facts arrive from the platform or from a peer; each holds for one key, so the
order between keys doesn't matter. The directory is an immutable value: the
threads that serve callers read it without a lock.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple, TypeAlias

from mintsaddle.decisions.direct._table import RoutingTable
from mintsaddle.values import Instant

LAPSE_GRACE = 2.0
"""Seconds for which an entry that lapsed while the platform was away is still
used after its return; the platform's own figure for living endpoints to be
back."""


class RankPlace(NamedTuple):
    """An engine's place in a group that runs in lock-step."""

    group: str
    epoch: int
    """Grows each time that the group forms anew."""

    rank: int
    size: int
    """Ranks of the group."""

    is_open: bool
    """Whether the group takes work."""


class Incarnation(NamedTuple):
    """One run of an endpoint, as it announces itself."""

    name: str
    """Name of this run; a restart mostly draws a new one."""

    service: str
    address: str
    data_centre: str
    slots: int
    """Requests that it processes at one time."""

    leaving: bool
    cold_until: Instant
    """Until when it is slow after its start; 0 when it is warm."""

    born: int
    """When the run started, in Unix milliseconds; 0 when it isn't told."""

    place: RankPlace | None = None
    """Its place in a rank group; None when it belongs to none."""


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


class Directory(NamedTuple):
    """Everything published that an entry acts on."""

    table: RoutingTable | None = None
    endpoints: Mapping[str, Incarnation] = MappingProxyType({})
    out: frozenset[str] = frozenset()
    """Data centres that are taken out."""

    lapsed: Mapping[str, Instant] = MappingProxyType({})
    """Endpoints whose announcement is gone, and until when they are used."""


def apply_facts(
    directory: Directory, facts: Iterable[Fact], lapse_until: Instant, now: Instant
) -> Directory:
    """Return the directory with newer facts.

    Args:
        directory: What was believed.
        facts: What was published, oldest first.
        lapse_until: Until when removed endpoints are still used; in the past
            while the platform is well, so that a removal counts at once.
        now: The present instant.
    """
    table = directory.table
    endpoints = dict(directory.endpoints)
    lapsed = dict(directory.lapsed)
    out = set(directory.out)
    for fact in facts:
        match fact:
            case TablePublished(newer):
                # A version never goes backwards, whatever order relays and
                # the platform's own answers arrive in.
                if table is None or newer.version > table.version:
                    table = newer
            case EndpointPublished(incarnation):
                if _replace_run(endpoints, incarnation):
                    lapsed.pop(incarnation.name, None)
            case EndpointMoved(name):
                endpoints.pop(name, None)
                lapsed.pop(name, None)
            case EndpointRemoved(name):
                known = endpoints.get(name)
                if known is not None and not known.leaving and lapse_until > now:
                    lapsed.setdefault(name, lapse_until)
                else:
                    endpoints.pop(name, None)
                    lapsed.pop(name, None)
            case DataCentreOut(name):
                out.add(name)
            case DataCentreBack(name):
                out.discard(name)
                _cool_down(endpoints, table, name, now)
    return Directory(table, endpoints, frozenset(out), lapsed)


def _replace_run(endpoints: dict[str, Incarnation], newer: Incarnation) -> bool:
    """Take over a run and drop an earlier one at its address.

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
    """Return the directory without endpoints whose time is over."""
    over = [name for name, until in directory.lapsed.items() if now >= until]
    if not over:
        return directory
    return directory._replace(
        endpoints={n: i for n, i in directory.endpoints.items() if n not in over},
        lapsed={n: u for n, u in directory.lapsed.items() if n not in over},
    )


def usable_endpoints(directory: Directory, service: str) -> tuple[Incarnation, ...]:
    """Return the endpoints of a service that may get new work."""
    return tuple(
        incarnation
        for incarnation in directory.endpoints.values()
        if incarnation.service == service
        and not incarnation.leaving
        and incarnation.data_centre not in directory.out
    )
