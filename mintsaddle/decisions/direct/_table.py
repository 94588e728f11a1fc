"""The routing table: which request goes to which service, and for whom."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.values import stable_hash


class Repeat(enum.Enum):
    """Whether a request may be sent to a second endpoint."""

    IDEMPOTENT = "idempotent"
    """It may run more than once."""

    RESUMABLE = "resumable"
    """A stream that another endpoint can go on with after a given event."""

    ONCE = "once"
    """It may run at most once."""


class Destination(NamedTuple):
    """One service behind a route."""

    service: str
    weight: float
    """Share of the route's requests, in any unit; never 0."""


class Route(NamedTuple):
    """Requests to one host whose path begins with one prefix."""

    name: str
    host: str
    prefix: str
    repeat: Repeat
    is_stream: bool
    timeout: float
    """Seconds for which the operator lets a caller wait."""

    objective: float
    """Seconds within which an answer, or its first event, is on time."""

    longest_pause: float
    """Seconds between two events of a stream that is still on time."""

    priority: int
    """Rank under load; 0 is the most urgent."""

    destinations: tuple[Destination, ...]
    most_attempts: int
    """Endpoints that may be asked for one request."""

    is_open: bool
    """Whether callers need no key."""


class ExpertModel(NamedTuple):
    """How the experts of a service's engines are laid out."""

    layers: int
    experts: int
    """Experts of a layer."""

    places: int
    """Experts of a layer that one rank can hold."""

    new_places: int
    """Experts of a layer that one rank can load for one map."""

    load_seconds: float
    """Seconds that a rank takes to load one expert; 0 when it isn't told."""


class StepModel(NamedTuple):
    """How long an engine's steps take, as its operator publishes it."""

    token_seconds: float
    """Seconds of a token step without any request."""

    request_seconds: float
    """Seconds that each request adds, with a context of usual size."""

    tokens: int
    """Token steps in one step of the group."""

    def step_seconds(self, requests: int) -> float:
        """Return how long a step takes while all experts get equal work."""
        return self.tokens * (self.token_seconds + self.request_seconds * requests)


class DirectService(NamedTuple):
    """A service whose endpoints an entry calls itself."""

    name: str
    health_path: str
    most_connections: int
    """Connections that one endpoint takes from all callers together."""

    cold_rate: float
    """Requests a second that a cold endpoint bears; 0 when it has no limit."""

    is_engine: bool
    """Whether it is a model engine."""

    cold_seconds: float = 0.0
    """Seconds for which an endpoint is cold after its start."""

    experts: ExpertModel | None = None
    """Layout of its experts; None when it has none."""

    steps: StepModel | None = None
    """How long its engines' steps take; None when it isn't told."""


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    """Seconds within which a request's head has to be complete."""

    idle_seconds: float
    """Seconds for which an idle connection is kept open."""


class KeyHolder(NamedTuple):
    """The workspace that an API key names."""

    workspace: str
    priority: int | None
    """Rank that goes before the route's; None when the route's holds."""


class RoutingTable(NamedTuple):
    """One version of the configuration that has passed its check."""

    version: int
    hosts: Mapping[str, tuple[Route, ...]]
    """Routes by host in lower case, the longest prefix first."""

    services: Mapping[str, DirectService]
    limits: CallerLimits
    keys: Mapping[str, KeyHolder] | None
    """Workspaces by API key; None when callers need no keys at all."""


def match_route(table: RoutingTable, host: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix, if there is one.

    Args:
        table: The table in force.
        host: The ``Host`` header; a port is ignored.
        path: The raw path without its query.
    """
    name = host.rpartition(":")[0] if ":" in host else host
    for route in table.hosts.get(name.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_service(route: Route, request_id: str) -> str:
    """Return a destination by weight, the same one for the same request.

    The hash of the request's id stands for a random draw: no state is needed,
    and a log line can be checked afterwards.
    """
    total = sum(destination.weight for destination in route.destinations)
    point = stable_hash(request_id) / 2**64 * total
    for destination in route.destinations:
        point -= destination.weight
        if point < 0:
            return destination.service
    return route.destinations[-1].service


def bearable_pause(table: RoutingTable, service: str) -> float:
    """Return the shortest pause that a route to a service bears.

    Returns:
        Seconds; 0 if no such route names a pause.
    """
    pauses = [
        route.longest_pause
        for routes in table.hosts.values()
        for route in routes
        if any(one.service == service for one in route.destinations)
    ]
    return min((pause for pause in pauses if pause > 0), default=0.0)
