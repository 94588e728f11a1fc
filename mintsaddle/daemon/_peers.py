"""The gRPC service that every daemon offers to the others and to the tool."""

import resource
import time
from collections.abc import Awaitable, Callable

from grpclib.server import Stream

from mintsaddle.daemon._node import DaemonNode
from mintsaddle.decisions.configuration import is_out
from mintsaddle.transport import compress_configuration, read_stamp, write_stamp
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import PeerBase

LONGEST_WAIT = 30.0
"""Seconds for which news are waited for, whatever the asker's clock says."""

_KILOBYTE = 1024


class PeerService(PeerBase):
    """Relays the configuration and shows what the daemon does.

    Endpoints answer more: their part is set by the functions given.
    """

    def __init__(
        self,
        node: DaemonNode,
        describe: Callable[[pb.Status], None],
        answer_home: Callable[[pb.HomeQuestion], pb.HomeAnswer] | None = None,
        keep_bequest: Callable[[pb.Bequest], None] | None = None,
        obey_group: Callable[[pb.GroupOrder], Awaitable[pb.GroupReply]] | None = None,
    ) -> None:
        self._node = node
        self._describe = describe
        self._answer_home = answer_home
        self._keep_bequest = keep_bequest
        self._obey_group = obey_group

    async def Fetch(  # noqa: N802 - the generated base names it
        self, stream: Stream[pb.FetchRequest, pb.FetchReply]
    ) -> None:
        """Answer with a newer configuration, at once or when one comes."""
        request = await stream.recv_message()
        if request is None:
            return
        asker = read_stamp(request.stamp)
        wait = min(LONGEST_WAIT, request.wait_until - self._node.now())
        if wait > 0.0:
            await self._node.wait_for_change(asker, wait)
        reply = compress_configuration(
            self._node.configuration, asker, self._node.stamp()
        )
        self._node.count_control(request, reply)
        await stream.send_message(reply)

    async def AskHome(  # noqa: N802
        self, stream: Stream[pb.HomeQuestion, pb.HomeAnswer]
    ) -> None:
        """Say where this home stands."""
        request = await stream.recv_message()
        if request is None or self._answer_home is None:
            return
        reply = self._answer_home(request)
        self._node.count_control(request, reply)
        await stream.send_message(reply)

    async def Keep(  # noqa: N802
        self, stream: Stream[pb.Bequest, pb.Kept]
    ) -> None:
        """Keep the ledger of a home that leaves."""
        request = await stream.recv_message()
        if request is None or self._keep_bequest is None:
            return
        self._keep_bequest(request)
        reply = pb.Kept(stamp=write_stamp(self._node.stamp()))
        self._node.count_control(request, reply)
        await stream.send_message(reply)

    async def OrderGroup(  # noqa: N802
        self, stream: Stream[pb.GroupOrder, pb.GroupReply]
    ) -> None:
        """Obey a coordinator of a rank group."""
        request = await stream.recv_message()
        if request is None or self._obey_group is None:
            return
        reply = await self._obey_group(request)
        self._node.count_control(request, reply)
        await stream.send_message(reply)

    async def ShowStatus(  # noqa: N802
        self, stream: Stream[pb.StatusRequest, pb.Status]
    ) -> None:
        """Show what this daemon does and why."""
        await stream.recv_message()
        status = describe_node(self._node)
        self._describe(status)
        await stream.send_message(status)

    async def ShowHistograms(  # noqa: N802
        self, stream: Stream[pb.StatusRequest, pb.HistogramReply]
    ) -> None:
        """Show each histogram in figures and in its mergeable form."""
        await stream.recv_message()
        reply = pb.HistogramReply(stamp=write_stamp(self._node.stamp()))
        for summary in self._node.book.summarise():
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


def describe_node(node: DaemonNode) -> pb.Status:
    """Return the part of a status that both roles share."""
    settings = node.settings
    status = pb.Status(
        stamp=write_stamp(node.stamp()),
        role=settings.role.value,
        data_centre=settings.data_centre,
        serving=node.is_serving() and not node.leaving,
        not_serving=_why_not(node),
        cpu_seconds=time.process_time(),
        memory_bytes=_memory_bytes(),
        control_bytes=node.control_bytes,
    )
    for refused in (node.configuration.refused_text, node.configuration.refused_marks):
        if refused is not None:
            status.refused.extend(str(finding) for finding in refused.findings)
    return status


def _why_not(node: DaemonNode) -> str:
    if node.leaving:
        return "leaving"
    if not node.is_serving():
        return "starting: waits for a fleet text and for its peers' word on it"
    if is_out(node.configuration, node.settings.vm):
        return "marked out"
    return ""


def _memory_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KILOBYTE
