"""Lines of the metrics page about admission by priority level."""

import math

from mintsaddle.direct._overload import OverloadControl
from mintsaddle.values import Instant

MAX_LISTED_WORKSPACES = 8
"""Workspaces on the page. Each one adds time series to the system that reads
it, and the largest ones cause the overload."""


def render_overload(control: OverloadControl, now: Instant) -> list[str]:
    """Return the lines about services with priority levels; requires the lock.

    Args:
        control: The entry's admission control.
        now: The present instant.

    Returns:
        None unless a service has levels, so that the pages of other
        deployments have no such lines.
    """
    lines: list[str] = []
    is_overloaded = False
    for service, levels in control.levels.items():
        since = control.overloaded_since(service, now)
        is_overloaded = is_overloaded or since is not None
        seconds = 0.0 if since is None else now - since
        rate = control.placements_per_second(service, now)
        lines += [
            _line("priority_levels", len(levels.priorities), service=service),
            _line("waiting_calls", control.waiting.get(service, 0), service=service),
            _line("placements_per_second", f"{rate:.2f}", service=service),
            _line("overloaded", int(since is not None), service=service),
            _line("overloaded_seconds", f"{seconds:.1f}", service=service),
        ]
    lines += _render_groups(control, now)
    return lines + _render_uses(control, now) if is_overloaded else lines


def _render_groups(control: OverloadControl, now: Instant) -> list[str]:
    lines = []
    for group, requests in control.group_loads.items():
        skew = control.skews([group], now)[group]
        lines += [
            _line("requests_per_engine", f"{requests:.2f}", group=group),
            _line("largest_step_skew", f"{skew:.2f}", group=group),
        ]
    return lines


def _render_uses(control: OverloadControl, now: Instant) -> list[str]:
    use = control.workspace_use
    lines = []
    if math.isfinite(use.share):
        lines.append(_line("fair_share", f"{use.share:.2f}"))
    for name, rate, is_over_share in use.largest(now, MAX_LISTED_WORKSPACES):
        lines += [
            _line("workspace_use", f"{rate:.2f}", workspace=name),
            _line("workspace_over_share", int(is_over_share), workspace=name),
        ]
    return lines


def _line(name: str, value: object, **labels: str) -> str:
    pairs = ",".join(f'{key}="{_escape(label)}"' for key, label in labels.items())
    return (
        f"mintsaddle_{name}{{{pairs}}} {value}"
        if pairs
        else (f"mintsaddle_{name} {value}")
    )


def _escape(label: str) -> str:
    """Escape a label's value as the text format of Prometheus requires."""
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
