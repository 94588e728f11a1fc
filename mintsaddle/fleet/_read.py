"""Parsing of a fleet text; all findings are reported together.

The checks depend on the text only, so that all daemons accept or reject the
same texts.
"""

from collections.abc import Callable
from datetime import datetime
from typing import NamedTuple

from returns.result import Failure, Result, Success

from mintsaddle.fleet._check import check_references
from mintsaddle.fleet._model import (
    DataCentre,
    Endpoint,
    EntryVm,
    Fleet,
    Group,
    Service,
    ServiceKind,
    Workspace,
)
from mintsaddle.ini import FieldReader, Section, read_document
from mintsaddle.values import Finding, Findings, Instant

MAX_TEXT_BYTES = 1_048_576
"""The platform stores values of at most one mebibyte."""

_MAX_REQUESTS = 512
"""An endpoint daemon uses one worker thread per request at its engine."""

_MAX_SECONDS = 86_400.0


class _FleetBuilder(NamedTuple):
    fleet_sections: list[tuple[str, float, float]]
    data_centres: dict[str, DataCentre]
    entries: dict[str, EntryVm]
    endpoints: dict[str, Endpoint]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    groups: dict[str, Group]


def read_fleet(source: str, text: str) -> Result[Fleet, Findings]:
    """Return the fleet that an INI text describes, or all findings.

    Args:
        source: Name of the text, used in findings.
        text: The whole INI text.

    Returns:
        A success with the fleet, or a failure with at least one finding.
    """
    if len(text.encode(errors="replace")) > MAX_TEXT_BYTES:
        problem = (
            f"the text is over {MAX_TEXT_BYTES} bytes; the platform stores no more"
        )
        return Failure((Finding(source, 0, "", "", problem),))
    document = read_document(source, text)
    findings = list(document.findings)
    builder = _FleetBuilder([], {}, {}, {}, {}, {}, {})
    for section in document.sections:
        _read_section(builder, source, section, findings)
    name, clock_bound, ledger_window = _take_fleet_section(builder, source, findings)
    fleet = Fleet(name, clock_bound, ledger_window, *builder[1:])
    findings.extend(check_references(source, document, fleet))
    if findings:
        return Failure(tuple(sorted(findings, key=_line_order)))
    return Success(fleet)


def _line_order(finding: Finding) -> tuple[int, str]:
    return (finding.line, finding.key)


def _take_fleet_section(
    builder: _FleetBuilder, source: str, findings: list[Finding]
) -> tuple[str, float, float]:
    if builder.fleet_sections:
        return builder.fleet_sections[0]
    problem = "the [fleet] section is missing; add it with a 'name' key"
    findings.append(Finding(source, 0, "fleet", "", problem))
    return ("", 0.0, 0.0)


def _read_section(
    builder: _FleetBuilder, source: str, section: Section, findings: list[Finding]
) -> None:
    fields = FieldReader(source, section, findings)
    for prefix, read in _READERS.items():
        if section.name == prefix or section.name.startswith(prefix + " "):
            name = section.name[len(prefix) :].strip()
            if name.split() != [name] and prefix != "fleet":
                fields.report("", f"use [{prefix} NAME] with a single-word name")
                return
            read(builder, name, fields)
            fields.report_unknown()
            return
    kinds = ", ".join(f"[{prefix} ...]" for prefix in _READERS)
    fields.report("", f"is not a known section; the sections are: {kinds}")


def _read_fleet_section(builder: _FleetBuilder, name: str, fields: FieldReader) -> None:
    builder.fleet_sections.append(
        (
            fields.read_text("name"),
            fields.read_number("clock bound", 0.0, 60.0, 0.5),
            fields.read_number("ledger window", 1.0, _MAX_SECONDS, 900.0),
        )
    )


def _read_data_centre(builder: _FleetBuilder, name: str, fields: FieldReader) -> None:
    builder.data_centres[name] = DataCentre(name, fields.read_text("region"))


