"""HTTP server for callers that loses no request when it closes connections."""

from mintsaddle.callers._blocks import BlockPool
from mintsaddle.callers._bodies import RequestBody
from mintsaddle.callers._cuts import CloseReason, CutConnection, render_cut
from mintsaddle.callers._ledger import RequestLedger
from mintsaddle.callers._refusals import STATUS_LINES, HttpRefusal, RequestFault
from mintsaddle.callers._server import CallerServer, ServerLoad

__all__ = [
    "STATUS_LINES",
    "BlockPool",
    "CallerServer",
    "CloseReason",
    "CutConnection",
    "HttpRefusal",
    "RequestBody",
    "RequestFault",
    "RequestLedger",
    "ServerLoad",
    "render_cut",
]
