"""Where a service's work goes, with all in and as each data centre is out."""

from typing import NamedTuple

from mintsaddle.fleet._marks import NO_MARKS, Marks
from mintsaddle.fleet._model import Fleet, Service


class Placement(NamedTuple):
    """What carries a service's work under given marks."""

    situation: str
    """Which data centre is out, or that all are in."""

    endpoints: tuple[str, ...]
    """Endpoints that take work."""

    places: int
    """Requests that they may hold when warm."""

    missing: tuple[str, ...]
    """Services it depends on that have no endpoint left."""


def explain_service(fleet: Fleet, service: Service) -> tuple[Placement, ...]:
    """Return a service's placements: all in, then each data centre out."""
    placements = [_place(fleet, service, "all in", NO_MARKS)]
    for name in fleet.data_centres:
        marks = Marks(frozenset([name]), frozenset())
        placements.append(_place(fleet, service, f"{name} out", marks))
    return tuple(placements)


def _place(fleet: Fleet, service: Service, situation: str, marks: Marks) -> Placement:
    endpoints = _usable(fleet, service, marks)
    missing = tuple(
        name
        for name in service.depends_on
        if not _usable(fleet, fleet.services[name], marks)
    )
    return Placement(situation, endpoints, len(endpoints) * service.limit, missing)


def _usable(fleet: Fleet, service: Service, marks: Marks) -> tuple[str, ...]:
    return tuple(name for name in service.endpoints if not marks.is_out(fleet, name))
