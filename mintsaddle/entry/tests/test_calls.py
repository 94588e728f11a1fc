"""Tests of orders sent to a home whose earlier run has ended."""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest
from grpclib.server import Server, Stream

from mintsaddle.daemon import DaemonNode
from mintsaddle.decisions.calls import CallRequest, FinishCall
from mintsaddle.decisions.configuration import adopt_text
from mintsaddle.decisions.routing import RoutingState
from mintsaddle.entry._calls import Delivery, EntryCall, ForwardedRequest, Outbox
from mintsaddle.fleet import read_fleet
from mintsaddle.process import Supervisor
from mintsaddle.settings import Role, Settings
from mintsaddle.transport import LoopThread
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import EndpointCallsBase
from mintsaddle.values import Outcome, parse_key

FLEET_TEXT = """
[fleet]
name = calls
[data centre a]
region = r
[entry e]
data centre = a
address = 127.0.0.1:1
[endpoint home]
data centre = a
address = {address}
[service orders]
endpoints = home
repeat = no
[workspace counter]
services = orders
"""
KEY = parse_key("01938a3c-8000-7000-8000-000000000001").unwrap()
EMPTY_SETTINGS_FRAME = b"\0\0\0\x04\0\0\0\0\0"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ANSWER = b"answer"
WAIT_SECONDS = 10.0


def end_as_planned(connection: socket.socket) -> None:
    connection.recv(65_536)


def end_after_a_message(connection: socket.socket) -> None:
    connection.recv(65_536)
    connection.sendall(EMPTY_SETTINGS_FRAME)


def end_with_unread_data(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


class RestartedHome(EndpointCallsBase):
    """The next run of a home, which answers from its ledger."""

    async def Call(  # noqa: N802 - named by the generated base
        self, stream: Stream[pb.CallRequest, pb.CallReply]
    ) -> None:
        await stream.recv_message()
        await stream.send_message(pb.CallReply(head=pb.Head(status=200)))
        chunks = pb.Chunks(first=1, data=[ANSWER])
        await stream.send_message(pb.CallReply(chunks=chunks))
        await stream.send_message(pb.CallReply(end=pb.End(count=1)))


class Connected(NamedTuple):
    """An entry that is connected to a home, which has not accepted yet."""

    node: DaemonNode
    listener: socket.socket
    address: str


@pytest.fixture
def connected() -> Iterator[Connected]:
    """Provide an entry whose connection to its home is established."""
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    settings = Settings(
        vm="e",
        data_centre="a",
        role=Role.ENTRY,
        address="127.0.0.1:1",
        platform="",
        peers=(),
        http="",
        threads=1,
        engine="",
        grace=0.0,
        log_level="INFO",
    )
    loop_thread = LoopThread("test", Supervisor())
    node = DaemonNode(settings, loop_thread)
    text = FLEET_TEXT.format(address=address)
    adopt_text(node.configuration, 7, text, read_fleet)

    async def connect() -> None:
        await node.channels.open(address).__connect__()

    loop_thread.loop.run_until_complete(connect())
    yield Connected(node, listener, address)
    node.channels.close()
    listener.close()
    loop_thread.loop.close()


def place_order(node: DaemonNode) -> EntryCall:
    """Start an order with a key of the caller's."""
    fleet = node.configuration.fleet
    assert fleet is not None
    request = CallRequest(
        request_id="request",
        service=fleet.services["orders"],
        workspace="counter",
        priority=0,
        deadline=node.now() + WAIT_SECONDS,
        key=KEY,
    )
    forwarded = ForwardedRequest("POST", "/new", "", b"")
    outbox = Outbox(node.loop_thread.loop)
    call = EntryCall(node, RoutingState("e", "a"), request, forwarded, outbox)
    call.start()
    return call


async def take_deliveries(call: EntryCall) -> list[Delivery]:
    """Return the deliveries of a call up to its end."""
    taken: list[Delivery] = []
    async with asyncio.timeout(WAIT_SECONDS):
        while not taken or not isinstance(taken[-1], FinishCall):
            while call.deliveries.empty():
                await asyncio.sleep(0.001)
            taken.append(call.deliveries.get())
    return taken


def outcome_of(deliveries: list[Delivery]) -> Outcome:
    finish = deliveries[-1]
    assert isinstance(finish, FinishCall)
    return finish.outcome


ENDS = [end_as_planned, end_after_a_message, end_with_unread_data]


@pytest.mark.parametrize("end", ENDS)
class TestOrderAfterItsHomeEnded:
    """The end of the connection has arrived, but the loop hasn't read it."""

    def test_is_not_in_doubt_while_the_home_is_down(
        self, connected: Connected, end: Callable[[socket.socket], None]
    ) -> None:
        """Guards against an order sent on the connection to an ended run."""
        node, listener, _ = connected

        async def run() -> Outcome:
            with listener.accept()[0] as connection:
                end(connection)
            listener.close()
            return outcome_of(await take_deliveries(place_order(node)))

        outcome = node.loop_thread.loop.run_until_complete(run())
        assert outcome is Outcome.ASK_AGAIN

    def test_reaches_the_next_run(
        self, connected: Connected, end: Callable[[socket.socket], None]
    ) -> None:
        """Guards against an order in doubt that the next run can answer."""
        node, listener, _ = connected

        async def run() -> Outcome:
            with listener.accept()[0] as connection:
                end(connection)
            call = place_order(node)
            server = Server([RestartedHome()])
            await server.start(sock=listener)
            try:
                return outcome_of(await take_deliveries(call))
            finally:
                server.close()

        assert node.loop_thread.loop.run_until_complete(run()) is Outcome.DONE
