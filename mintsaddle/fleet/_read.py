"""Reading a fleet text: all findings are collected and reported together.

The check reads nothing but the text, so all daemons decide alike on it.
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

LARGEST_TEXT = 1_048_576
"""Bytes; the platform holds values up to a megabyte."""

_MOST_REQUESTS = 512
"""An endpoint daemon has one worker thread for each request at its engine."""

_MOST_SECONDS = 86_400.0


class _Draft(NamedTuple):
    heads: list[tuple[str, float, float]]
    data_centres: dict[str, DataCentre]
    entries: dict[str, EntryVm]
    endpoints: dict[str, Endpoint]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    groups: dict[str, Group]


def read_fleet(source: str, text: str) -> Result[Fleet, Findings]:
    """Return the fleet that a text describes, or everything wrong with it.

    Args:
        source: Name of the text, for the findings.
        text: The whole INI text.

    Returns:
        A success with the fleet, or a failure with at least one finding.
    """
    if len(text.encode(errors="replace")) > LARGEST_TEXT:
        problem = f"the text is over {LARGEST_TEXT} bytes; the platform holds no more"
        return Failure((Finding(source, 0, "", "", problem),))
    document = read_document(source, text)
    findings = list(document.findings)
    draft = _Draft([], {}, {}, {}, {}, {}, {})
    for section in document.sections:
        _read_section(draft, source, section, findings)
    name, clock_bound, ledger_window = _take_head(draft, source, findings)
    fleet = Fleet(name, clock_bound, ledger_window, *draft[1:])
    findings.extend(check_references(source, document, fleet))
    if findings:
        return Failure(tuple(sorted(findings, key=_by_line)))
    return Success(fleet)


def _by_line(finding: Finding) -> tuple[int, str]:
    return (finding.line, finding.key)


def _take_head(
    draft: _Draft, source: str, findings: list[Finding]
) -> tuple[str, float, float]:
    if draft.heads:
        return draft.heads[0]
    problem = "there is no [fleet] section; add one with its name"
    findings.append(Finding(source, 0, "fleet", "", problem))
    return ("", 0.0, 0.0)


def _read_section(
    draft: _Draft, source: str, section: Section, findings: list[Finding]
) -> None:
    fields = FieldReader(source, section, findings)
    for prefix, read in _READERS.items():
        if section.name == prefix or section.name.startswith(prefix + " "):
            name = section.name[len(prefix) :].strip()
            if name.split() != [name] and prefix != "fleet":
                fields.report("", f"write [{prefix} NAME], with a name of one word")
                return
            read(draft, name, fields)
            fields.report_unknown()
            return
    kinds = ", ".join(f"[{prefix} ...]" for prefix in _READERS)
    fields.report("", f"is no known section; the sections are: {kinds}")


def _read_head(draft: _Draft, name: str, fields: FieldReader) -> None:
    draft.heads.append(
        (
            fields.read_text("name"),
            fields.read_number("clock bound", 0.0, 60.0, 0.5),
            fields.read_number("ledger window", 1.0, _MOST_SECONDS, 900.0),
        )
    )


def _read_data_centre(draft: _Draft, name: str, fields: FieldReader) -> None:
    draft.data_centres[name] = DataCentre(name, fields.read_text("region"))


def _read_entry(draft: _Draft, name: str, fields: FieldReader) -> None:
    data_centre = fields.read_text("data centre")
    draft.entries[name] = EntryVm(name, data_centre, fields.read_address("address"))


def _read_endpoint(draft: _Draft, name: str, fields: FieldReader) -> None:
    data_centre = fields.read_text("data centre")
    draft.endpoints[name] = Endpoint(name, data_centre, fields.read_address("address"))


def _read_service(draft: _Draft, name: str, fields: FieldReader) -> None:
    kind = fields.read_choice("kind", [kind.value for kind in ServiceKind], "engine")
    limit = fields.read_integer("limit", 1, _MOST_REQUESTS, 16)
    repeatable = fields.read_flag("repeat", default=True)
    draft.services[name] = Service(
        name=name,
        kind=ServiceKind(kind),
        work_class=fields.read_text("class", name),
        repeatable=repeatable,
        endpoints=fields.read_names("endpoints"),
        depends_on=fields.read_names("depends on"),
        cold_limit=fields.read_integer("cold limit", 1, limit, min(2, limit)),
        limit=limit,
        growth=fields.read_number("growth", 0.0, 100.0, 1.0),
        target=fields.read_number("target", 0.001, _MOST_SECONDS, 0.6),
        longest=fields.read_number("longest", 0.001, _MOST_SECONDS, 30.0),
        longest_queue=fields.read_number("longest queue", 0.0, _MOST_SECONDS, 0.3),
        resumable=fields.read_flag("resume", default=False),
        checks_fencing=fields.read_flag("fencing", default=False),
        former=_read_order_names(fields, "former endpoints", repeatable=repeatable),
        gone=_read_order_names(fields, "gone endpoints", repeatable=repeatable),
        bootstrap=_read_bootstrap(fields, repeatable=repeatable),
    )


def _read_order_names(
    fields: FieldReader, key: str, *, repeatable: bool
) -> tuple[str, ...]:
    names = fields.read_names(key)
    if names and repeatable:
        fields.report(key, "has a meaning only with 'repeat = no'; take it out")
    return names


def _read_bootstrap(fields: FieldReader, *, repeatable: bool) -> Instant:
    text = fields.read_text("bootstrap", "")
    if not text:
        return 0.0
    if repeatable:
        fields.report("bootstrap", "has a meaning only with 'repeat = no'")
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        moment = datetime.min
    if moment.tzinfo is None:
        example = "2026-12-03T08:00:00Z"
        fields.report("bootstrap", f"'{text}' is no date with a zone, as {example}")
        return 0.0
    return moment.timestamp()


def _read_workspace(draft: _Draft, name: str, fields: FieldReader) -> None:
    share = fields.read_number("share", 0.001, 1_000_000.0, 1.0)
    draft.workspaces[name] = Workspace(name, share, fields.read_names("services"))


def _read_group(draft: _Draft, name: str, fields: FieldReader) -> None:
    draft.groups[name] = Group(
        name=name,
        ranks=fields.read_names("ranks"),
        experts=fields.read_integer("experts", 1, 65_536, 8),
        layers=fields.read_integer("layers", 1, 1_024, 1),
        slots=fields.read_integer("slots", 1, 65_536, 8),
        interval=fields.read_number("interval", 0.1, _MOST_SECONDS, 60.0),
        step=fields.read_number("step", 0.0001, _MOST_SECONDS, 0.05),
        pause=fields.read_number("pause", 0.0, _MOST_SECONDS, 0.2),
        weight=fields.read_number("weight", 0.0, _MOST_SECONDS, 0.0025),
    )


_READERS: dict[str, Callable[[_Draft, str, FieldReader], None]] = {
    "fleet": _read_head,
    "data centre": _read_data_centre,
    "entry": _read_entry,
    "endpoint": _read_endpoint,
    "service": _read_service,
    "workspace": _read_workspace,
    "group": _read_group,
}
