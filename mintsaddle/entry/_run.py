"""Startup, service and graceful shutdown of an entry daemon."""

import asyncio
import time
from collections.abc import Callable
from functools import partial

from mintsaddle.callers import CallerServer, CutConnection, render_cut
from mintsaddle.daemon import DaemonNode, PeerService, start_server, wait_for_stop
from mintsaddle.decisions.configuration import is_out
from mintsaddle.decisions.direct import CallerLimits
from mintsaddle.decisions.routing import RoutingState, clear_backoff, record_load
from mintsaddle.entry._calls import unknown_homes
from mintsaddle.entry._http import EntryApp
from mintsaddle.entry._refusals import refuse_fault
from mintsaddle.entry._requests import MAX_BODY_BYTES
from mintsaddle.observe import make_logger
from mintsaddle.process import Supervisor
from mintsaddle.settings import Settings
from mintsaddle.transport import LoopThread, read_load, read_stamp, write_stamp
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import PeerStub
from mintsaddle.values import Load

_HOME_POLL_SECONDS = 0.5
_HOME_POLL_TIMEOUT_SECONDS = 1.0
_MAX_LINGER_SECONDS = 10.0
"""Seconds after the last call for which a caller may still send its request or
read its answer."""

_CONNECTIONS_PER_THREAD = 4
_MEGABYTE = 1_048_576
_CALLER_LIMITS = CallerLimits(
    header_bytes=65_536,
    body_bytes=MAX_BODY_BYTES,
    header_seconds=10.0,
    idle_seconds=120.0,
)
_log = make_logger("entry")


def run_entry(settings: Settings) -> int:
    """Run an entry daemon until a stop signal, then finish open calls."""
    supervisor = Supervisor()
    loop_thread = LoopThread("mintsaddle", supervisor)
    node = DaemonNode(settings, loop_thread)
    routing = RoutingState(settings.vm, settings.data_centre)
    app = EntryApp(node, routing)
    server = CallerServer(
        app,
        settings.http,
        lambda: node.leaving,
        settings.threads,
        _CONNECTIONS_PER_THREAD * settings.threads,
        _log_cut,
        settings.memory / _MEGABYTE,
        settings.requests,
        refuse=refuse_fault,
        failures=supervisor.failures,
    )
    server.set_limits(_CALLER_LIMITS)
    loop_thread.start()
    loop_thread.submit(_start(node, routing, app)).result()
    server.start(supervisor)
    _log.info("Serving HTTP at %s.", settings.http)
    wait_for_stop(supervisor)
    _drain(node, app, server)
    loop_thread.stop()
    _log.info("Stopped after all calls ended.")
    return 0


def _log_cut(cut: CutConnection) -> None:
    _log.info("Connection cut %s.", render_cut(cut))


def _drain(node: DaemonNode, app: EntryApp, server: CallerServer) -> None:
    """Fail the health check, serve for the grace period, finish open calls.

    The HTTP load balancer notices the failed check with a delay. Requests that
    it still sends until then are served, so that a planned stop fails none.
    """
    node.mark_leaving()
    refuse_at = node.now() + node.settings.grace
    app.refuse_after(refuse_at)
    time.sleep(node.settings.grace)
    last_call_at = node.now()

    def must_end() -> bool:
        nonlocal last_call_at
        if app.open_calls:
            last_call_at = node.now()
        return node.now() - last_call_at >= _MAX_LINGER_SECONDS

    server.drain(lambda: app.open_calls > 0, must_end)


async def _start(node: DaemonNode, routing: RoutingState, app: EntryApp) -> None:
    node.on_change(_make_change_listener(node, routing, app))
    peers = PeerService(node, fill_status=lambda status: _fill_status(app, status))
    await start_server(node, [peers])
    node.spawn("homes", partial(_poll_unknown_homes, node, routing, app))


def _make_change_listener(
    node: DaemonNode, routing: RoutingState, app: EntryApp
) -> Callable[[], None]:
    """Return a listener for changes of the fleet text and the marks."""
    out: set[str] = set()

    def apply_change() -> None:
        configuration = node.configuration
        fleet = configuration.fleet
        if fleet is None:
            return
        now_out = {n for n in fleet.endpoints if configuration.marks.is_out(fleet, n)}
        clear_backoff(routing, out - now_out)
        out.clear()
        out.update(now_out)
        if is_out(configuration, node.settings.vm):
            app.refuse_after(node.now() + node.settings.grace)
        elif not node.leaving:
            app.refuse_after(float("inf"))

    return apply_change


async def _poll_unknown_homes(
    node: DaemonNode, routing: RoutingState, app: EntryApp
) -> None:
    """Ask homes whose boot number this entry doesn't know yet.

    An issued key contains the boot number of its home. Each reply of the home
    carries it, but before the first reply the entry has to ask for it.
    """
    while True:
        fleet = node.configuration.fleet
        if fleet is not None:
            names = unknown_homes(fleet, routing)
            polls = (_poll_home(node, routing, name) for name in names)
            await asyncio.gather(*polls)
            app.mark_homes_polled()
        await node.wait_for_change(node.stamp(), _HOME_POLL_SECONDS)


async def _poll_home(node: DaemonNode, routing: RoutingState, name: str) -> None:
    fleet = node.configuration.fleet
    address = fleet.address_of(name) if fleet else None
    if address is None:
        return
    stub = PeerStub(node.channels.open(address))
    request = pb.StatusRequest(stamp=write_stamp(node.stamp()))
    try:
        status = await stub.ShowStatus(request, timeout=_HOME_POLL_TIMEOUT_SECONDS)
    except Exception as error:
        _log.debug("Home %s did not answer: %s.", name, type(error).__name__)
        node.channels.drop(address)
        return
    node.count_control_bytes(request, status)
    stamp = read_stamp(status.stamp)
    node.pull_if_behind(stamp, address)
    load: Load = read_load(status.load)
    record_load(routing, name, stamp.boot, load, node.now())


def _fill_status(app: EntryApp, status: pb.Status) -> None:
    status.load.in_flight = app.open_calls
