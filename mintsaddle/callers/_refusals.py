"""Requests that the server refuses before an application gets them."""

import enum
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeAlias


class RequestFault(enum.Enum):
    """Why a request is refused."""

    MALFORMED = "malformed"
    """It isn't valid HTTP."""

    UNSUPPORTED = "unsupported"
    """It uses a transfer encoding that isn't supported."""

    LARGE_HEAD = "large-head"
    """Its head exceeds the operator's limit."""

    LARGE_BODY = "large-body"
    """Its body exceeds the operator's limit."""

    FRAMING = "framing"
    """The framing of its chunked body exceeds a limit."""

    SLOW_HEAD = "slow-head"
    """Its head has not arrived in time."""

    SLOW_BODY = "slow-body"
    """Its body has not arrived in time."""

    CROWDED = "crowded"
    """Unfinished requests hold too many connections."""

    MEMORY = "memory"
    """There is no memory for it."""


STATUS_LINES = {
    RequestFault.MALFORMED: "400 Bad Request",
    RequestFault.UNSUPPORTED: "501 Not Implemented",
    RequestFault.LARGE_HEAD: "431 Request Header Fields Too Large",
    RequestFault.LARGE_BODY: "413 Content Too Large",
    RequestFault.FRAMING: "413 Content Too Large",
    RequestFault.SLOW_HEAD: "408 Request Timeout",
    RequestFault.SLOW_BODY: "408 Request Timeout",
    RequestFault.CROWDED: "503 Service Unavailable",
    RequestFault.MEMORY: "503 Service Unavailable",
}


class HttpRefusal(NamedTuple):
    """The answer to a request that is refused."""

    status: str
    """Status code and reason phrase."""

    headers: list[tuple[str, str]]
    body: bytes = b""


RefuseFault: TypeAlias = Callable[[RequestFault, Mapping[str, str]], HttpRefusal]
"""Records and renders the refusal of a request, given its WSGI headers."""

ScreenRequest: TypeAlias = Callable[[dict[str, Any]], HttpRefusal | None]
"""Returns the refusal of a request whose body is still arriving, if its head
suffices to refuse it."""


def refuse_plainly(fault: RequestFault, _: Mapping[str, str]) -> HttpRefusal:
    """Return a refusal that says nothing but the status."""
    return HttpRefusal(STATUS_LINES[fault], [])


def accept_any(_: dict[str, Any]) -> HttpRefusal | None:
    """Refuse no request by its head."""
    return None


class RefusedError(NamedTuple):
    """The end of a request whose refusal is known; waitress's form."""

    refusal: HttpRefusal

    def to_response(self, _: str | None) -> HttpRefusal:
        """Return status line, headers and body."""
        return self.refusal


class FaultError(NamedTuple):
    """The end of a request whose refusal has not been rendered."""

    fault: RequestFault
