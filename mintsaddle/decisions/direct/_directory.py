"""What an entry believes of table, endpoints and data centres.

The directory is an immutable value: the threads that serve callers read it
without a lock.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from mintsaddle.decisions.direct._table import RoutingTable
from mintsaddle.values import Instant


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


class Removal(NamedTuple):
    """A run of an endpoint that is known to be gone."""

    born: int
    """When the run started, as it had announced."""

    known_at: Instant


class Withheld(NamedTuple):
    """A removed run that a restored copy lists."""

    incarnation: Incarnation
    until: Instant
    """When it is used after all, if the platform still lists it."""


class Directory(NamedTuple):
    """Everything published that an entry acts on."""

    table: RoutingTable | None = None
    endpoints: Mapping[str, Incarnation] = MappingProxyType({})
    out: frozenset[str] = frozenset()
    """Data centres that are taken out."""

    lapsed: Mapping[str, Instant] = MappingProxyType({})
    """Endpoints whose announcement is gone, and until when they are used."""

    superseded: Mapping[str, Incarnation] = MappingProxyType({})
    """Announced runs whose address another run has that started later."""

    returning: Mapping[str, Instant] = MappingProxyType({})
    """Data centres whose mark a restored copy lacks, and until when they stay
    out."""

    removed: Mapping[str, Removal] = MappingProxyType({})
    """Endpoints that are gone, by name."""

    withheld: Mapping[str, Withheld] = MappingProxyType({})
    """Endpoints that a restored copy lists though they were gone, by name."""


def usable_endpoints(directory: Directory, service: str) -> tuple[Incarnation, ...]:
    """Return the endpoints of a service that may get new work."""
    return tuple(
        incarnation
        for incarnation in directory.endpoints.values()
        if incarnation.service == service
        and not incarnation.leaving
        and incarnation.data_centre not in directory.out
    )
