"""Start of the gRPC server, and the wait for a stop signal."""

import signal
from collections.abc import Sequence
from functools import partial
from typing import Any

from mintsaddle.daemon._follow import follow_configuration
from mintsaddle.daemon._node import DaemonNode
from mintsaddle.observe import make_logger
from mintsaddle.process import SignalReceiver, Supervisor
from mintsaddle.transport import BoundedServer, PeerLimits

MAX_PEER_CONNECTIONS = 400
"""Connections of other daemons; each has one."""

PEER_MEMORY_SHARE = 0.15
"""Share of the VM's memory for requests that are arriving or being served. A
request is held in up to five forms at a time."""

PEER_REFUSALS = 256
"""Refused requests after which a connection is closed, which also ends calls
of other callers that came by the same entry."""

_SIGNAL_POLL_SECONDS = 0.5
_log = make_logger("daemon")


async def start_server(node: DaemonNode, services: Sequence[Any]) -> BoundedServer:
    """Start the gRPC server and follow the configuration."""
    limits = PeerLimits(
        MAX_PEER_CONNECTIONS,
        int(node.settings.memory * PEER_MEMORY_SHARE),
        PEER_REFUSALS,
    )
    server = BoundedServer(list(services), limits)
    host, _, port = node.settings.address.rpartition(":")
    await server.start(host.strip("[]"), int(port))
    node.spawn("configuration", partial(follow_configuration, node))
    _log.info("%s listens at %s.", node.settings.vm, node.settings.address)
    return server


def wait_for_stop(supervisor: Supervisor) -> None:
    """Block until SIGTERM or SIGINT; must run in the main thread.

    Raises:
        BeyondHelpError: The process can't go on without one of its threads.
    """
    receiver = SignalReceiver(signal.SIGTERM, signal.SIGINT)
    while not receiver.wait(_SIGNAL_POLL_SECONDS):
        supervisor.check()
    _log.info("Received a stop signal.")
