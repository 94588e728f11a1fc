"""Translation of responses between the platform's headers and typed values."""

import http.client
import math
import re
from email.utils import parsedate_to_datetime
from typing import NamedTuple

from mintsaddle.platform._headers import (
    HOP_BY_HOP_HEADERS,
    REQUEST_ID,
    RETRY_AFTER,
)
from mintsaddle.values import Load, Outcome, Reason

EVENT_STREAM = "text/event-stream"

_SIGNATURE = "X-Mintsaddle-Response-Stamp"
_NOT_EXECUTED = "X-Mintsaddle-Not-Executed"
_LOAD = "X-Mintsaddle-Server-Load"
_RATE_LIMIT_HEADERS = ("X-Mintsaddle-Server-Limit", "Server-Limit")
"""The header is documented without the prefix that the others have."""

_LEAVING_HEADERS = ("X-Mintsaddle-Server-Leaving", "Server-Leaving")
"""The header is documented without the prefix that the others have."""

_FAULTY_ENDPOINT = "At-Server"

_REMOVED_RESPONSE_HEADERS = frozenset({"content-length", "date"}) | HOP_BY_HOP_HEADERS
_KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout=(?P<seconds>\d+)")
_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503
_TIMEOUT_REASONS = frozenset({Reason.TOO_LATE, Reason.SILENT})
_MAX_COUNT_DIGITS = 9
_MIN_RETRY_AFTER_SECONDS = 0.02


class ResponseHead(NamedTuple):
    """Decoded status and headers of an endpoint's response."""

    status: int
    is_authentic: bool
    """Whether it has the request's id and a signature, and isn't encoded."""

    not_executed: bool
    """Whether the endpoint guarantees that it has not run the request."""

    is_misdirected: bool
    """Whether the address now belongs to another endpoint."""

    is_stream: bool
    load: Load | None
    rate_limit: float | None
    """Requests per second that it accepts from all entries together; None
    without a limit."""

    retry_after: float
    """Seconds for which a refusing endpoint asks this VM to send it nothing; 0
    if it doesn't ask."""

    is_leaving: bool
    """Whether the endpoint says that it is shutting down."""

    at_fault: str
    """Endpoint that caused a refusal; an empty string if none is named."""

    idle_seconds: float | None
    """Seconds after which it closes an idle connection; 0 if it closes the
    connection at once, None if unknown."""


def read_response_head(
    response: http.client.HTTPResponse, request_id: str, slots: int
) -> ResponseHead:
    """Return the decoded status and headers of an endpoint's response.

    Args:
        response: The response, whose headers have been received.
        request_id: Id of the request that was sent.
        slots: Slots of the endpoint, used if its load header omits them.
    """
    headers = response.headers
    is_encoded = headers.get("Content-Encoding") is not None
    has_request_id = headers.get(REQUEST_ID) == request_id
    is_misdirected = response.status == _MISDIRECTED_STATUS
    return ResponseHead(
        status=response.status,
        is_authentic=has_request_id
        and headers.get(_SIGNATURE) is not None
        and not is_encoded,
        not_executed=headers.get(_NOT_EXECUTED) is not None or is_misdirected,
        is_misdirected=is_misdirected,
        is_stream=headers.get("Content-Type", "").startswith(EVENT_STREAM),
        load=_read_load(headers.get(_LOAD, ""), slots),
        rate_limit=_read_rate_limit(headers),
        retry_after=_read_retry_after(response),
        is_leaving=_is_leaving(headers),
        at_fault=headers.get(_FAULTY_ENDPOINT, ""),
        idle_seconds=_read_idle_seconds(response),
    )


def make_response_headers(
    response: http.client.HTTPResponse,
) -> list[tuple[str, str]]:
    """Return the headers of a response to pass on to the caller."""
    listed = response.headers.get("Connection", "").split(",")
    dropped = {name.strip().lower() for name in listed} | _REMOVED_RESPONSE_HEADERS
    return [
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in dropped
    ]


def make_refusal(
    outcome: Outcome, reason: Reason, request_id: str, retry_after: float
) -> tuple[str, list[tuple[str, str]]]:
    """Return the status line and headers for a request that isn't served.

    503 guarantees that the request has not run and never will; 502 and 504
    leave open whether it ran.
    """
    headers = [(REQUEST_ID, request_id)] if request_id else []
    if outcome is Outcome.NOT_RUN:
        seconds = max(_MIN_RETRY_AFTER_SECONDS, retry_after)
        headers.append((RETRY_AFTER, f"{seconds:.2f}"))
        return "503 Service Unavailable", headers
    if reason in _TIMEOUT_REASONS:
        return "504 Gateway Timeout", headers
    return "502 Bad Gateway", headers


def make_fault_headers(
    request_id: str, retry_after: float | None
) -> list[tuple[str, str]]:
    """Return the headers of a refusal of a request that hasn't arrived.

    Args:
        request_id: Its id, if that has arrived.
        retry_after: Seconds after which to come back; None if it shouldn't.
    """
    headers = [(REQUEST_ID, request_id)] if request_id else []
    headers.append((_NOT_EXECUTED, "1"))
    if retry_after is not None:
        headers.append((RETRY_AFTER, f"{retry_after:.2f}"))
    return headers


def _read_idle_seconds(response: http.client.HTTPResponse) -> float | None:
    if response.will_close:
        return 0.0
    match = _KEEP_ALIVE_TIMEOUT.search(response.headers.get("Keep-Alive", ""))
    return float(match["seconds"]) if match else None


def _read_rate_limit(headers: http.client.HTTPMessage) -> float | None:
    values = [headers[name] for name in _RATE_LIMIT_HEADERS if name in headers]
    try:
        rate = float(values[0]) if values else math.inf
    except ValueError:
        return None
    return max(0.0, rate) if math.isfinite(rate) else None


def _read_retry_after(response: http.client.HTTPResponse) -> float:
    """Return the seconds in a refusal's Retry-After; 0 if it has no valid one.

    A date is read relative to the endpoint's own clock, since this VM's clock
    may differ from it.
    """
    text = response.headers.get(RETRY_AFTER)
    if text is None or response.status != _UNAVAILABLE_STATUS:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        seconds = _seconds_until(text, response.headers.get("Date", ""))
    return max(0.0, seconds) if math.isfinite(seconds) else 0.0


def _seconds_until(date: str, now: str) -> float:
    """Return the seconds between two HTTP dates; 0 if one is invalid."""
    try:
        until, since = parsedate_to_datetime(date), parsedate_to_datetime(now)
        return (until - since).total_seconds()
    except (ValueError, TypeError):
        return 0.0


def _is_leaving(headers: http.client.HTTPMessage) -> bool:
    values = [headers[name] for name in _LEAVING_HEADERS if name in headers]
    return any(value.strip() == "1" for value in values)


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= _MAX_COUNT_DIGITS


def _read_load(text: str, slots: int) -> Load | None:
    """Return the load from ``RUNNING,QUEUED[,SLOTS]``."""
    parts = [part.strip() for part in text.split(",")]
    if len(parts) < 2 or not all(map(_is_count, parts)):
        return None
    limit = int(parts[2]) if len(parts) > 2 else slots
    return Load(int(parts[0]), limit, int(parts[1]), leaving=False)
