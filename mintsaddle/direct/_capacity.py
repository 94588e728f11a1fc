"""How many callers and connections a VM has resources for."""

from mintsaddle.settings import DirectSettings
from mintsaddle.transport import PeerLimits

CALLER_MEGABYTES = 0.2
"""Memory per caller, in MB: thread stack, request body and answer. Twice what
a stream needs."""

CALLER_MEMORY_SHARE = 0.5
"""Share of the VM's memory for callers. The balancer may send the callers of a
whole region to one entry."""

CALLER_DESCRIPTORS = 3
"""File descriptors per caller: its connection, the one to its endpoint, and
one that is being closed."""

RESERVED_DESCRIPTORS = 300
"""File descriptors for files, peers, agents and the platform."""

FILE_DESCRIPTORS = 200
"""Those of them for files, pages, agents and the platform."""

MIN_PEER_CONNECTIONS = 16
MAX_PEER_CONNECTIONS = 400
"""Connections of peers; each entry may have one to the granter of permits."""

PEER_MEMORY_SHARE = 0.05
"""Share of the VM's memory for messages of peers that are arriving."""

MIN_PEER_BYTES = 2_097_152
"""Bytes of such messages, whatever the share; a hello takes a hundredth."""

PEER_REFUSALS = 4
"""Refused messages after which a peer has to connect again."""

_MEGABYTE = 1_048_576

MAX_CONNECTIONS = 1500
"""Connections at which no further one is accepted. The server's loop checks
each of them after each block that it sends."""


def max_callers(settings: DirectSettings) -> int:
    """Return how many concurrent callers the VM has resources for."""
    by_memory = settings.memory_megabytes * CALLER_MEMORY_SHARE / CALLER_MEGABYTES
    descriptors = settings.descriptors - RESERVED_DESCRIPTORS
    return max(1, int(min(by_memory, descriptors / CALLER_DESCRIPTORS)))


def max_connections(settings: DirectSettings) -> int:
    """Return how many connections of callers the VM has resources for."""
    exchanges = (CALLER_DESCRIPTORS - 1) * max_callers(settings)
    left = settings.descriptors - RESERVED_DESCRIPTORS - exchanges
    return max(1, min(MAX_CONNECTIONS, int(left)))


def peer_limits(settings: DirectSettings) -> PeerLimits:
    """Return how much of the VM's resources peers may take together."""
    exchanges = (CALLER_DESCRIPTORS - 1) * max_callers(settings)
    used = max_connections(settings) + exchanges + FILE_DESCRIPTORS
    connections = min(MAX_PEER_CONNECTIONS, int(settings.descriptors) - used)
    memory = settings.memory_megabytes * _MEGABYTE * PEER_MEMORY_SHARE
    return PeerLimits(
        max(MIN_PEER_CONNECTIONS, connections),
        max(MIN_PEER_BYTES, int(memory)),
        PEER_REFUSALS,
    )
