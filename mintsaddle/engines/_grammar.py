"""Grammar of the lines of a response (RFC 9110, RFC 9112).

``http.client`` reads numbers with ``int``, which takes signs, underscores,
blanks and digits of any script.
"""

import http.client
import re

_TEXT = rb"[\t \x21-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(
    rb"HTTP/1\.[0-9] (?P<status>[1-5][0-9]{2})(?: " + _TEXT + rb")?\r?\n"
)
_FIELD_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + _TEXT + rb"\r?\n")
_CHUNK_LINE = re.compile(
    rb"(?P<size>[0-9A-Fa-f]{1,15})[\t ]*(?:;" + _TEXT + rb")?\r?\n"
)
_CHUNK_END = b"\r\n"


class GrammarError(http.client.HTTPException):
    """A line of a response doesn't follow the grammar."""


def read_status(line: bytes) -> int:
    """Return the status in a status line, from 100 to 599.

    Raises:
        GrammarError: The line is invalid.
    """
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        raise GrammarError(f"status line {line!r:.99}")
    return int(match["status"])


def check_field(line: bytes) -> None:
    """Check the line of a field.

    A value on several lines is invalid, and so is a blank before the colon.

    Raises:
        GrammarError: The line is invalid.
    """
    if _FIELD_LINE.fullmatch(line) is None:
        raise GrammarError(f"field {line!r:.99}")


def read_chunk_size(line: bytes) -> int:
    """Return the size of the chunk that a line begins.

    Raises:
        GrammarError: The line is invalid, or the size has over 15 digits.
    """
    match = _CHUNK_LINE.fullmatch(line)
    if match is None:
        raise GrammarError(f"chunk size {line!r:.99}")
    return int(match["size"], 16)


def check_chunk_end(data: bytes) -> None:
    """Check what follows a chunk's data; too short a part is no error here.

    Raises:
        GrammarError: It isn't the end of a line.
    """
    if not _CHUNK_END.startswith(data):
        raise GrammarError(f"chunk end {data!r}")
