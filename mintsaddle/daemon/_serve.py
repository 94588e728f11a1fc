"""Starting the loop and the gRPC server, and waiting for the word to stop."""

import signal
import threading
from collections.abc import Sequence
from typing import Any

from grpclib.server import Server

from mintsaddle.daemon._follow import follow_configuration
from mintsaddle.daemon._node import DaemonNode
from mintsaddle.observe import make_logger

_SIGNAL_POLL = 0.5
_log = make_logger("daemon")


async def start_server(node: DaemonNode, services: Sequence[Any]) -> Server:
    """Start serving other daemons and following the configuration."""
    server = Server(list(services))
    host, _, port = node.settings.address.rpartition(":")
    await server.start(host.strip("[]"), int(port))
    node.spawn(follow_configuration(node))
    _log.info("%s listens at %s.", node.settings.vm, node.settings.address)
    return server


def wait_for_stop() -> None:
    """Return once SIGTERM or SIGINT has come; for the main thread."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    # A wait without a limit would keep Python from running the handler.
    while not stop.wait(_SIGNAL_POLL):
        pass
    _log.info("Told to stop.")
