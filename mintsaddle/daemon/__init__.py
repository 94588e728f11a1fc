"""The daemon ``mintsaddled``: what both roles share, and its command line."""

from mintsaddle.daemon._follow import WATCH_SECONDS, refresh
from mintsaddle.daemon._main import load_settings, main
from mintsaddle.daemon._node import DaemonNode, make_clock
from mintsaddle.daemon._peers import PeerService
from mintsaddle.daemon._serve import start_server, wait_for_stop

__all__ = [
    "WATCH_SECONDS",
    "DaemonNode",
    "PeerService",
    "load_settings",
    "main",
    "make_clock",
    "refresh",
    "start_server",
    "wait_for_stop",
]
