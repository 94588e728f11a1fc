"""Checks across the sections of a fleet text: references, cycles, sizes."""

from collections.abc import Collection, Iterable, Iterator

from mintsaddle.fleet._model import Endpoint, EntryVm, Fleet, Service
from mintsaddle.ini import Document
from mintsaddle.values import Finding, Findings


def check_references(source: str, document: Document, fleet: Fleet) -> Findings:
    """Return the findings that concern more than one section."""
    sections = {section.name: section for section in document.sections}
    problems = (
        *_check_vms(fleet),
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
"""Section, key and problem."""


def _check_vms(fleet: Fleet) -> Iterator[_Problem]:
    section_by_address: dict[str, str] = {}
    vms: list[tuple[str, EntryVm | Endpoint]] = []
    vms += [(f"entry {name}", vm) for name, vm in fleet.entries.items()]
    vms += [(f"endpoint {name}", vm) for name, vm in fleet.endpoints.items()]
    for section, vm in vms:
        if vm.data_centre and vm.data_centre not in fleet.data_centres:
            yield section, "data centre", _undefined_name("data centre", vm.data_centre)
        first = section_by_address.setdefault(vm.address, section)
        if vm.address and first != section:
            yield section, "address", f"{vm.address} already belongs to [{first}]"
    for name in fleet.entries:
        if name in fleet.endpoints:
            problem = "an entry already has this name; a VM has one name and one role"
            yield f"endpoint {name}", "", problem


def _check_services(fleet: Fleet) -> Iterator[_Problem]:
    for service in fleet.services.values():
        section = f"service {service.name}"
        if not service.endpoints:
            yield section, "endpoints", "list at least one endpoint"
        yield from _check_names(
            section, "endpoints", "endpoint", service.endpoints, fleet.endpoints
        )
        yield from _check_names(
            section, "depends on", "service", service.depends_on, fleet.services
        )
        yield from _check_former(section, service, fleet)


def _check_former(section: str, service: Service, fleet: Fleet) -> Iterator[_Problem]:
    """Check that former homes are still listed, so that they can be asked."""
    asked = [name for name in service.former if name not in service.gone]
    yield from _check_names(
        section, "former endpoints", "endpoint", asked, fleet.endpoints
    )
    for name in sorted(set(service.endpoints) & set(service.gone)):
        yield section, "gone endpoints", f"'{name}' is also listed under endpoints"


def _check_workspaces(fleet: Fleet) -> Iterator[_Problem]:
    for workspace in fleet.workspaces.values():
        section = f"workspace {workspace.name}"
        if not workspace.services:
            yield section, "services", "list at least one service"
        yield from _check_names(
            section, "services", "service", workspace.services, fleet.services
        )


def _check_groups(fleet: Fleet) -> Iterator[_Problem]:
    for group in fleet.groups.values():
        section = f"group {group.name}"
        if not group.ranks:
            yield section, "ranks", "list the endpoints in the order of their ranks"
        yield from _check_names(
            section, "ranks", "endpoint", group.ranks, fleet.endpoints
        )
        total_slots = group.slots * len(group.ranks)
        if group.ranks and total_slots < group.experts:
            problem = (
                f"{total_slots} slots can't hold {group.experts} experts; raise slots"
            )
            yield section, "slots", problem


def _check_cycles(fleet: Fleet) -> Iterator[_Problem]:
    for name in fleet.services:
        reached = _find_dependencies(fleet, name)
        if name in reached:
            path = " ".join(sorted(reached))
            problem = f"'{name}' depends on itself through: {path}"
            yield f"service {name}", "depends on", problem


def _find_dependencies(fleet: Fleet, start: str) -> set[str]:
    reached: set[str] = set()
    pending = list(fleet.services[start].depends_on)
    while pending:
        name = pending.pop()
        if name in reached or name not in fleet.services:
            continue
        reached.add(name)
        pending.extend(fleet.services[name].depends_on)
    return reached


def _check_names(
    section: str, key: str, kind: str, names: Iterable[str], known: Collection[str]
) -> Iterator[_Problem]:
    for name in names:
        if name not in known:
            yield section, key, _undefined_name(kind, name)


def _undefined_name(kind: str, name: str) -> str:
    return f"'{name}' has no section; add [{kind} {name}] or correct the name"
