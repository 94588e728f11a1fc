"""The gRPC service that each daemon offers to other daemons and the CLI."""

import resource
import time
from collections.abc import Awaitable, Callable

from grpclib.server import Stream

from mintsaddle.daemon._node import DaemonNode
from mintsaddle.decisions.configuration import is_out
from mintsaddle.transport import compress_configuration, read_stamp, write_stamp
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import PeerBase

MAX_FETCH_WAIT = 30.0
"""Longest wait of a fetch in seconds, whatever the requester's clock says."""

_BYTES_PER_KIB = 1024


class PeerService(PeerBase):
    """Relays the configuration and reports the daemon's status.

    Endpoint daemons pass handlers for the methods that only they support.
    """

    def __init__(
        self,
        node: DaemonNode,
        fill_status: Callable[[pb.Status], None],
        answer_home: Callable[[pb.HomeQuestion], pb.HomeAnswer] | None = None,
        store_snapshot: Callable[[pb.Bequest], None] | None = None,
        handle_group_order: Callable[[pb.GroupOrder], Awaitable[pb.GroupReply]]
        | None = None,
    ) -> None:
        self._node = node
        self._fill_status = fill_status
        self._answer_home = answer_home
        self._store_snapshot = store_snapshot
        self._handle_group_order = handle_group_order

    async def Fetch(  # noqa: N802 - named by the generated base
        self, stream: Stream[pb.FetchRequest, pb.FetchReply]
    ) -> None:
        """Return a newer configuration, at once or when one is adopted."""
        request = await stream.recv_message()
        if request is None:
            return
        requester = read_stamp(request.stamp)
        wait = min(MAX_FETCH_WAIT, request.wait_until - self._node.now())
        if wait > 0.0:
            await self._node.wait_for_change(requester, wait)
        reply = compress_configuration(
            self._node.configuration, requester, self._node.stamp()
        )
        self._node.count_control_bytes(request, reply)
        await stream.send_message(reply)

    async def AskHome(  # noqa: N802
        self, stream: Stream[pb.HomeQuestion, pb.HomeAnswer]
    ) -> None:
        """Report the state of a home."""
        request = await stream.recv_message()
        if request is None or self._answer_home is None:
            return
        reply = self._answer_home(request)
        self._node.count_control_bytes(request, reply)
        await stream.send_message(reply)

    async def Keep(  # noqa: N802
        self, stream: Stream[pb.Bequest, pb.Kept]
    ) -> None:
        """Store a ledger snapshot of a leaving home."""
        request = await stream.recv_message()
        if request is None or self._store_snapshot is None:
            return
        self._store_snapshot(request)
        reply = pb.Kept(stamp=write_stamp(self._node.stamp()))
        self._node.count_control_bytes(request, reply)
        await stream.send_message(reply)

    async def OrderGroup(  # noqa: N802
        self, stream: Stream[pb.GroupOrder, pb.GroupReply]
    ) -> None:
        """Execute an order from the coordinator of a rank group."""
        request = await stream.recv_message()
        if request is None or self._handle_group_order is None:
            return
        reply = await self._handle_group_order(request)
        self._node.count_control_bytes(request, reply)
        await stream.send_message(reply)

    async def ShowStatus(  # noqa: N802
        self, stream: Stream[pb.StatusRequest, pb.Status]
    ) -> None:
        """Report the status of this daemon."""
        await stream.recv_message()
        status = make_status(self._node)
        self._fill_status(status)
        await stream.send_message(status)

    async def ShowHistograms(  # noqa: N802
        self, stream: Stream[pb.StatusRequest, pb.HistogramReply]
    ) -> None:
        """Return each histogram's statistics and its mergeable encoding."""
        await stream.recv_message()
        reply = pb.HistogramReply(stamp=write_stamp(self._node.stamp()))
        for summary in self._node.histograms.summarise():
            reply.histograms.add(
                workspace=summary.key.workspace,
                work_class=summary.key.work_class,
                measure=summary.key.measure.value,
                count=summary.total_count,
                p50=summary.p50,
                p95=summary.p95,
                p99=summary.p99,
                largest=summary.max_value,
                encoded=summary.encoded,
            )
        await stream.send_message(reply)


def make_status(node: DaemonNode) -> pb.Status:
    """Return a status with the fields that both roles share."""
    settings = node.settings
    status = pb.Status(
        stamp=write_stamp(node.stamp()),
        role=settings.role.value,
        data_centre=settings.data_centre,
        serving=node.is_serving() and not node.leaving,
        not_serving=_not_serving_reason(node),
        cpu_seconds=time.process_time(),
        memory_bytes=_memory_bytes(),
        control_bytes=node.control_bytes,
    )
    for refused in (node.configuration.refused_text, node.configuration.refused_marks):
        if refused is not None:
            status.refused.extend(str(finding) for finding in refused.findings)
    return status


def _not_serving_reason(node: DaemonNode) -> str:
    if node.leaving:
        return "leaving"
    if not node.is_serving():
        return "starting: waits for a fleet text and for its peers' word on it"
    if is_out(node.configuration, node.settings.vm):
        return "marked out"
    return ""


def _memory_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _BYTES_PER_KIB
