"""Reading and watching a published value over HTTP.

``GET /v1/values/NAME?after=REVISION&wait=SECONDS`` answers 200 with a JSON
object of ``revision`` and ``value`` once a newer revision stands, and 304
when none came within the wait. A waiting watch counts as one call.
"""

import http.client
import json
from typing import NamedTuple

from returns.result import Failure, Result, Success

LARGEST_ANSWER = 4 * 1_048_576
"""Bytes; a value of a megabyte fits after JSON has escaped it."""

_SLACK = 5.0


class PlatformValue(NamedTuple):
    """A published value."""

    revision: int
    value: str


def watch_value(
    address: str, name: str, after: int, wait: float
) -> Result[PlatformValue | None, str]:
    """Wait for a revision newer than one that is known.

    Args:
        address: IP and port of the platform's service.
        name: ``fleet`` or ``marks``.
        after: The newest known revision.
        wait: Seconds that the platform may hold the call; 0 reads at once.

    Returns:
        The newer value, or None if there is none; a failure that says what
        went wrong when the platform is down or answers nonsense.
    """
    connection = http.client.HTTPConnection(address, timeout=wait + _SLACK)
    try:
        connection.request("GET", f"/v1/values/{name}?after={after}&wait={wait:g}")
        response = connection.getresponse()
        body = response.read(LARGEST_ANSWER + 1)
    except (OSError, http.client.HTTPException) as error:
        return Failure(f"can't read '{name}': {type(error).__name__}")
    finally:
        connection.close()
    if response.status == http.client.NOT_MODIFIED:
        return Success(None)
    if response.status != http.client.OK:
        return Failure(f"can't read '{name}': status {response.status}")
    return _read_value(name, body, after)


def _read_value(
    name: str, body: bytes, after: int
) -> Result[PlatformValue | None, str]:
    """Guard against a huge or garbage value, which must not stop a daemon."""
    if len(body) > LARGEST_ANSWER:
        return Failure(f"'{name}' is over {LARGEST_ANSWER} bytes")
    try:
        answer = json.loads(body)
        value = PlatformValue(int(answer["revision"]), str(answer["value"]))
    except (ValueError, TypeError, KeyError) as error:
        return Failure(f"'{name}' is unreadable: {type(error).__name__}")
    if value.revision <= after:
        return Success(None)
    return Success(value)
