"""Heads of requests and answers, between the platform's spelling and types.

Callers and endpoints share one set of headers; which ones concern a single
connection, which ones the system sets itself and what they hold is known here
only.
"""

import http.client
import math
import re
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from mintsaddle.values import MILLISECONDS, Load, Outcome, Reason

READY_PATH = "/mintsaddle/ready"
"""Path of the balancer's readiness check."""

EVENT_STREAM = "text/event-stream"

_REQUEST_ID = "X-Mintsaddle-Attempt-Id"
_SIGNATURE = "X-Mintsaddle-Response-Stamp"
_DEADLINE = "X-Mintsaddle-Deadline-Ms"
_EXPECT = "X-Mintsaddle-Expect-Instance"
_WORKSPACE = "X-Mintsaddle-Tenant"
_URGENCY = "X-Mintsaddle-Request-Urgency"
_NEVER_RAN = "X-Mintsaddle-Not-Executed"
_LOAD = "X-Mintsaddle-Server-Load"
_RATE_LIMITS = ("X-Mintsaddle-Server-Limit", "Server-Limit")
"""The page names it without the prefix that its other headers bear."""

_AT_FAULT = "At-Server"
_KEY = "Api-Key"
_LAST_EVENT = "Last-Event-Id"

_ONE_CONNECTION = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SET_HERE = frozenset(
    name.lower()
    for name in (
        _KEY,
        _WORKSPACE,
        _EXPECT,
        _DEADLINE,
        _LAST_EVENT,
        _URGENCY,
        "Content-Length",
    )
)
_NOT_PASSED_BACK = frozenset({"content-length", "date"}) | _ONE_CONNECTION
_IDLE_TIMEOUT = re.compile(r"\btimeout=(?P<seconds>\d+)")
_MISDIRECTED = 421
_IN_DOUBT_LATE = frozenset({Reason.TOO_LATE, Reason.SILENT})
_SMALLEST_RETRY = 0.02


class CallerHead(NamedTuple):
    """What a caller's head says besides what is only passed on."""

    request_id: str
    """The caller's name for this attempt; an empty string if it sent none."""

    key: str
    seconds_left: float | None
    """How long the caller waits from now on; None when it doesn't say."""

    last_event: int | None
    """The last event that it has of a stream that it resumes."""


class AnswerHead(NamedTuple):
    """What an endpoint's head says."""

    status: int
    is_ours: bool
    """Whether it answers this very request and bears the signature."""

    never_ran: bool
    """Whether the endpoint promises that it has not run the request."""

    is_misdirected: bool
    """Whether another endpoint has the address by now."""

    is_stream: bool
    load: Load | None
    rate_limit: float | None
    """Requests a second that it takes from all entries together; None when it
    names no limit."""

    at_fault: str
    """Endpoint that it names as the cause of a refusal."""

    idle_seconds: float | None
    """Seconds after which it closes the connection if that stays idle; 0 for
    at once, None if it doesn't say."""