def _read_entry(builder: _FleetBuilder, name: str, fields: FieldReader) -> None:
    data_centre = fields.read_text("data centre")
    builder.entries[name] = EntryVm(name, data_centre, fields.read_address("address"))


def _read_endpoint(builder: _FleetBuilder, name: str, fields: FieldReader) -> None:
    data_centre = fields.read_text("data centre")
    builder.endpoints[name] = Endpoint(
        name, data_centre, fields.read_address("address")
    )


def _read_service(builder: _FleetBuilder, name: str, fields: FieldReader) -> None:
    kind = fields.read_choice("kind", [kind.value for kind in ServiceKind], "engine")
    limit = fields.read_integer("limit", 1, _MAX_REQUESTS, 16)
    repeatable = fields.read_flag("repeat", default=True)
    builder.services[name] = Service(
        name=name,
        kind=ServiceKind(kind),
        work_class=fields.read_text("class", name),
        repeatable=repeatable,
        endpoints=fields.read_names("endpoints"),
        depends_on=fields.read_names("depends on"),
        cold_limit=fields.read_integer("cold limit", 1, limit, min(2, limit)),
        limit=limit,
        growth=fields.read_number("growth", 0.0, 100.0, 1.0),
        target=fields.read_number("target", 0.001, _MAX_SECONDS, 0.6),
        longest=fields.read_number("longest", 0.001, _MAX_SECONDS, 30.0),
        longest_queue=fields.read_number("longest queue", 0.0, _MAX_SECONDS, 0.3),
        resumable=fields.read_flag("resume", default=False),
        checks_fencing=fields.read_flag("fencing", default=False),
        former=_read_order_endpoints(fields, "former endpoints", repeatable=repeatable),
        gone=_read_order_endpoints(fields, "gone endpoints", repeatable=repeatable),
        bootstrap=_read_bootstrap(fields, repeatable=repeatable),
    )


def _read_order_endpoints(
    fields: FieldReader, key: str, *, repeatable: bool
) -> tuple[str, ...]:
    names = fields.read_names(key)
    if names and repeatable:
        fields.report(key, "applies only with 'repeat = no'; remove it")
    return names


def _read_bootstrap(fields: FieldReader, *, repeatable: bool) -> Instant:
    text = fields.read_text("bootstrap", "")
    if not text:
        return 0.0
    if repeatable:
        fields.report("bootstrap", "applies only with 'repeat = no'")
    try:
        date = datetime.fromisoformat(text)
    except ValueError:
        date = datetime.min
    if date.tzinfo is None:
        example = "2026-12-03T08:00:00Z"
        fields.report(
            "bootstrap", f"'{text}' is not a date with a time zone, such as {example}"
        )
        return 0.0
    return date.timestamp()


def _read_workspace(builder: _FleetBuilder, name: str, fields: FieldReader) -> None:
    share = fields.read_number("share", 0.001, 1_000_000.0, 1.0)
    builder.workspaces[name] = Workspace(name, share, fields.read_names("services"))


def _read_group(builder: _FleetBuilder, name: str, fields: FieldReader) -> None:
    builder.groups[name] = Group(
        name=name,
        ranks=fields.read_names("ranks"),
        experts=fields.read_integer("experts", 1, 65_536, 8),
        layers=fields.read_integer("layers", 1, 1_024, 1),
        slots=fields.read_integer("slots", 1, 65_536, 8),
        interval=fields.read_number("interval", 0.1, _MAX_SECONDS, 60.0),
        step=fields.read_number("step", 0.0001, _MAX_SECONDS, 0.05),
        pause=fields.read_number("pause", 0.0, _MAX_SECONDS, 0.2),
        weight=fields.read_number("weight", 0.0, _MAX_SECONDS, 0.0025),
    )


_READERS: dict[str, Callable[[_FleetBuilder, str, FieldReader], None]] = {
    "fleet": _read_fleet_section,
    "data centre": _read_data_centre,
    "entry": _read_entry,
    "endpoint": _read_endpoint,
    "service": _read_service,
    "workspace": _read_workspace,
    "group": _read_group,
}
