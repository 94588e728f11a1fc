"""Commands that query running daemons."""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from returns.result import Failure, Result, Success

from mintsaddle.cli._output import Output, Table
from mintsaddle.observe import HistogramKey, HistogramSummary, Measure, merge_encoded
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import PeerStub
from mintsaddle.values import read_digits

_TIMEOUT_SECONDS = 5.0
_BYTES_PER_MB = 1_000_000
_Reply = TypeVar("_Reply")


def show_status(address: str) -> Result[Output, str]:
    """Show the state of a daemon and the reasons for it."""
    result = _query(address, lambda stub: stub.ShowStatus(pb.StatusRequest()))
    return result.map(_tabulate_status)


def show_histograms(addresses: tuple[str, ...]) -> Result[Output, str]:
    """Show the histograms of several daemons, merged by key."""
    encoded: dict[HistogramKey, list[bytes]] = defaultdict(list)
    for address in addresses:
        match _query(address, lambda stub: stub.ShowHistograms(pb.StatusRequest())):
            case Failure(problem):
                return Failure(problem)
            case Success(reply):
                for part in reply.histograms:
                    measure = Measure(part.measure)
                    key = HistogramKey(part.workspace, part.work_class, measure)
                    encoded[key].append(part.encoded)
    merged = [merge_encoded(tuple(parts), key) for key, parts in encoded.items()]
    return Success(Output((_tabulate_histograms(merged),)))


def _query(
    address: str, rpc: Callable[[PeerStub], Awaitable[_Reply]]
) -> Result[_Reply, str]:
    host, _, text = address.rpartition(":")
    port = read_digits(text)
    if port is None:
        return Failure(f"'{address}' is not IP:PORT, as in 10.0.0.1:7000")

    async def run() -> _Reply:
        channel = Channel(host.strip("[]"), port)
        try:
            return await asyncio.wait_for(rpc(PeerStub(channel)), _TIMEOUT_SECONDS)
        finally:
            channel.close()

    try:
        return Success(asyncio.run(run()))
    except (OSError, TimeoutError, GRPCError, StreamTerminatedError) as error:
        return Failure(f"{address}: no response: {error or type(error).__name__}")


def _tabulate_status(status: pb.Status) -> Output:
    stamp = status.stamp
    load = status.load
    rows = (
        ("vm", stamp.vm),
        ("role", status.role),
        ("data centre", status.data_centre),
        ("serving", status.serving and not status.not_serving),
        ("why not", status.not_serving),
        ("text revision", stamp.text_revision),
        ("marks revision", stamp.marks_revision),
        ("boot", f"{stamp.boot:08x}"),
        ("engine boot", f"{status.engine_boot:08x}" if status.engine_known else "down"),
        ("in flight", load.in_flight),
        ("limit", load.limit),
        ("queued", load.queued),
        ("admitted", status.admitted),
        ("last admission", status.last_admission),
        ("orders remembered", status.ledger_entries),
        ("cpu seconds", status.cpu_seconds),
        ("memory MB", status.memory_bytes / _BYTES_PER_MB),
        ("control bytes", status.control_bytes),
    )
    homes = tuple(
        (home.service, home.anchored, home.settled, " ".join(home.homes), home.advice)
        for home in status.homes
    )
    groups = tuple(
        (part.group, part.rank, part.active_version, part.ballot, part.held, part.skew)
        for part in status.groups
    )
    refused = tuple((text,) for text in status.refused)
    tables = (
        Table("daemon", ("what", "value"), rows),
        Table("homes", ("service", "anchored", "settled", "homes", "advice"), homes),
        Table("groups", ("group", "rank", "map", "ballot", "held", "skew"), groups),
        Table("refused", ("finding",), refused),
    )
    found_problem = not status.serving or bool(status.not_serving) or bool(refused)
    return Output(tables, found_problem)


def _tabulate_histograms(summaries: list[HistogramSummary]) -> Table:
    rows = tuple(
        (
            item.key.workspace,
            item.key.work_class,
            item.key.measure.value,
            item.total_count,
            item.p50,
            item.p95,
            item.p99,
            item.max_value,
        )
        for item in sorted(summaries, key=lambda item: item.key[:2])
    )
    heading = ("workspace", "class", "measure", "count", "p50", "p95", "p99", "max")
    return Table("milliseconds", heading, rows)
