"""Parsing of an INI text into sections with line numbers.

``configparser`` parses the text. It discards line numbers and, if strict,
stops at the first duplicate, so a second pass with the same patterns records
the lines and reports the duplicates.
"""

import configparser
from typing import NamedTuple

from mintsaddle.values import Finding, Findings

_COMMENTS = ("#", ";")


class Section(NamedTuple):
    """A section of an INI text."""

    name: str
    """The text between the brackets."""

    line: int
    """Line number of the header, from 1."""

    values: dict[str, str]
    """Value of each key; keys are lowercase."""

    lines: dict[str, int]
    """Line number of each key, from 1."""


class Document(NamedTuple):
    """A parsed INI text."""

    source: str
    """Name of the file or published value."""

    sections: tuple[Section, ...]
    """Sections in the order of the text."""

    findings: Findings
    """Syntax errors and duplicates."""


class _Locations(NamedTuple):
    headers: dict[str, int]
    keys: dict[tuple[str, str], int]
    findings: list[Finding]


def read_document(source: str, text: str) -> Document:
    """Return the sections, syntax errors and duplicates of an INI text."""
    locations = _find_locations(source, text)
    parser = configparser.ConfigParser(
        interpolation=None,
        strict=False,
        default_section="\x00",
        empty_lines_in_values=False,
    )
    try:
        parser.read_string(text, source)
    except configparser.MissingSectionHeaderError as error:
        problem = "text before the first [section]"
        locations.findings.append(Finding(source, error.lineno, "", "", problem))
        return Document(source, (), tuple(locations.findings))
    except configparser.ParsingError as error:
        for line, content in error.errors:
            problem = f"{content} is neither a [section] nor 'key = value'"
            locations.findings.append(Finding(source, line, "", "", problem))
        return Document(source, (), tuple(locations.findings))
    sections = tuple(
        Section(
            name,
            locations.headers.get(name, 0),
            dict(parser.items(name)),
            {key: locations.keys.get((name, key), 0) for key in parser.options(name)},
        )
        for name in parser.sections()
    )
    return Document(source, sections, tuple(locations.findings))


def _find_locations(source: str, text: str) -> _Locations:
    locations = _Locations({}, {}, [])
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line[0].isspace() or line.startswith(_COMMENTS):
            continue
        header = configparser.ConfigParser.SECTCRE.match(line)
        if header:
            section = header.group("header")
            _record_header(locations, source, section, number)
            continue
        option = configparser.ConfigParser.OPTCRE.match(line)
        if option:
            key = option.group("option").strip().lower()
            _record_key(locations, source, section, key, number)
    return locations


def _record_header(locations: _Locations, source: str, section: str, line: int) -> None:
    first = locations.headers.setdefault(section, line)
    if first != line:
        problem = f"the section is already at line {first}; merge the two"
        locations.findings.append(Finding(source, line, section, "", problem))


def _record_key(
    locations: _Locations, source: str, section: str, key: str, line: int
) -> None:
    first = locations.keys.setdefault((section, key), line)
    if first != line:
        problem = f"the key is already at line {first}; keep one"
        locations.findings.append(Finding(source, line, section, key, problem))
