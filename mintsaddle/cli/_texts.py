"""Commands that read fleet configuration texts."""

from pathlib import Path

from returns.result import Failure, Result, Success

from mintsaddle.cli._output import Output, Table
from mintsaddle.fleet import Fleet, explain_service, plan_change, read_fleet
from mintsaddle.values import Findings, render_findings


def check_text(path: str) -> Result[Output, str]:
    """Report all errors in a text."""
    return _read_file(path).bind(lambda text: Success(_check(path, text)))


def plan_texts(old_path: str, new_path: str) -> Result[Output, str]:
    """Show what a new text changes."""
    old = _read_valid_fleet(old_path)
    new = _read_valid_fleet(new_path)
    return old.bind(lambda before: new.map(lambda after: _plan(before, after)))


def explain_text(path: str, name: str) -> Result[Output, str]:
    """Show where a service's requests go when each data centre is out."""
    return _read_valid_fleet(path).bind(lambda fleet: _explain(fleet, name))


def _read_file(path: str) -> Result[str, str]:
    try:
        return Success(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Failure(f"{path}: can't be read: {error}")


def _read_valid_fleet(path: str) -> Result[Fleet, str]:
    return _read_file(path).bind(
        lambda text: read_fleet(path, text).alt(render_findings)
    )


def _check(path: str, text: str) -> Output:
    match read_fleet(path, text):
        case Failure(findings):
            return Output((_tabulate_findings(findings),), found_problem=True)
        case Success(fleet):
            return Output((_tabulate_counts(path, fleet),))
    raise AssertionError("a result is a success or a failure")


def _tabulate_findings(findings: Findings) -> Table:
    rows = tuple(
        (f"{item.source}:{item.line}", item.section, item.key, item.problem)
        for item in findings
    )
    return Table("findings", ("place", "section", "key", "problem"), rows)


def _tabulate_counts(path: str, fleet: Fleet) -> Table:
    row = (
        path,
        len(fleet.data_centres),
        len(fleet.entries),
        len(fleet.endpoints),
        len(fleet.services),
        len(fleet.workspaces),
    )
    heading = ("text", "data centres", "entries", "endpoints", "services", "workspaces")
    return Table("the text is good", heading, (row,))


def _plan(old: Fleet, new: Fleet) -> Output:
    changes = plan_change(old, new)
    rows = tuple(
        ("UNSAFE" if change.unsafe else "", change.subject, change.text)
        for change in changes
    )
    table = Table("changes", ("", "subject", "what changes"), rows)
    return Output((table,), any(change.unsafe for change in changes))


def _explain(fleet: Fleet, name: str) -> Result[Output, str]:
    service = fleet.services.get(name)
    if service is None:
        known = " ".join(sorted(fleet.services))
        return Failure(f"there is no service '{name}'; the services are: {known}")
    placements = explain_service(fleet, service)
    rows = tuple(
        (
            placement.situation,
            placement.capacity,
            " ".join(placement.endpoints) or "(none: all calls are refused)",
            " ".join(placement.missing),
        )
        for placement in placements
    )
    heading = ("situation", "places", "endpoints", "missing dependencies")
    found_problem = any(not placement.endpoints for placement in placements)
    return Success(Output((Table(f"service {name}", heading, rows),), found_problem))
