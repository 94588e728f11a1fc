"""Typed values of a fleet text.

Operators see the field names when they compare two fleet texts.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.values import Instant


class ServiceKind(enum.Enum):
    """Kind of back end of a service."""

    ENGINE = "engine"
    """A model engine: it batches, warms up and caches prefixes."""

    PLAIN = "plain"
    """An ordinary HTTP service."""


class DataCentre(NamedTuple):
    """A data centre, which can be marked out as a whole."""

    name: str
    region: str


class EntryVm(NamedTuple):
    """A VM that callers reach through the platform's load balancer."""

    name: str
    data_centre: str
    address: str
    """IP number and port at which other daemons reach it."""


class Endpoint(NamedTuple):
    """A back end together with the endpoint daemon on its VM."""

    name: str
    data_centre: str
    address: str
    """IP number and port at which other daemons reach it."""


class Service(NamedTuple):
    """A service, which callers name in the request path."""

    name: str
    kind: ServiceKind
    work_class: str
    """Label that groups histograms, such as ``letter`` or ``order``."""

    repeatable: bool
    """Whether calls may run twice; otherwise they are orders with a key."""

    endpoints: tuple[str, ...]
    depends_on: tuple[str, ...]
    cold_limit: int
    """Concurrent requests that an engine accepts right after its start."""

    limit: int
    """Concurrent requests that a warm engine accepts."""

    growth: float
    """Increase of the limit for each answer within target since the start."""

    target: float
    """Target time to first token, in seconds."""

    longest: float
    """Default deadline of a call, in seconds."""

    longest_queue: float
    """Maximum queueing time of a request at an endpoint, in seconds."""

    resumable: bool
    """Whether the engine can resume a stream after a given chunk."""

    checks_fencing: bool
    """Whether the engine refuses an order with an outdated fencing token."""

    former: tuple[str, ...]
    """Endpoints that were homes in earlier texts and may still run orders."""

    gone: tuple[str, ...]
    """Former homes that are destroyed for good and need not be asked."""

    bootstrap: Instant
    """Homes started before it may agree with none anchored; 0 if unset."""


class Workspace(NamedTuple):
    """A tenant: the services that it may call and its share under load."""

    name: str
    share: float
    services: tuple[str, ...]


class Group(NamedTuple):
    """A rank group that runs in lockstep on one expert map."""

    name: str
    ranks: tuple[str, ...]
    """Endpoints in the order of their ranks."""

    experts: int
    """Experts per layer."""

    layers: int
    slots: int
    """Expert slots per rank and layer."""

    interval: float
    """Time between two planning runs, in seconds."""

    step: float
    """Duration of one step, in seconds."""

    pause: float
    """Time for which a map switch pauses the group, in seconds."""

    weight: float
    """Delay of the group while one expert's weights are loaded, in seconds."""


class Fleet(NamedTuple):
    """A complete and checked fleet text."""

    name: str
    clock_bound: float
    """Maximum difference between two clocks of the fleet, in seconds."""

    ledger_window: float
    """Time for which a home keeps an order in its ledger, in seconds."""

    data_centres: Mapping[str, DataCentre]
    entries: Mapping[str, EntryVm]
    endpoints: Mapping[str, Endpoint]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    groups: Mapping[str, Group]

    def address_of(self, vm: str) -> str | None:
        """Return the address of a VM's daemon, or None if it isn't listed."""
        vm_section = self.entries.get(vm) or self.endpoints.get(vm)
        return vm_section.address if vm_section else None

    def data_centre_of(self, vm: str) -> str | None:
        """Return the data centre of a VM, or None if it isn't listed."""
        vm_section = self.entries.get(vm) or self.endpoints.get(vm)
        return vm_section.data_centre if vm_section else None

    def services_of(self, endpoint: str) -> tuple[Service, ...]:
        """Return the services that an endpoint serves."""
        return tuple(
            service
            for service in self.services.values()
            if endpoint in service.endpoints
        )

    def vm_names(self) -> tuple[str, ...]:
        """Return the names of all VMs."""
        return (*self.entries, *self.endpoints)
