"""The parts that both roles of the daemon ``mintsaddled`` share."""

from mintsaddle.daemon._follow import WATCH_SECONDS, refresh_configuration
from mintsaddle.daemon._node import DaemonNode, make_clock
from mintsaddle.daemon._peers import PeerService
from mintsaddle.daemon._serve import start_server, wait_for_stop

__all__ = [
    "WATCH_SECONDS",
    "DaemonNode",
    "PeerService",
    "make_clock",
    "refresh_configuration",
    "start_server",
    "wait_for_stop",
]
