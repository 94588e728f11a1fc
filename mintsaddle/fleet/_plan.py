"""Comparison of a new fleet text with the published one."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, Protocol

from mintsaddle.fleet._homes import find_home, list_homes
from mintsaddle.fleet._model import Fleet, Service

_SAMPLE_KEYS = 1000


class _Section(Protocol):
    """A `NamedTuple` that represents a section."""

    def _asdict(self) -> dict[str, Any]: ...


class Change(NamedTuple):
    """One change between two fleet texts."""

    subject: str
    """The affected section."""

    text: str
    """Description of the change for the operator."""

    unsafe: bool
    """Whether a text with this change should not be published."""


def plan_change(old: Fleet, new: Fleet) -> tuple[Change, ...]:
    """Return the changes between two fleet texts, unsafe ones first."""
    changes = [
        *_compare_names("data centre", old.data_centres, new.data_centres),
        *_compare_names("entry", old.entries, new.entries),
        *_compare_names("endpoint", old.endpoints, new.endpoints),
        *_compare_names("service", old.services, new.services),
        *_compare_names("workspace", old.workspaces, new.workspaces),
        *_compare_names("group", old.groups, new.groups),
    ]
    for name in sorted(old.services.keys() & new.services.keys()):
        changes.extend(_compare_orders(old.services[name], new.services[name]))
    return tuple(sorted(changes, key=lambda change: not change.unsafe))


def _compare_names(
    kind: str, old: Mapping[str, _Section], new: Mapping[str, _Section]
) -> Iterator[Change]:
    for name in sorted(new.keys() - old.keys()):
        yield Change(f"{kind} {name}", "is new", False)
    for name in sorted(old.keys() - new.keys()):
        yield Change(f"{kind} {name}", "is taken out", False)
    for name in sorted(old.keys() & new.keys()):
        if old[name] != new[name]:
            yield Change(f"{kind} {name}", _compare_fields(old[name], new[name]), False)


def _compare_fields(old: _Section, new: _Section) -> str:
    before = old._asdict()
    after = new._asdict()
    parts = []
    for field, value in before.items():
        if after[field] != value:
            parts.append(
                f"{field}: {_format_value(value)} -> {_format_value(after[field])}"
            )
    return "; ".join(parts)


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return " ".join(value) or "(none)"
    return str(value)


def _compare_orders(old: Service, new: Service) -> Iterator[Change]:
    subject = f"service {new.name}"
    if old.repeatable != new.repeatable:
        problem = "changes whether calls may repeat; give the new kind a new name"
        yield Change(subject, problem, True)
    if old.repeatable or new.repeatable:
        return
    listed = {*new.endpoints, *new.former, *new.gone}
    omitted = sorted({*old.endpoints, *old.former} - listed - set(old.gone))
    if omitted:
        names = " ".join(omitted)
        problem = (
            f"{names} may still run orders: list each under 'former endpoints',"
            " or under 'gone endpoints' once it is destroyed"
        )
        yield Change(subject, problem, True)
    moved = _count_moved(old, new)
    if moved:
        share = 100 * moved / _SAMPLE_KEYS
        text = (
            f"{share:.1f}% of caller-supplied keys get another home; they are"
            " answered ask-again until every home has agreed to the new list"
        )
        yield Change(subject, text, False)


def _count_moved(old: Service, new: Service) -> int:
    old_homes = list_homes(old).homes
    new_homes = list_homes(new).homes
    keys = (f"sample-{number}" for number in range(_SAMPLE_KEYS))
    return sum(find_home(old_homes, key) != find_home(new_homes, key) for key in keys)
