"""Settings of an entry that calls endpoints itself."""

from typing import NamedTuple

from mintsaddle.settings._requests import DEFAULT_REQUEST_LIMITS, RequestLimits


class DirectSettings(NamedTuple):
    """Settings of an entry with direct delivery, read at its start."""

    vm: str
    """Name of the VM, unique among all VMs."""

    data_centre: str
    host: str
    """The VM's own IP."""

    callers: str
    """IP and port at which callers connect."""

    ready: str
    """IP and port for the balancer's readiness checks."""

    control: str
    """IP and port at which peers reach this entry."""

    metrics: str
    """IP and port of the metrics page; empty to disable it."""

    peers: tuple[str, ...]
    """Control addresses of a few peers; they may be stale or down."""

    agent_port: int
    """Port of the rank agents on their VMs; 0 if there are none."""

    store: str
    """IP and port of the platform's store."""

    stop_seconds: float
    """Time from SIGTERM to SIGKILL, in seconds."""

    propagation_time: float
    """Maximum seconds from publishing a change until entries apply it."""

    lease: float
    """Seconds without contact until the platform drops an endpoint."""

    retry_share: float
    """Retries allowed per request, over all entries."""

    retry_slack: float
    """Additional retries allowed per window, over all entries."""

    retry_window: float
    """Length of the retry window, in seconds."""

    cold_factor: float
    """Multiple of its cold rate that a cold endpoint accepts in any second."""

    cold_slack: float
    """Additional requests that a cold endpoint accepts in any second."""

    stall: float
    """Time for which work that depends on a dead rank stalls, in seconds."""

    first_start: bool
    """Whether the whole system starts for the first time."""

    memory_megabytes: float
    """Memory limit of this process, in megabytes."""

    descriptors: float
    """Maximum number of file descriptors of this process."""

    log_level: str = "INFO"
    requests: RequestLimits = DEFAULT_REQUEST_LIMITS
    """Limits for the requests of all callers together."""