def read_caller_head(environ: Mapping[str, Any]) -> CallerHead:
    """Return what a WSGI environment says of the caller's request."""
    return CallerHead(
        request_id=_caller_header(environ, _REQUEST_ID),
        key=_caller_header(environ, _KEY),
        seconds_left=_read_seconds(_caller_header(environ, _DEADLINE)),
        last_event=_read_event_id(_caller_header(environ, _LAST_EVENT)),
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
        endpoint: The run of the endpoint that is meant; another one that has
            its address by now refuses.
        workspace: The holder of the caller's key, whatever the caller says.
        seconds_left: How long the endpoint may work.
        last_event: The last event that the caller has, if there is one.
        urgency: 0 (first) to 9, for endpoints that admit by it.
    """
    named = str(environ.get("HTTP_CONNECTION", "")).split(",")
    dropped = {name.strip().lower() for name in named} | _ONE_CONNECTION | _SET_HERE
    headers = [
        (name, value)
        for name, value in _caller_headers(environ)
        if name.lower() not in dropped
    ]
    left = max(1, math.floor(seconds_left * MILLISECONDS))
    headers += [(_DEADLINE, str(left)), (_EXPECT, endpoint)]
    if workspace:
        headers.append((_WORKSPACE, workspace))
    if urgency is not None:
        headers.append((_URGENCY, str(urgency)))
    if last_event is not None:
        headers.append((_LAST_EVENT, str(last_event)))
    return headers


def read_answer_head(
    response: http.client.HTTPResponse, request_id: str, slots: int
) -> AnswerHead:
    """Return what an endpoint's head says.

    Args:
        response: The endpoint's answer, its head read.
        request_id: The request that was sent.
        slots: Places of the endpoint, where its load doesn't tell.
    """
    headers = response.headers
    is_encoded = headers.get("Content-Encoding") is not None
    is_same = headers.get(_REQUEST_ID) == request_id
    is_misdirected = response.status == _MISDIRECTED
    return AnswerHead(
        status=response.status,
        is_ours=is_same and headers.get(_SIGNATURE) is not None and not is_encoded,
        never_ran=headers.get(_NEVER_RAN) is not None or is_misdirected,
        is_misdirected=is_misdirected,
        is_stream=headers.get("Content-Type", "").startswith(EVENT_STREAM),
        load=_read_load(headers.get(_LOAD, ""), slots),
        rate_limit=_read_rate(headers),
        at_fault=headers.get(_AT_FAULT, ""),
        idle_seconds=_read_idle(response),
    )


def make_answer_headers(
    response: http.client.HTTPResponse,
) -> list[tuple[str, str]]:
    """Return an endpoint's headers as they are passed on to the caller."""
    named = response.headers.get("Connection", "").split(",")
    dropped = {name.strip().lower() for name in named} | _NOT_PASSED_BACK
    return [
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in dropped
    ]


def make_refusal(
    outcome: Outcome, reason: Reason, request_id: str, retry_after: float
) -> tuple[str, list[tuple[str, str]]]:
    """Return status line and headers for a request that isn't served.

    503 promises that the request has not run and never will; 502 and 504
    promise nothing.
    """
    headers = [(_REQUEST_ID, request_id)] if request_id else []
    if outcome is Outcome.NOT_RUN:
        seconds = max(_SMALLEST_RETRY, retry_after)
        headers.append(("Retry-After", f"{seconds:.2f}"))
        return "503 Service Unavailable", headers
    if reason in _IN_DOUBT_LATE:
        return "504 Gateway Timeout", headers
    return "502 Bad Gateway", headers


def _caller_headers(environ: Mapping[str, Any]) -> Iterable[tuple[str, str]]:
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            yield name[5:].replace("_", "-").title(), str(value)
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", str(environ["CONTENT_TYPE"])


def _caller_header(environ: Mapping[str, Any], name: str) -> str:
    key = f"HTTP_{name.upper().replace('-', '_')}"
    return str(environ.get(key, "")).strip()


def _read_idle(response: http.client.HTTPResponse) -> float | None:
    if response.will_close:
        return 0.0
    found = _IDLE_TIMEOUT.search(response.headers.get("Keep-Alive", ""))
    return float(found["seconds"]) if found else None


def _read_seconds(text: str) -> float | None:
    try:
        return max(0.0, float(text) / MILLISECONDS)
    except ValueError:
        return None


def _read_rate(headers: http.client.HTTPMessage) -> float | None:
    named = [headers[name] for name in _RATE_LIMITS if name in headers]
    try:
        rate = float(named[0]) if named else math.inf
    except ValueError:
        return None
    return max(0.0, rate) if math.isfinite(rate) else None


def _read_event_id(text: str) -> int | None:
    return int(text) if text.isdecimal() else None


def _read_load(text: str, slots: int) -> Load | None:
    """Return the load: running, waiting and places, separated by commas."""
    parts = [part.strip() for part in text.split(",")]
    if len(parts) < 2 or not all(part.isdecimal() for part in parts):
        return None
    limit = int(parts[2]) if len(parts) > 2 else slots
    return Load(int(parts[0]), limit, int(parts[1]), leaving=False)
