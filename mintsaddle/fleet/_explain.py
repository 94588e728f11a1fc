"""Placement of a service with no marks, and with each data centre out."""

from typing import NamedTuple

from mintsaddle.fleet._marks import NO_MARKS, Marks
from mintsaddle.fleet._model import Fleet, Service


class Placement(NamedTuple):
    """Endpoints that serve a service under given marks."""

    situation: str
    """The data centre that is out, or ``all in``."""

    endpoints: tuple[str, ...]
    """Endpoints that receive requests."""

    capacity: int
    """Concurrent requests that they accept once warm."""

    missing: tuple[str, ...]
    """Dependencies that have no endpoint left."""


def explain_service(fleet: Fleet, service: Service) -> tuple[Placement, ...]:
    """Return the placement with all in, then with each data centre out."""
    placements = [_place_service(fleet, service, "all in", NO_MARKS)]
    for name in fleet.data_centres:
        marks = Marks(frozenset([name]), frozenset())
        placements.append(_place_service(fleet, service, f"{name} out", marks))
    return tuple(placements)


def _place_service(
    fleet: Fleet, service: Service, situation: str, marks: Marks
) -> Placement:
    endpoints = _usable_endpoints(fleet, service, marks)
    missing = tuple(
        name
        for name in service.depends_on
        if not _usable_endpoints(fleet, fleet.services[name], marks)
    )
    return Placement(situation, endpoints, len(endpoints) * service.limit, missing)


def _usable_endpoints(fleet: Fleet, service: Service, marks: Marks) -> tuple[str, ...]:
    return tuple(name for name in service.endpoints if not marks.is_out(fleet, name))
