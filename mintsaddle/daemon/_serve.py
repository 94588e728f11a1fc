"""Start of the gRPC server, and the wait for a stop signal."""

import signal
from collections.abc import Sequence
from typing import Any

from grpclib.server import Server

from mintsaddle.daemon._follow import follow_configuration
from mintsaddle.daemon._node import DaemonNode
from mintsaddle.observe import make_logger
from mintsaddle.process import SignalReceiver

_SIGNAL_POLL_SECONDS = 0.5
_log = make_logger("daemon")


async def start_server(node: DaemonNode, services: Sequence[Any]) -> Server:
    """Start the gRPC server and follow the configuration."""
    server = Server(list(services))
    host, _, port = node.settings.address.rpartition(":")
    await server.start(host.strip("[]"), int(port))
    node.spawn(follow_configuration(node))
    _log.info("%s listens at %s.", node.settings.vm, node.settings.address)
    return server


def wait_for_stop() -> None:
    """Block until SIGTERM or SIGINT; must run in the main thread."""
    receiver = SignalReceiver(signal.SIGTERM, signal.SIGINT)
    while not receiver.wait(_SIGNAL_POLL_SECONDS):
        pass
    _log.info("Received a stop signal.")
