"""Exchanges order state with the other homes of a service."""

import asyncio

from mintsaddle.daemon import DaemonNode
from mintsaddle.decisions.orders import (
    HomeQuestion,
    LedgerSnapshot,
    OrdersState,
    answer_question,
    ask_homes,
    close_ledger,
    record_answer,
    settle_if_only_home,
)
from mintsaddle.observe import make_logger
from mintsaddle.transport import (
    read_home_answer,
    read_home_question,
    read_stamp,
    write_bequest,
    write_home_answer,
    write_home_question,
)
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import PeerStub

# In seconds.
_POLL_INTERVAL = 0.3
_RPC_TIMEOUT = 1.0
_log = make_logger("orders")


async def run_settle_loop(node: DaemonNode, orders: OrdersState) -> None:
    """Query the other homes while any home list here isn't settled."""
    while True:
        for service in tuple(orders.homes):
            _settle_if_only_home(node, orders, service)
            questions = ask_homes(orders, service, node.now(), node.rng)
            exchanges = (
                _ask_home(node, orders, vm, question) for vm, question in questions
            )
            await asyncio.gather(*exchanges)
        await asyncio.sleep(_POLL_INTERVAL)


def answer_home(
    node: DaemonNode, orders: OrdersState, message: pb.HomeQuestion
) -> pb.HomeAnswer:
    """Answer another home; fetch its configuration if that is newer."""
    asker = read_stamp(message.stamp)
    fleet = node.configuration.fleet
    address = fleet.address_of(asker.vm) if fleet else None
    node.pull_if_behind(asker, address or "")
    question = read_home_question(message)
    answer = answer_question(orders, question, node.configuration.text_revision)
    return write_home_answer(answer, node.stamp())


async def hand_over_ledger(node: DaemonNode, orders: OrdersState) -> None:
    """Send ledger snapshots to the other homes, stored for the next run."""
    transfers = [
        _send_snapshot(node, vm, snapshot)
        for snapshot in close_ledger(orders)
        for vm in orders.homes[snapshot.service].wanted.to_ask - {orders.vm}
    ]
    await asyncio.gather(*transfers)


async def _send_snapshot(node: DaemonNode, vm: str, snapshot: LedgerSnapshot) -> None:
    fleet = node.configuration.fleet
    address = fleet.address_of(vm) if fleet else None
    if address is None:
        return
    message = write_bequest(snapshot, node.stamp())
    try:
        await PeerStub(node.channels.open(address)).Keep(message, timeout=_RPC_TIMEOUT)
    except Exception as error:
        # The next run then treats its old keys as in doubt, which is safe.
        name = type(error).__name__
        _log.warning("Could not send the ledger to home %s: %s.", vm, name)


def _settle_if_only_home(node: DaemonNode, orders: OrdersState, service: str) -> None:
    fleet = node.configuration.fleet
    if fleet is not None:
        settle_if_only_home(orders, service, fleet.clock_bound, node.now())


async def _ask_home(
    node: DaemonNode, orders: OrdersState, vm: str, question: HomeQuestion
) -> None:
    fleet = node.configuration.fleet
    address = fleet.address_of(vm) if fleet else None
    if fleet is None or address is None:
        return
    request = write_home_question(question, node.stamp())
    stub = PeerStub(node.channels.open(address))
    try:
        reply = await stub.AskHome(request, timeout=_RPC_TIMEOUT)
    except Exception as error:
        _log.debug("Home %s did not answer: %s.", vm, type(error).__name__)
        node.channels.drop(address)
        return
    node.count_control_bytes(request, reply)
    node.pull_if_behind(read_stamp(reply.stamp), address)
    answer = read_home_answer(reply)
    revision = node.configuration.text_revision
    record_answer(orders, answer, revision, fleet.clock_bound, node.now())
