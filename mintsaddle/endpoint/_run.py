"""Runs an endpoint daemon from startup to shutdown."""

import asyncio
from functools import partial

from returns.result import Failure, Success

from mintsaddle.daemon import (
    DaemonNode,
    PeerService,
    refresh_configuration,
    start_server,
    wait_for_stop,
)
from mintsaddle.decisions.arrivals import (
    EndpointState,
    apply_configuration,
    describe_endpoint_load,
    handle_engine_down,
    handle_engine_up,
    may_exit,
    start_leaving,
    tick,
)
from mintsaddle.decisions.orders import home_is_settled, store_snapshot
from mintsaddle.endpoint._groups import GroupRunner
from mintsaddle.endpoint._homes import answer_home, hand_over_ledger, run_settle_loop
from mintsaddle.endpoint._host import EndpointHost
from mintsaddle.endpoint._service import CallService
from mintsaddle.engines import probe_engine
from mintsaddle.observe import make_logger
from mintsaddle.process import Supervisor
from mintsaddle.settings import Settings
from mintsaddle.transport import LoopThread, read_bequest, write_load
from mintsaddle.transport.proto import peer_pb2 as pb

PROBE_INTERVAL = 0.2
"""Seconds between probes of a busy engine.

Shorter than the time for which a confirmation of the engine's run stays valid.
"""

IDLE_PROBE_INTERVAL = 1.0
"""Seconds between probes of an idle engine.

Confirmations expire in between, so an idle engine is treated as cold.
"""

# In seconds.
_TICK_INTERVAL = 0.1
_DRAIN_POLL_INTERVAL = 0.05
_log = make_logger("endpoint")


def run_endpoint(settings: Settings) -> int:
    """Run an endpoint daemon until it is told to stop.

    Requests in flight are finished before it returns.
    """
    supervisor = Supervisor()
    loop_thread = LoopThread("mintsaddle", supervisor)
    node = DaemonNode(settings, loop_thread)
    state = EndpointState(settings.vm, node.boot, node.boot_at, node.configuration)
    host = EndpointHost(node, state)
    loop_thread.start()
    loop_thread.submit(_start(host)).result()
    wait_for_stop(supervisor)
    loop_thread.submit(_shut_down(host)).result()
    loop_thread.stop()
    _log.info("Stopped after all calls ended.")
    return 0


async def _start(host: EndpointHost) -> None:
    node = host.node
    state = host.state
    groups = GroupRunner(node)
    node.on_change(lambda: host.perform(apply_configuration(state, node.now())))
    node.on_change(groups.apply_configuration)
    peers = PeerService(
        node,
        fill_status=lambda status: fill_endpoint_status(host, groups, status),
        answer_home=lambda question: answer_home(node, state.orders, question),
        store_snapshot=lambda message: store_snapshot(
            state.orders, read_bequest(message)
        ),
        handle_group_order=groups.handle_order,
    )
    await start_server(node, [peers, CallService(host)])
    node.spawn("probes", partial(_run_probe_loop, host))
    node.spawn("ticks", partial(_run_tick_loop, host))
    node.spawn("homes", partial(run_settle_loop, node, state.orders))


async def _shut_down(host: EndpointHost) -> None:
    """Refuse new requests at once and finish those in flight."""
    host.node.mark_leaving()
    host.perform(start_leaving(host.state, host.node.now()))
    await refresh_configuration(host.node)
    while not may_exit(host.state, host.node.now()):
        await asyncio.sleep(_DRAIN_POLL_INTERVAL)
    await hand_over_ledger(host.node, host.state.orders)
    while host.has_open_mailboxes():
        await asyncio.sleep(_DRAIN_POLL_INTERVAL)


async def _run_probe_loop(host: EndpointHost) -> None:
    """Probe the engine periodically; its status carries the warm limit."""
    node = host.node
    loop = node.loop_thread.loop
    while True:
        engine = node.settings.engine
        probe_started_at = node.now()
        match await loop.run_in_executor(node.executor, probe_engine, engine):
            case Success(engine_status):
                actions = handle_engine_up(
                    host.state,
                    engine_status.boot,
                    engine_status.limit,
                    probe_started_at,
                )
                host.perform(actions)
            case Failure(True):
                host.perform(handle_engine_down(host.state, node.now()))
        idle = not host.state.arrivals
        await asyncio.sleep(IDLE_PROBE_INTERVAL if idle else PROBE_INTERVAL)


async def _run_tick_loop(host: EndpointHost) -> None:
    while True:
        host.perform(tick(host.state, host.node.now()))
        await asyncio.sleep(_TICK_INTERVAL)


def fill_endpoint_status(
    host: EndpointHost, groups: GroupRunner, status: pb.Status
) -> None:
    """Fill in the endpoint fields of a status message."""
    groups.add_to_status(status)
    state = host.state
    load = describe_endpoint_load(state, host.node.now())
    status.load.CopyFrom(write_load(load))
    status.engine_known = state.admission.engine_boot is not None
    status.engine_boot = state.admission.engine_boot or 0
    status.ledger_entries = len(state.orders.ledger)
    status.admitted = host.admitted
    status.last_admission = host.last_admission
    for service, home in state.orders.homes.items():
        if state.vm in home.wanted.homes:
            status.homes.add(
                service=service,
                anchored=home.anchored,
                settled=home_is_settled(home),
                homes=home.wanted.homes,
                advice=_make_advice(home.anchored, home_is_settled(home)),
            )


def _make_advice(anchored: bool, settled: bool) -> str:
    if settled:
        return ""
    if not anchored:
        return (
            "no home that kept its memory has answered; if all were restarted,"
            " publish a text with 'bootstrap' set to the present time"
        )
    return "waits for every home, present and former, to agree to the new list"
