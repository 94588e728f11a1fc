"""The parts of a prompt that a request's head lists."""

import re
from typing import Final

MAX_PARTS: Final = 64
"""Parts that are read of one prompt; bounds the work that callers cause."""

_PART = re.compile(r"(?P<id>[0-9a-f]{1,64}):\d{1,12}", re.IGNORECASE)


def read_shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of the parts that other requests may share.

    Args:
        text: Comma-separated parts, ``ID:TOKENS`` each, with the id in
            hexadecimal. Entries of another form are skipped.

    Returns:
        The ids in order and without repetition, at most ``MAX_PARTS``. The
        last part of a prompt is missing: it belongs to the request itself.
    """
    *shared, _ = text.split(",")
    matches = (_PART.fullmatch(part.strip()) for part in shared)
    ids = dict.fromkeys(match["id"].lower() for match in matches if match)
    return tuple(ids)[:MAX_PARTS]
