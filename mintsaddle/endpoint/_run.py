"""Running an endpoint daemon from its start to its end."""

import asyncio

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
from mintsaddle.endpoint._homes import answer_home, keep_settled, leave_ledger
from mintsaddle.endpoint._host import EndpointHost
from mintsaddle.endpoint._service import CallService
from mintsaddle.engines import probe_engine
from mintsaddle.observe import make_logger
from mintsaddle.settings import Settings
from mintsaddle.transport import LoopThread, read_bequest, write_load
from mintsaddle.transport.proto import peer_pb2 as pb

PROBE_PAUSE = 0.2
"""Seconds between looks at a working engine; shorter than a sight's life."""

IDLE_PROBE_PAUSE = 1.0
"""Seconds between looks at an idle one, which counts as cold meanwhile."""

_TICK = 0.1
_IDLE_PAUSE = 0.05
_log = make_logger("endpoint")


def run_endpoint(settings: Settings) -> int:
    """Run an endpoint daemon until it is told to stop, and let work finish."""
    loop_thread = LoopThread("mintsaddle")
    node = DaemonNode(settings, loop_thread)
    state = EndpointState(settings.vm, node.boot, node.boot_at, node.configuration)
    host = EndpointHost(node, state)
    loop_thread.start()
    loop_thread.submit(_start(host)).result()
    wait_for_stop()
    loop_thread.submit(_leave(host)).result()
    loop_thread.stop()
    _log.info("Stopped with nothing cut off.")
    return 0


async def _start(host: EndpointHost) -> None:
    node = host.node
    state = host.state
    groups = GroupRunner(node)
    node.on_change(lambda: host.perform(apply_configuration(state, node.now())))
    node.on_change(groups.follow)
    peers = PeerService(
        node,
        fill_status=lambda status: describe_endpoint(host, groups, status),
        answer_home=lambda question: answer_home(node, state.orders, question),
        store_bequest=lambda gift: store_snapshot(state.orders, read_bequest(gift)),
        handle_group_order=groups.obey,
    )
    await start_server(node, [peers, CallService(host)])
    node.spawn(_keep_probing(host))
    node.spawn(_keep_ticking(host))
    node.spawn(keep_settled(node, state.orders))


async def _leave(host: EndpointHost) -> None:
    """Refuse new work at once and finish what is in flight."""
    host.node.mark_leaving()
    host.perform(start_leaving(host.state, host.node.now()))
    await refresh_configuration(host.node)
    while not may_exit(host.state, host.node.now()):
        await asyncio.sleep(_IDLE_PAUSE)
    await leave_ledger(host.node, host.state.orders)
    while host.has_open_mailboxes():
        await asyncio.sleep(_IDLE_PAUSE)


async def _keep_probing(host: EndpointHost) -> None:
    """Look at the engine again and again; the sights carry the warm limit."""
    node = host.node
    loop = node.loop_thread.loop
    while True:
        engine = node.settings.engine
        asked_at = node.now()
        match await loop.run_in_executor(node.executor, probe_engine, engine):
            case Success(sight):
                actions = handle_engine_up(
                    host.state, sight.boot, sight.limit, asked_at
                )
                host.perform(actions)
            case Failure(True):
                host.perform(handle_engine_down(host.state, node.now()))
        idle = not host.state.arrivals
        await asyncio.sleep(IDLE_PROBE_PAUSE if idle else PROBE_PAUSE)


async def _keep_ticking(host: EndpointHost) -> None:
    while True:
        host.perform(tick(host.state, host.node.now()))
        await asyncio.sleep(_TICK)


def describe_endpoint(
    host: EndpointHost, groups: GroupRunner, status: pb.Status
) -> None:
    """Add an endpoint's part to a status."""
    groups.describe(status)
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
                advice=_advise(home.anchored, home_is_settled(home)),
            )


def _advise(anchored: bool, settled: bool) -> str:
    if settled:
        return ""
    if not anchored:
        return (
            "no home that kept its memory has answered; if all were restarted,"
            " publish a text with 'bootstrap' set to the present time"
        )
    return "waits for every home, present and former, to agree to the new list"
