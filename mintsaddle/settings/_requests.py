"""Limits on what clients' requests may take of an entry."""

from typing import NamedTuple


class RequestLimits(NamedTuple):
    """Limits for all requests of an entry together, and on how they arrive.

    The operator's configuration limits the size of a single request.
    """

    memory_share: float = 0.15
    """Share of the VM's memory for requests beyond a few kilobytes each."""

    body_seconds: float = 60.0
    """Seconds within which a body has to arrive."""

    unfinished_share: float = 0.5
    """Share of the connections that requests may hold before they are
    complete."""

    framing_factor: float = 8.0
    """Bytes of framing that a chunked body may have, as a multiple of the
    largest body."""


DEFAULT_REQUEST_LIMITS = RequestLimits()
