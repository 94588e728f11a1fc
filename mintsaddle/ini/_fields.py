"""Typed access to the keys of a section, with collected findings."""

import ipaddress
from collections.abc import Callable, Collection
from typing import TypeVar

from mintsaddle.ini._document import Section
from mintsaddle.values import Finding

_Value = TypeVar("_Value")
_LARGEST_PORT = 65_535
_BOOLEANS = {"yes": True, "no": False}


class FieldReader:
    """Reads typed values of a section and collects findings."""

    def __init__(self, source: str, section: Section, findings: list[Finding]) -> None:
        self._source = source
        self._section = section
        self._findings = findings
        self._read_keys: set[str] = set()

    def report(self, key: str, problem: str) -> None:
        """Add a finding for a key of this section."""
        line = self._section.lines.get(key, self._section.line)
        name = self._section.name
        self._findings.append(Finding(self._source, line, name, key, problem))

    def read_text(self, key: str, default: str | None = None) -> str:
        """Return a string; without a default the key is required."""
        self._read_keys.add(key)
        value = self._section.values.get(key)
        if value:
            return value
        if default is None:
            self.report(key, "is missing; add it")
            return ""
        return default

    def read_choice(self, key: str, choices: Collection[str], default: str) -> str:
        """Return one of the allowed values."""
        value = self.read_text(key, default)
        if value in choices:
            return value
        options = ", ".join(sorted(choices))
        self.report(key, f"'{value}' is not one of: {options}")
        return default

    def read_flag(self, key: str, *, default: bool) -> bool:
        """Return a Boolean written as ``yes`` or ``no``."""
        choice = self.read_choice(key, _BOOLEANS, "yes" if default else "no")
        return _BOOLEANS[choice]

    def read_names(self, key: str) -> tuple[str, ...]:
        """Return names separated by whitespace; duplicates are findings."""
        names = tuple(self.read_text(key, "").split())
        for name in sorted({name for name in names if names.count(name) > 1}):
            self.report(key, f"'{name}' is listed more than once")
        return names

    def read_integer(self, key: str, low: int, high: int, default: int) -> int:
        """Return an integer within bounds."""
        return self._read_number(key, int, "a whole number", low, high, default)

    def read_number(self, key: str, low: float, high: float, default: float) -> float:
        """Return a number within bounds."""
        return self._read_number(key, float, "a number", low, high, default)

    def read_address(self, key: str, default: str | None = None) -> str:
        """Return an IP and port; without a default the key is required."""
        address = self.read_text(key, default)
        if address:
            self.check_address(key, address)
        return address

    def check_address(self, key: str, address: str) -> None:
        """Add a finding if a string is not an IP and port."""
        host, _, port = address.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            valid = 0 < int(port) <= _LARGEST_PORT
        except ValueError:
            valid = False
        if not valid:
            self.report(key, f"'{address}' is not IP:PORT, as in 10.0.0.1:7000")

    def report_unknown(self) -> None:
        """Add a finding for each key that has not been read."""
        known = ", ".join(sorted(self._read_keys))
        for key in self._section.values:
            if key not in self._read_keys:
                self.report(key, f"is unknown; the keys here are: {known}")

    def _read_number(
        self,
        key: str,
        convert: Callable[[str], _Value],
        kind: str,
        low: _Value,
        high: _Value,
        default: _Value,
    ) -> _Value:
        text = self.read_text(key, str(default))
        try:
            value = convert(text)
        except ValueError:
            self.report(key, f"'{text}' is not {kind}; {default} is valid")
            return default
        # A NaN compares false with both bounds, so it is rejected too.
        if low <= value <= high:  # type: ignore[operator]
            return value
        self.report(key, f"{text} is not within {low} and {high}")
        return default
