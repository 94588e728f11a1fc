"""Why connections are closed, and what is lost by it."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.observe import fields


class CloseReason(enum.Enum):
    """Why a connection is closed."""

    CALLER = "caller"
    """The caller has closed or reset it."""

    IDLE = "idle"
    """Nothing was sent or received for too long."""

    CROWDED = "crowded"
    """Too many connections are open."""

    ELSEWHERE = "elsewhere"
    """Callers are served better by other entries."""

    FAILURE = "failure"
    """Serving it raised an exception."""


class CutConnection(NamedTuple):
    """A connection that was closed before its requests were answered."""

    reason: CloseReason
    requests: int
    """Number of complete requests without a complete answer."""

    unsent_bytes: int
    """Bytes of answers that had not been sent."""

    environ: dict[str, str]
    """Headers of the first of these requests, in their WSGI form."""


def make_environ_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return headers as waitress keeps them in their WSGI form."""
    return {f"HTTP_{name}": value for name, value in headers.items()}


def render_cut(cut: CutConnection) -> str:
    """Return what was cut, as ``key=value`` pairs for the log."""
    return fields(
        reason=cut.reason.value,
        unanswered=cut.requests,
        unsent_bytes=cut.unsent_bytes,
    )
