"""HTTP server for callers that loses no request when it closes connections."""

from mintsaddle.callers._connections import CloseReason, CutConnection, render_cut
from mintsaddle.callers._server import CallerServer, ServerLoad

__all__ = ["CallerServer", "CloseReason", "CutConnection", "ServerLoad", "render_cut"]
