"""Decoding of the platform's settings file into the entry's settings.

An environment variable contains the path of the file, which is TOML. Unknown
fields are ignored, because new ones may be added.
"""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from mintsaddle.settings import (
    DEFAULT_REQUEST_LIMITS,
    DirectSettings,
    RequestLimits,
)
from mintsaddle.values import MILLISECONDS, Finding, Findings

_PATH_ENV_VARIABLE = "MINTSADDLE_NODE_FILE"
_METRICS_PORT_INDEX = 0
"""Index of the metrics port in the VM's port range, as in the deploy file."""

_AGENT_PORT_INDEX = 1
"""Index in the port range of the port on which rank agents listen, as in the
deploy file. Ports are the same on all VMs."""

_HEARTBEATS_PER_LEASE = 3
"""Intervals without an announcement after which an endpoint is dropped."""

_DEFAULT_HEARTBEAT_MS = 1_200.0
"""Interval between announcements if the file contains none."""

_PROPAGATION_BOUNDS = ("config_apply_ms", "drain_ms", "evacuate_ms")
"""Settings that limit how long a published change takes to apply."""


def settings_path() -> str:
    """Return the path of this process's settings file."""
    return os.environ.get(_PATH_ENV_VARIABLE, "/etc/mintsaddle/settings.toml")


def load_direct_settings(path: str) -> Result[DirectSettings, Findings]:
    """Return the settings in the file, or all findings about it."""
    try:
        text = Path(path).read_text(encoding="utf-8")
        values = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Failure((Finding(path, 0, "", "", f"can't be read: {error}"),))
    return decode_settings(path, values)


def decode_settings(
    source: str, values: Mapping[str, Any]
) -> Result[DirectSettings, Findings]:
    """Return the settings in a parsed file.

    Args:
        source: Name of the file, for the findings.
        values: The parsed TOML.
    """
    reader = _TableReader(source, values)
    bounds = reader.read_table("bounds")
    listen = reader.read_table("listen")
    platform = reader.read_table("platform")
    limits = reader.read_table("limits")
    requests = reader.read_optional_table("requests")
    host = reader.read_text("ip")
    ports = values.get("port_range") or []
    settings = DirectSettings(
        vm=reader.read_text("node_name"),
        data_centre=reader.read_text("zone"),
        host=host,
        callers=listen.read_text("front"),
        ready=listen.read_text("ready_addr"),
        control=listen.read_text("control"),
        metrics=f"{host}:{ports[_METRICS_PORT_INDEX]}" if ports else "",
        peers=tuple(str(address) for address in values.get("seeds") or ()),
        agent_port=int(ports[_AGENT_PORT_INDEX])
        if len(ports) > _AGENT_PORT_INDEX
        else 0,
        store=platform.read_text("address"),
        stop_seconds=bounds.read_number("grace_s"),
        propagation_time=min(bounds.read_number(name) for name in _PROPAGATION_BOUNDS)
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
        requests=_read_request_limits(requests),
    )
    findings = (
        *reader.findings,
        *bounds.findings,
        *listen.findings,
        *platform.findings,
        *limits.findings,
        *requests.findings,
    )
    return Failure(findings) if findings else Success(settings)


def _read_request_limits(requests: "_TableReader") -> RequestLimits:
    """Return the limits for requests; what isn't stated has a default."""
    default = DEFAULT_REQUEST_LIMITS
    body_ms = default.body_seconds * MILLISECONDS
    return RequestLimits(
        requests.read_within("memory_share", 0.01, 0.5, default.memory_share),
        requests.read_within("body_timeout_ms", 100.0, 3_600_000.0, body_ms)
        / MILLISECONDS,
        requests.read_within("unfinished_share", 0.05, 1.0, default.unfinished_share),
        requests.read_within("framing_factor", 1.0, 100.0, default.framing_factor),
    )


def _read_lease(values: Mapping[str, Any]) -> float:
    heartbeat = values.get("heartbeat_ms")
    if not isinstance(heartbeat, int | float) or heartbeat <= 0:
        heartbeat = _DEFAULT_HEARTBEAT_MS
    return _HEARTBEATS_PER_LEASE * heartbeat / MILLISECONDS


class _TableReader:
    """Reads the fields of one TOML table and collects findings."""

    def __init__(self, source: str, values: Mapping[str, Any], name: str = "") -> None:
        self._source = source
        self._values = values
        self._name = name
        self._findings: list[Finding] = []

    @property
    def findings(self) -> Findings:
        """The findings so far."""
        return tuple(self._findings)

    def read_table(self, key: str) -> "_TableReader":
        """Return a reader for a nested table."""
        value = self._values.get(key)
        if not isinstance(value, dict):
            self._add_finding(key, "must be a table")
            value = {}
        return _TableReader(self._source, value, key)

    def read_optional_table(self, key: str) -> "_TableReader":
        """Return a reader for a nested table, empty if there is none."""
        if key not in self._values:
            return _TableReader(self._source, {}, key)
        return self.read_table(key)

    def read_text(self, key: str) -> str:
        """Return a string that must not be empty."""
        value = self._values.get(key)
        if isinstance(value, str) and value:
            return value
        self._add_finding(key, "must be a non-empty string")
        return ""

    def read_number(self, key: str) -> float:
        """Return a number that must not be negative."""
        value = self._values.get(key)
        if isinstance(value, int | float) and value >= 0:
            return float(value)
        self._add_finding(key, "must be a number of at least 0")
        return 0.0

    def read_within(self, key: str, low: float, high: float, default: float) -> float:
        """Return a number within bounds, which may be missing."""
        value = self._values.get(key, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and low <= value <= high:
            return float(value)
        self._add_finding(key, f"must be a number from {low:g} to {high:g}")
        return default

    def _add_finding(self, key: str, problem: str) -> None:
        self._findings.append(Finding(self._source, 0, self._name, key, problem))
