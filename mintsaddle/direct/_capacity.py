"""How many callers and connections a VM has resources for."""

from mintsaddle.settings import DirectSettings

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
