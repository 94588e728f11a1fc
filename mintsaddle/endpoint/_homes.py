"""Asking the other homes until this one is settled."""

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

_PAUSE = 0.3
_TIMEOUT = 1.0
_log = make_logger("orders")


async def keep_settled(node: DaemonNode, orders: OrdersState) -> None:
    """Ask the other homes whenever one of this home's lists isn't settled."""
    while True:
        for service in tuple(orders.homes):
            _settle_alone(node, orders, service)
            questions = ask_homes(orders, service, node.now(), node.rng)
            asked = (_ask(node, orders, vm, question) for vm, question in questions)
            await asyncio.gather(*asked)
        await asyncio.sleep(_PAUSE)


def answer_home(
    node: DaemonNode, orders: OrdersState, message: pb.HomeQuestion
) -> pb.HomeAnswer:
    """Answer another home, and pull its text if it knows a newer one."""
    asker = read_stamp(message.stamp)
    fleet = node.configuration.fleet
    address = fleet.address_of(asker.vm) if fleet else None
    node.pull_if_behind(asker, address or "")
    question = read_home_question(message)
    answer = answer_question(orders, question, node.configuration.text_revision)
    return write_home_answer(answer, node.stamp())


async def leave_ledger(node: DaemonNode, orders: OrdersState) -> None:
    """Give the ledger to the other homes, for the next run of this one."""
    gifts = [
        _give(node, vm, bequest)
        for bequest in close_ledger(orders)
        for vm in orders.homes[bequest.service].wanted.to_ask - {orders.vm}
    ]
    await asyncio.gather(*gifts)


async def _give(node: DaemonNode, vm: str, bequest: LedgerSnapshot) -> None:
    fleet = node.configuration.fleet
    address = fleet.address_of(vm) if fleet else None
    if address is None:
        return
    message = write_bequest(bequest, node.stamp())
    try:
        await PeerStub(node.channels.open(address)).Keep(message, timeout=_TIMEOUT)
    except Exception as error:
        # The next run then finds its old keys in doubt, which is safe.
        name = type(error).__name__
        _log.warning("Home %s keeps no ledger for this one: %s.", vm, name)


def _settle_alone(node: DaemonNode, orders: OrdersState, service: str) -> None:
    fleet = node.configuration.fleet
    if fleet is not None:
        settle_if_only_home(orders, service, fleet.clock_bound, node.now())


async def _ask(
    node: DaemonNode, orders: OrdersState, vm: str, question: HomeQuestion
) -> None:
    fleet = node.configuration.fleet
    address = fleet.address_of(vm) if fleet else None
    if fleet is None or address is None:
        return
    request = write_home_question(question, node.stamp())
    stub = PeerStub(node.channels.open(address))
    try:
        reply = await stub.AskHome(request, timeout=_TIMEOUT)
    except Exception as error:
        _log.debug("No answer from home %s: %s.", vm, type(error).__name__)
        node.channels.drop(address)
        return
    node.count_control_bytes(request, reply)
    node.pull_if_behind(read_stamp(reply.stamp), address)
    answer = read_home_answer(reply)
    revision = node.configuration.text_revision
    record_answer(orders, answer, revision, fleet.clock_bound, node.now())
