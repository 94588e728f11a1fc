"""HTTP client that reads and watches a published value.

``GET /v1/values/NAME?after=REVISION&wait=SECONDS`` responds with 200 and a
JSON object with ``revision`` and ``value`` once there is a newer revision, or
with 304 if there is none within the wait. A watch counts as one call,
however long it waits.
"""

import http.client
from typing import NamedTuple

from returns.result import Failure, Result, Success

from mintsaddle.engines import BoundedConnection
from mintsaddle.values import DECODING_ERRORS, load_json

MAX_RESPONSE_BYTES = 4 * 1_048_576
"""Largest response body; fits a value of 1 MB after JSON escaping."""

_TIMEOUT_SLACK_SECONDS = 5.0


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
        wait: Seconds for which the platform may delay its response; 0 reads
            at once.

    Returns:
        The newer value, or None if there is none; a failure with a message if
        the platform is unreachable or its response is invalid.
    """
    connection = BoundedConnection(address, timeout=wait + _TIMEOUT_SLACK_SECONDS)
    try:
        connection.request("GET", f"/v1/values/{name}?after={after}&wait={wait:g}")
        response = connection.getresponse()
        body = response.read(MAX_RESPONSE_BYTES + 1)
    except (OSError, http.client.HTTPException) as error:
        return Failure(f"can't read '{name}': {type(error).__name__}")
    finally:
        connection.close()
    if response.status == http.client.NOT_MODIFIED:
        return Success(None)
    if response.status != http.client.OK:
        return Failure(f"can't read '{name}': status {response.status}")
    return _decode_value(name, body, after)


def _decode_value(
    name: str, body: bytes, after: int
) -> Result[PlatformValue | None, str]:
    """Decode a response; a huge or invalid one must not stop a daemon."""
    if len(body) > MAX_RESPONSE_BYTES:
        return Failure(f"'{name}' is over {MAX_RESPONSE_BYTES} bytes")
    try:
        content = load_json(body)
        value = PlatformValue(int(content["revision"]), str(content["value"]))
    except DECODING_ERRORS as error:
        return Failure(f"'{name}' is unreadable: {type(error).__name__}")
    if value.revision <= after:
        return Success(None)
    return Success(value)
