"""Health probes of an engine and orders for its rank group."""

import http.client
import json
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from mintsaddle.engines._responses import BoundedConnection
from mintsaddle.values import DECODING_ERRORS, load_json

PROBE_TIMEOUT_SECONDS = 0.4
"""Bounds the age of a probe result below the time of the fastest restart."""

DEFAULT_BOOT = 1
"""Boot number of a service that doesn't report one."""

_MAX_RESPONSE_BYTES = 16 * 1_048_576


class EngineStatus(NamedTuple):
    """What an engine reported in response to a probe."""

    boot: int
    limit: int | None
    """The number of concurrent requests it accepts, if it reports one."""


def probe_engine(address: str) -> Result[EngineStatus, bool]:
    """Request the status of an engine.

    Returns:
        The engine's status; a failure with True if it refused the connection,
        which means that its process is gone, or with False if it only didn't
        respond.
    """
    connection = BoundedConnection(address, timeout=PROBE_TIMEOUT_SECONDS)
    try:
        connection.request("GET", "/status")
        response = connection.getresponse()
        body = response.read(_MAX_RESPONSE_BYTES)
    except ConnectionRefusedError:
        return Failure(True)
    except (OSError, http.client.HTTPException):
        return Failure(False)
    finally:
        connection.close()
    return Success(_parse_status(body))


def send_group_order(
    address: str, action: str, order: dict[str, Any]
) -> Result[dict[str, Any], str]:
    """Send a group order to a rank's engine and return its response."""
    connection = BoundedConnection(address, timeout=PROBE_TIMEOUT_SECONDS * 5)
    try:
        connection.request("POST", f"/group/{action}", json.dumps(order))
        response = connection.getresponse()
        answer = load_json(response.read(_MAX_RESPONSE_BYTES))
    except (OSError, http.client.HTTPException, *DECODING_ERRORS) as error:
        return Failure(type(error).__name__)
    finally:
        connection.close()
    if response.status != http.client.OK or not isinstance(answer, dict):
        return Failure(f"status {response.status}")
    return Success(answer)


def _parse_status(body: bytes) -> EngineStatus:
    try:
        answer = load_json(body)
        limit = answer.get("limit")
        return EngineStatus(int(answer["boot"]), int(limit) if limit else None)
    except DECODING_ERRORS:
        # A plain service is up, and its restarts only show as refused
        # connections.
        return EngineStatus(DEFAULT_BOOT, None)
