"""Translation of requests between the platform's headers and typed values."""

import math
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from mintsaddle.platform._headers import HOP_BY_HOP_HEADERS, REQUEST_ID
from mintsaddle.platform._prompt_parts import read_shared_parts
from mintsaddle.values import MILLISECONDS, read_digits

READY_PATH = "/mintsaddle/ready"
"""Path of the balancer's readiness check."""

_DEADLINE = "X-Mintsaddle-Deadline-Ms"
_EXPECTED_ENDPOINT = "X-Mintsaddle-Expect-Instance"
_TOKEN_USAGE = "X-Mintsaddle-Token-Usage"
_PROMPT_PARTS = "X-Mintsaddle-Prompt-Prefix"
_WORKSPACE = "X-Mintsaddle-Tenant"
_URGENCY = "X-Mintsaddle-Request-Urgency"
_API_KEY = "Api-Key"
_LAST_EVENT_ID = "Last-Event-Id"

_REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        _API_KEY,
        _WORKSPACE,
        _EXPECTED_ENDPOINT,
        _DEADLINE,
        _URGENCY,
        "Content-Length",
    )
)


class RequestHead(NamedTuple):
    """Decoded headers of a caller's request, except those only passed on."""

    request_id: str
    """The caller's id for this attempt; an empty string if it sent none."""

    key: str
    seconds_left: float | None
    """Remaining time until the caller's deadline; None if it sent none."""

    last_event: int | None
    """Id of the last event that the caller received of a resumed stream; None
    if it sent none or one that is no number of a usual length."""

    tokens: tuple[float, float] | None = None
    """Tokens of input and maximum tokens of output; None if not stated."""

    parts: tuple[str, ...] = ()
    """Ids of the parts of its prompt that other requests may share."""


def read_request_head(environ: Mapping[str, Any]) -> RequestHead:
    """Return the decoded headers of a request from its WSGI environment."""
    return RequestHead(
        request_id=_request_header(environ, REQUEST_ID),
        key=_request_header(environ, _API_KEY),
        seconds_left=_read_seconds(_request_header(environ, _DEADLINE)),
        last_event=read_digits(_request_header(environ, _LAST_EVENT_ID)),
        tokens=_read_tokens(_request_header(environ, _TOKEN_USAGE)),
        parts=read_shared_parts(_request_header(environ, _PROMPT_PARTS)),
    )


def make_endpoint_headers(
    environ: Mapping[str, Any],
    endpoint: str,
    workspace: str,
    seconds_left: float,
    last_event: int | None,
    urgency: int | None = None,
) -> list[tuple[str, str]]:
    """Return the headers of a request to an endpoint.

    Args:
        environ: The caller's WSGI environment.
        endpoint: Name of the endpoint's incarnation; another one that now has
            the same address refuses the request.
        workspace: The workspace that owns the caller's key, regardless of any
            header that the caller sent.
        seconds_left: Time that the endpoint has for the request.
        last_event: Id of the last event that the caller received. If None, the
            endpoint gets the id that the caller sent, if any, as it is.
        urgency: 0 (most urgent) to 9, for endpoints that admit by urgency.
    """
    listed = str(environ.get("HTTP_CONNECTION", "")).split(",")
    dropped = (
        {name.strip().lower() for name in listed}
        | HOP_BY_HOP_HEADERS
        | _REPLACED_HEADERS
    )
    if last_event is not None:
        dropped.add(_LAST_EVENT_ID.lower())
    headers = [
        (name, value)
        for name, value in _request_headers(environ)
        if name.lower() not in dropped
    ]
    remaining_ms = max(1, math.floor(seconds_left * MILLISECONDS))
    headers += [(_DEADLINE, str(remaining_ms)), (_EXPECTED_ENDPOINT, endpoint)]
    if workspace:
        headers.append((_WORKSPACE, workspace))
    if urgency is not None:
        headers.append((_URGENCY, str(urgency)))
    if last_event is not None:
        headers.append((_LAST_EVENT_ID, str(last_event)))
    return headers


def _request_headers(environ: Mapping[str, Any]) -> Iterable[tuple[str, str]]:
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            yield name[5:].replace("_", "-").title(), str(value)
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", str(environ["CONTENT_TYPE"])


def _request_header(environ: Mapping[str, Any], name: str) -> str:
    key = f"HTTP_{name.upper().replace('-', '_')}"
    return str(environ.get(key, "")).strip()


def _read_seconds(text: str) -> float | None:
    try:
        return max(0.0, float(text) / MILLISECONDS)
    except ValueError:
        return None


def _read_tokens(text: str) -> tuple[float, float] | None:
    """Return the tokens from ``PROMPT,MAX_OUTPUT``."""
    parts = [part.strip() for part in text.split(",")]
    if len(parts) != 2 or not all(part.isdecimal() for part in parts):
        return None
    return float(parts[0]), float(parts[1])
