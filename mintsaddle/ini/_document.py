"""Reading an INI text into sections that remember their lines.

``configparser`` does the parsing. It forgets line numbers and stops at the
first duplicate, so a second pass with its own patterns notes the places.
"""

import configparser
from typing import NamedTuple

from mintsaddle.values import Finding, Findings

_COMMENTS = ("#", ";")


class Section(NamedTuple):
    """One section of an INI text."""

    name: str
    """The text between the brackets."""

    line: int
    """Line of the header, from 1."""

    values: dict[str, str]
    """Value of each key; keys are lower case."""

    lines: dict[str, int]
    """Line of each key, from 1."""


class Document(NamedTuple):
    """An INI text with its places."""

    source: str
    """Name of the file or published value."""

    sections: tuple[Section, ...]
    """The sections in their order."""

    findings: Findings
    """What could not be read."""


class _Places(NamedTuple):
    headers: dict[str, int]
    keys: dict[tuple[str, str], int]
    findings: list[Finding]


def read_document(source: str, text: str) -> Document:
    """Return the sections of an INI text and everything unreadable in it."""
    places = _find_places(source, text)
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
        places.findings.append(Finding(source, error.lineno, "", "", problem))
        return Document(source, (), tuple(places.findings))
    except configparser.ParsingError as error:
        for line, content in error.errors:
            problem = f"{content} is neither a [section] nor 'key = value'"
            places.findings.append(Finding(source, line, "", "", problem))
        return Document(source, (), tuple(places.findings))
    sections = tuple(
        Section(
            name,
            places.headers.get(name, 0),
            dict(parser.items(name)),
            {key: places.keys.get((name, key), 0) for key in parser.options(name)},
        )
        for name in parser.sections()
    )
    return Document(source, sections, tuple(places.findings))


def _find_places(source: str, text: str) -> _Places:
    places = _Places({}, {}, [])
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line[0].isspace() or line.startswith(_COMMENTS):
            continue
        header = configparser.ConfigParser.SECTCRE.match(line)
        if header:
            section = header.group("header")
            _record_header(places, source, section, number)
            continue
        option = configparser.ConfigParser.OPTCRE.match(line)
        if option:
            key = option.group("option").strip().lower()
            _record_key(places, source, section, key, number)
    return places


def _record_header(places: _Places, source: str, section: str, line: int) -> None:
    first = places.headers.setdefault(section, line)
    if first != line:
        problem = f"the section stands already at line {first}; join the two"
        places.findings.append(Finding(source, line, section, "", problem))


def _record_key(
    places: _Places, source: str, section: str, key: str, line: int
) -> None:
    first = places.keys.setdefault((section, key), line)
    if first != line:
        problem = f"the key stands already at line {first}; keep one"
        places.findings.append(Finding(source, line, section, key, problem))
