"""The routing table: maps requests to services, and API keys to workspaces."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.values import stable_hash


class Repeat(enum.Enum):
    """Whether a request may be retried on another endpoint."""

    IDEMPOTENT = "idempotent"
    """It may run more than once."""

    RESUMABLE = "resumable"
    """A stream that another endpoint can resume after a given event."""

    ONCE = "once"
    """It may run at most once."""


class Destination(NamedTuple):
    """One service behind a route."""

    service: str
    weight: float
    """Relative share of the route's requests; never 0."""


class Route(NamedTuple):
    """Rules for requests to one host whose path starts with a prefix."""

    name: str
    host: str
    prefix: str
    repeat: Repeat
    is_stream: bool
    timeout: float
    """Longest time that a caller waits, in seconds."""

    objective: float
    """Seconds within which a response, or its first event, is on time."""

    longest_pause: float
    """Longest pause in seconds between events of a stream that is on time."""

    priority: int
    """Priority under load; 0 is the most urgent."""

    destinations: tuple[Destination, ...]
    max_attempts: int
    """Endpoints that one request may be sent to."""

    allows_anonymous: bool
    """Whether callers need no API key."""


class ExpertLayout(NamedTuple):
    """Expert layout of a service's engines."""

    layers: int
    experts: int
    """Experts per layer."""

    max_experts: int
    """Experts per layer that one rank can hold."""

    max_new_experts: int
    """Experts per layer that one rank can load for one map change."""

    load_seconds: float
    """Seconds that a rank takes to load one expert; 0 if not specified."""


class StepModel(NamedTuple):
    """Duration of an engine's steps, as published by its operator."""

    token_seconds: float
    """Seconds of a token step without requests."""

    request_seconds: float
    """Seconds that each request adds, with a context of typical length."""

    tokens: int
    """Token steps per step of the group."""

    def step_seconds(self, requests: int) -> float:
        """Return the duration of a step with equal load on all experts."""
        return self.tokens * (self.token_seconds + self.request_seconds * requests)


class DirectService(NamedTuple):
    """A service whose endpoints an entry calls directly."""

    name: str
    health_path: str
    max_connections: int
    """Connections that one endpoint accepts from all callers in total."""

    cold_rate: float
    """Requests per second that a cold endpoint can handle; 0 for no limit."""

    is_engine: bool
    """Whether its endpoints are model engines."""

    cold_seconds: float = 0.0
    """How long an endpoint is cold after its start, in seconds."""

    experts: ExpertLayout | None = None
    """Its expert layout; None if it has no experts."""

    steps: StepModel | None = None
    """Step durations of its engines; None if not specified."""


class CallerLimits(NamedTuple):
    """Limits on the size and timing of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    """Seconds within which a request's header section must be complete."""

    idle_seconds: float
    """How long an idle connection is kept open, in seconds."""


class KeyHolder(NamedTuple):
    """The workspace that an API key belongs to."""

    workspace: str
    priority: int | None
    """Overrides the route's priority; None to use that of the route."""


class RoutingTable(NamedTuple):
    """One validated version of the configuration."""

    version: int
    hosts: Mapping[str, tuple[Route, ...]]
    """Routes by lower-case host name, longest prefix first."""

    services: Mapping[str, DirectService]
    limits: CallerLimits
    keys: Mapping[str, KeyHolder] | None
    """Workspaces by API key; None if API keys aren't used at all."""


def match_route(table: RoutingTable, host: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix, if any.

    Args:
        table: The active routing table.
        host: The ``Host`` header; a port is ignored.
        path: The raw path without the query string.
    """
    name = host.rpartition(":")[0] if ":" in host else host
    for route in table.hosts.get(name.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_service(route: Route, request_id: str) -> str:
    """Choose a destination by weight, always the same one for a request.

    The hash of the request ID replaces a random number: it needs no state, and
    the choice can be reproduced from a log line.
    """
    total = sum(destination.weight for destination in route.destinations)
    point = stable_hash(request_id) / 2**64 * total
    for destination in route.destinations:
        point -= destination.weight
        if point < 0:
            return destination.service
    return route.destinations[-1].service


def shortest_allowed_pause(table: RoutingTable, service: str) -> float:
    """Return the shortest ``longest_pause`` of all routes to a service.

    Returns:
        The pause in seconds; 0 if no such route specifies one.
    """
    pauses = [
        route.longest_pause
        for routes in table.hosts.values()
        for route in routes
        if any(destination.service == service for destination in route.destinations)
    ]
    return min((pause for pause in pauses if pause > 0), default=0.0)
