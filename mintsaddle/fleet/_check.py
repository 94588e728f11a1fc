"""Checks between the sections of a fleet text: names, cycles, sizes."""

from collections.abc import Collection, Iterable, Iterator

from mintsaddle.fleet._model import Endpoint, EntryVm, Fleet, Service
from mintsaddle.ini import Document
from mintsaddle.values import Finding, Findings


def check_references(source: str, document: Document, fleet: Fleet) -> Findings:
    """Return what is wrong between the sections of a fleet text."""
    sections = {section.name: section for section in document.sections}
    problems = (
        *_check_places(fleet),
        *_check_services(fleet),
        *_check_workspaces(fleet),
        *_check_groups(fleet),
        *_check_cycles(fleet),
    )
    findings = []
    for name, key, problem in problems:
        section = sections[name]
        line = section.lines.get(key, section.line)
        findings.append(Finding(source, line, name, key, problem))
    return tuple(findings)


_Problem = tuple[str, str, str]
"""Section, key and problem; lives only between two functions of this file."""


def _check_places(fleet: Fleet) -> Iterator[_Problem]:
    users: dict[str, str] = {}
    places: list[tuple[str, EntryVm | Endpoint]] = []
    places += [(f"entry {name}", vm) for name, vm in fleet.entries.items()]
    places += [(f"endpoint {name}", vm) for name, vm in fleet.endpoints.items()]
    for section, vm in places:
        if vm.data_centre and vm.data_centre not in fleet.data_centres:
            yield section, "data centre", _unknown("data centre", vm.data_centre)
        first = users.setdefault(vm.address, section)
        if vm.address and first != section:
            yield section, "address", f"{vm.address} belongs to [{first}] already"
    for name in fleet.entries:
        if name in fleet.endpoints:
            problem = "an entry has this name already; a VM has one name and one role"
            yield f"endpoint {name}", "", problem


def _check_services(fleet: Fleet) -> Iterator[_Problem]:
    for service in fleet.services.values():
        section = f"service {service.name}"
        if not service.endpoints:
            yield section, "endpoints", "name at least one endpoint"
        yield from _check_names(
            section, "endpoints", "endpoint", service.endpoints, fleet.endpoints
        )
        yield from _check_names(
            section, "depends on", "service", service.depends_on, fleet.services
        )
        yield from _check_former(section, service, fleet)


def _check_former(section: str, service: Service, fleet: Fleet) -> Iterator[_Problem]:
    """Former homes must be reachable, so the text must still list them."""
    asked = [name for name in service.former if name not in service.gone]
    yield from _check_names(
        section, "former endpoints", "endpoint", asked, fleet.endpoints
    )
    for name in sorted(set(service.endpoints) & set(service.gone)):
        yield section, "gone endpoints", f"'{name}' is listed under endpoints too"


def _check_workspaces(fleet: Fleet) -> Iterator[_Problem]:
    for workspace in fleet.workspaces.values():
        section = f"workspace {workspace.name}"
        if not workspace.services:
            yield section, "services", "name at least one service"
        yield from _check_names(
            section, "services", "service", workspace.services, fleet.services
        )


def _check_groups(fleet: Fleet) -> Iterator[_Problem]:
    for group in fleet.groups.values():
        section = f"group {group.name}"
        if not group.ranks:
            yield section, "ranks", "name the endpoints in the order of their ranks"
        yield from _check_names(
            section, "ranks", "endpoint", group.ranks, fleet.endpoints
        )
        places = group.slots * len(group.ranks)
        if group.ranks and places < group.experts:
            problem = f"{places} slots can't hold {group.experts} experts; raise slots"
            yield section, "slots", problem


def _check_cycles(fleet: Fleet) -> Iterator[_Problem]:
    for name in fleet.services:
        reached = _reach(fleet, name)
        if name in reached:
            path = " ".join(sorted(reached))
            problem = f"'{name}' depends on itself, by way of: {path}"
            yield f"service {name}", "depends on", problem


def _reach(fleet: Fleet, start: str) -> set[str]:
    reached: set[str] = set()
    waiting = list(fleet.services[start].depends_on)
    while waiting:
        name = waiting.pop()
        if name in reached or name not in fleet.services:
            continue
        reached.add(name)
        waiting.extend(fleet.services[name].depends_on)
    return reached


def _check_names(
    section: str, key: str, kind: str, names: Iterable[str], known: Collection[str]
) -> Iterator[_Problem]:
    for name in names:
        if name not in known:
            yield section, key, _unknown(kind, name)


def _unknown(kind: str, name: str) -> str:
    return f"'{name}' has no section; add [{kind} {name}] or mend the name"
