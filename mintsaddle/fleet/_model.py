"""The typed values that a fleet text holds."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.values import Instant


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    ENGINE = "engine"
    """A model engine: it batches, warms up and caches prefixes."""

    PLAIN = "plain"
    """An ordinary HTTP service."""


class DataCentre(NamedTuple):
    """A place that can be marked out as a whole."""

    name: str
    region: str


class EntryVm(NamedTuple):
    """A VM that callers reach through the platform's balancer."""

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
    """One service that callers name in the path."""

    name: str
    kind: ServiceKind
    work_class: str
    """Groups histograms, such as ``letter`` or ``order``."""

    repeatable: bool
    """Whether a call may run twice; if not, calls are orders with a key."""

    endpoints: tuple[str, ...]
    depends_on: tuple[str, ...]
    cold_limit: int
    """Requests that an engine may hold right after its start."""

    limit: int
    """Requests that a warm engine may hold."""

    growth: float
    """Places gained with each answer within target since its start."""

    target: float
    """Seconds within which a first token counts as good."""

    longest: float
    """Seconds given to a call whose caller names no deadline."""

    longest_queue: float
    """Seconds that a request may wait at an endpoint for a place."""

    resumable: bool
    """Whether the engine can go on after a given chunk."""

    checks_fencing: bool
    """Whether the engine refuses an order with an old fencing number."""

    former: tuple[str, ...]
    """Endpoints that were homes in earlier texts and may still run."""

    gone: tuple[str, ...]
    """Former homes that are destroyed for good and need not be asked."""

    bootstrap: Instant
    """Homes started before it know nothing; 0 when never declared."""


class Workspace(NamedTuple):
    """A caller's account: what it may call and its share under load."""

    name: str
    share: float
    services: tuple[str, ...]


class Group(NamedTuple):
    """A rank group that runs in lock-step on one expert map."""

    name: str
    ranks: tuple[str, ...]
    """Endpoints in the order of their ranks."""

    experts: int
    """Experts in a layer."""

    layers: int
    slots: int
    """Expert slots of each rank in each layer."""

    interval: float
    """Seconds between two plans."""

    step: float
    """Seconds of one step."""

    pause: float
    """Seconds for which a switch holds the group."""

    weight: float
    """Seconds by which the loading of one expert's weights slows the group."""


class Fleet(NamedTuple):
    """A whole fleet text that has passed its check."""

    name: str
    clock_bound: float
    """The largest difference between two clocks of the fleet, in seconds."""

    ledger_window: float
    """Seconds for which a home remembers an order."""

    data_centres: Mapping[str, DataCentre]
    entries: Mapping[str, EntryVm]
    endpoints: Mapping[str, Endpoint]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    groups: Mapping[str, Group]

    def address_of(self, vm: str) -> str | None:
        """Return where a VM's daemon is reached, if the text lists it."""
        place = self.entries.get(vm) or self.endpoints.get(vm)
        return place.address if place else None

    def data_centre_of(self, vm: str) -> str | None:
        """Return the data centre of a VM, if the text lists it."""
        place = self.entries.get(vm) or self.endpoints.get(vm)
        return place.data_centre if place else None

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
