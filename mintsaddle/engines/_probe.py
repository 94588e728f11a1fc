"""Looking at an engine's run, and giving it orders for its rank group."""

import http.client
import json
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

PROBE_TIMEOUT = 0.4
"""Seconds; a sight must be fresher than the fastest restart."""

PLAIN_BOOT = 1
"""Boot of a service that tells none."""

_LARGEST_ANSWER = 16 * 1_048_576


class EngineSight(NamedTuple):
    """An engine that answered."""

    boot: int
    limit: int | None
    """What it says that it bears, if it does."""


def probe_engine(address: str) -> Result[EngineSight, bool]:
    """Look at an engine.

    Returns:
        The engine's run; a failure with True if it refused the connection,
        which means that its process is gone, or False if it was only silent.
    """
    connection = http.client.HTTPConnection(address, timeout=PROBE_TIMEOUT)
    try:
        connection.request("GET", "/status")
        response = connection.getresponse()
        body = response.read(_LARGEST_ANSWER)
    except ConnectionRefusedError:
        return Failure(True)
    except (OSError, http.client.HTTPException):
        return Failure(False)
    finally:
        connection.close()
    return Success(_read_sight(body))


def send_group_order(
    address: str, act: str, order: dict[str, Any]
) -> Result[dict[str, Any], str]:
    """Give a rank's engine a group order; return what it reads back."""
    connection = http.client.HTTPConnection(address, timeout=PROBE_TIMEOUT * 5)
    try:
        connection.request("POST", f"/group/{act}", json.dumps(order))
        response = connection.getresponse()
        answer = json.loads(response.read(_LARGEST_ANSWER))
    except (OSError, http.client.HTTPException, ValueError) as error:
        return Failure(type(error).__name__)
    finally:
        connection.close()
    if response.status != http.client.OK or not isinstance(answer, dict):
        return Failure(f"status {response.status}")
    return Success(answer)


def _read_sight(body: bytes) -> EngineSight:
    try:
        answer = json.loads(body)
        limit = answer.get("limit")
        return EngineSight(int(answer["boot"]), int(limit) if limit else None)
    except (ValueError, TypeError, KeyError, AttributeError):
        # A plain service: it lives, and its restarts show as refused
        # connections only.
        return EngineSight(PLAIN_BOOT, None)
