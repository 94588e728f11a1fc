"""The directory: an entry's view of routing table, endpoints and data centres.

A directory is immutable, so the threads that serve callers read it without a
lock.
"""

from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from mintsaddle.decisions.direct._table import RoutingTable
from mintsaddle.values import Instant


class RankAssignment(NamedTuple):
    """An engine's rank in a group whose ranks run in lock-step."""

    group: str
    epoch: int
    """Increases each time the group forms again."""

    rank: int
    size: int
    """Number of ranks in the group."""

    is_open: bool
    """Whether the group accepts requests."""


class Incarnation(NamedTuple):
    """One run of an endpoint process, as announced by the endpoint."""

    name: str
    """Name of this run; usually changes on restart."""

    service: str
    address: str
    data_centre: str
    slots: int
    """Number of requests that it processes concurrently."""

    leaving: bool
    """Whether it is shutting down and must get no new requests."""

    cold_until: Instant
    """When it stops being slow after a start; 0 if it is already warm."""

    started_at_ms: int
    """Start of the run in Unix milliseconds; 0 if unknown."""

    assignment: RankAssignment | None = None
    """Its rank in a group; None if it belongs to no group."""


class Removal(NamedTuple):
    """A run of an endpoint that has been removed."""

    started_at_ms: int
    """Announced start of the run in Unix milliseconds."""

    known_at: Instant
    """When this entry learned of the removal."""


class LeavingRun(NamedTuple):
    """A run that has said in an answer that it is shutting down."""

    started_at_ms: int
    """Announced start of the run in Unix milliseconds."""

    known_at: Instant
    """When this entry received the answer."""


class WithheldRun(NamedTuple):
    """A removed run that is listed again by a store restored from a backup."""

    incarnation: Incarnation
    until: Instant
    """When it becomes usable, if the platform still lists it by then."""


class Directory(NamedTuple):
    """Everything published by the platform that an entry acts on."""

    table: RoutingTable | None = None
    endpoints: Mapping[str, Incarnation] = MappingProxyType({})
    """Endpoints in use, by name."""

    evacuated: frozenset[str] = frozenset()
    """Data centres that the operator has taken out of service."""

    lapsed: Mapping[str, Instant] = MappingProxyType({})
    """Endpoints whose announcement expired, and until when they are used."""

    superseded: Mapping[str, Incarnation] = MappingProxyType({})
    """Announced runs whose address is now used by a run that started later."""

    pending_reinstatement: Mapping[str, Instant] = MappingProxyType({})
    """Evacuated data centres that a restored store doesn't mark as such, and
    until when they stay evacuated."""

    removed: Mapping[str, Removal] = MappingProxyType({})
    """Removed endpoints, by name."""

    said_leaving: Mapping[str, LeavingRun] = MappingProxyType({})
    """Endpoints that have said that they leave, by name."""

    withheld: Mapping[str, WithheldRun] = MappingProxyType({})
    """Removed endpoints that a restored store lists again, by name."""


def preferred_data_centres(directory: Directory) -> dict[str, str]:
    """Return the data centre with the majority of each group's serving ranks.

    Evacuated data centres don't count. A group without a majority in one data
    centre has the empty name: the largest one would change whenever an
    endpoint leaves.
    """
    ranks: dict[str, Counter[str]] = {}
    for endpoint in directory.endpoints.values():
        if endpoint.assignment is not None:
            counts = ranks.setdefault(endpoint.assignment.group, Counter())
            if endpoint.data_centre not in directory.evacuated:
                counts[endpoint.data_centre] += 1

    def find_majority(counts: Counter[str]) -> str:
        names = (name for name in counts if 2 * counts[name] > counts.total())
        return next(names, "")

    return {group: find_majority(counts) for group, counts in ranks.items()}


def usable_endpoints(directory: Directory, service: str) -> tuple[Incarnation, ...]:
    """Return the endpoints of a service that may get new requests."""
    return tuple(
        incarnation
        for incarnation in directory.endpoints.values()
        if incarnation.service == service
        and not incarnation.leaving
        and incarnation.data_centre not in directory.evacuated
    )
