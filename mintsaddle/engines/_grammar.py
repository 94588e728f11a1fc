"""Grammar of the lines in a response's head (RFC 9110, RFC 9112).

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
