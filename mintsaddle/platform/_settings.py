"""The platform's settings file, decoded into the entry's settings.

The path of the file stands in an environment variable; the file is TOML.
Fields that aren't known here are ignored: new ones may come.
"""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from mintsaddle.settings import DirectSettings
from mintsaddle.values import MILLISECONDS, Finding, Findings

_PATH_VARIABLE = "MINTSADDLE_NODE_FILE"
_METRICS_PLACE = 0
"""Place in the VM's port range of the metrics' port, which the deploy file
names."""

_AGENT_PLACE = 1
"""Place in the port range of the port at which rank agents are reached, as the
deploy file gives it to them; ports are the same on all VMs."""

_LEASE_BEATS = 3
"""Intervals between an endpoint's announcements after which it is dropped."""

_USUAL_HEARTBEAT_MS = 1_200.0
"""Interval between announcements where the file gives none."""

_NEWS_BOUNDS = ("config_apply_ms", "drain_ms", "evacuate_ms")
"""Bounds of how soon a change of what is published takes effect."""


def settings_path() -> str:
    """Return the path of this process's settings file."""
    return os.environ.get(_PATH_VARIABLE, "/etc/mintsaddle/settings.toml")


def load_direct_settings(path: str) -> Result[DirectSettings, Findings]:
    """Return the settings in the file, or everything wrong with it."""
    try:
        text = Path(path).read_text(encoding="utf-8")
        values = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Failure((Finding(path, 0, "", "", f"can't be read: {error}"),))
    return decode_settings(path, values)


def decode_settings(
    source: str, values: Mapping[str, Any]
) -> Result[DirectSettings, Findings]:
    """Return the settings that a parsed file holds.

    Args:
        source: Name of the file, for the findings.
        values: The parsed TOML.
    """
    reader = _Reader(source, values)
    bounds = reader.read_table("bounds")
    listen = reader.read_table("listen")
    platform = reader.read_table("platform")
    limits = reader.read_table("limits")
    host = reader.read_text("ip")
    ports = values.get("port_range") or []
    settings = DirectSettings(
        vm=reader.read_text("node_name"),
        data_centre=reader.read_text("zone"),
        host=host,
        callers=listen.read_text("front"),
        ready=listen.read_text("ready_addr"),
        control=listen.read_text("control"),
        metrics=f"{host}:{ports[_METRICS_PLACE]}" if ports else "",
        peers=tuple(str(address) for address in values.get("seeds") or ()),
        agent_port=int(ports[_AGENT_PLACE]) if len(ports) > _AGENT_PLACE else 0,
        store=platform.read_text("address"),
        stop_seconds=bounds.read_number("grace_s"),
        propagation_time=min(bounds.read_number(name) for name in _NEWS_BOUNDS)
        / MILLISECONDS,
        lease=_read_lease(values),
        retry_share=bounds.read_number("retry_budget_ratio"),
        retry_slack=bounds.read_number("retry_slack"),
        retry_window=bounds.read_number("budget_window_s"),
        cold_factor=bounds.read_number("cold_overshoot"),
        cold_slack=bounds.read_number("cold_slack"),
        stall=bounds.read_number("stall_ms") / MILLISECONDS,
        first_start=bool(values.get("bootstrap")),
        memory_megabytes=limits.read_number("memory_mb"),
        descriptors=limits.read_number("max_fds"),
    )
    findings = (
        *reader.findings,
        *bounds.findings,
        *listen.findings,
        *platform.findings,
        *limits.findings,
    )
    return Failure(findings) if findings else Success(settings)


def _read_lease(values: Mapping[str, Any]) -> float:
    heartbeat = values.get("heartbeat_ms")
    if not isinstance(heartbeat, int | float) or heartbeat <= 0:
        heartbeat = _USUAL_HEARTBEAT_MS
    return _LEASE_BEATS * heartbeat / MILLISECONDS


class _Reader:
    """Reads the fields of one table and collects what is wrong with them."""

    def __init__(self, source: str, values: Mapping[str, Any], name: str = "") -> None:
        self._source = source
        self._values = values
        self._name = name
        self._findings: list[Finding] = []

    @property
    def findings(self) -> Findings:
        """What was wrong so far."""
        return tuple(self._findings)

    def read_table(self, key: str) -> "_Reader":
        """Return a reader of a table within this one."""
        value = self._values.get(key)
        if not isinstance(value, dict):
            self._report(key, "is missing; a table is needed")
            value = {}
        return _Reader(self._source, value, key)

    def read_text(self, key: str) -> str:
        """Return a text that must not be empty."""
        value = self._values.get(key)
        if isinstance(value, str) and value:
            return value
        self._report(key, "is missing; a text is needed")
        return ""

    def read_number(self, key: str) -> float:
        """Return a number that must not be negative."""
        value = self._values.get(key)
        if isinstance(value, int | float) and value >= 0:
            return float(value)
        self._report(key, "is missing; a number of 0 or more is needed")
        return 0.0

    def _report(self, key: str, problem: str) -> None:
        self._findings.append(Finding(self._source, 0, self._name, key, problem))
