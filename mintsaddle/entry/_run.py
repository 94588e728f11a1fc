"""Running an entry daemon from its start to its end."""

import asyncio
import threading
import time
from collections.abc import Callable

from waitress.server import create_server

from mintsaddle.daemon import DaemonNode, PeerService, start_server, wait_for_stop
from mintsaddle.decisions.configuration import is_out
from mintsaddle.decisions.routing import RoutingState, clear_backoff, record_load
from mintsaddle.entry._calls import unknown_homes
from mintsaddle.entry._http import EntryApp
from mintsaddle.observe import make_logger
from mintsaddle.settings import Settings
from mintsaddle.transport import LoopThread, read_load, read_stamp, write_stamp
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import PeerStub
from mintsaddle.values import Load

_IDLE_PAUSE = 0.05
_LOOK_PAUSE = 0.5
_LOOK_TIMEOUT = 1.0
_BACKLOG = 1024
_log = make_logger("entry")


def run_entry(settings: Settings) -> int:
    """Run an entry daemon until it is told to stop, and let answers finish."""
    loop_thread = LoopThread("mintsaddle")
    node = DaemonNode(settings, loop_thread)
    routing = RoutingState(settings.vm, settings.data_centre)
    app = EntryApp(node, routing)
    server = create_server(
        app,
        listen=settings.http,
        threads=settings.threads,
        backlog=_BACKLOG,
        connection_limit=4 * settings.threads,
        channel_request_lookahead=1,
        ident=None,
        clear_untrusted_proxy_headers=True,
    )
    loop_thread.start()
    loop_thread.submit(_start(node, routing, app)).result()
    threading.Thread(target=server.run, name="http", daemon=True).start()
    _log.info("Callers are served at %s.", settings.http)
    wait_for_stop()
    _leave(node, app)
    server.close()
    loop_thread.stop()
    _log.info("Stopped with nothing cut off.")
    return 0


def _leave(node: DaemonNode, app: EntryApp) -> None:
    """Fail the health check, serve on for the grace, finish what is open.

    The balancer notices a failed check some time later; a caller that it
    still sends until then is served, so that a planned stop hurts nobody.
    """
    node.mark_leaving()
    stop_at = node.now() + node.settings.grace
    app.stop_at(stop_at)
    while node.now() < stop_at or app.open_calls:
        time.sleep(_IDLE_PAUSE)


async def _start(node: DaemonNode, routing: RoutingState, app: EntryApp) -> None:
    node.on_change(_make_follower(node, routing, app))
    peers = PeerService(node, describe=lambda status: _describe(app, status))
    await start_server(node, [peers])
    node.spawn(_keep_looking(node, routing, app))


def _make_follower(
    node: DaemonNode, routing: RoutingState, app: EntryApp
) -> Callable[[], None]:
    """Return what to do when text or marks have changed."""
    out: set[str] = set()

    def follow() -> None:
        configuration = node.configuration
        fleet = configuration.fleet
        if fleet is None:
            return
        now_out = {n for n in fleet.endpoints if configuration.marks.is_out(fleet, n)}
        clear_backoff(routing, out - now_out)
        out.clear()
        out.update(now_out)
        if is_out(configuration, node.settings.vm):
            app.stop_at(node.now() + node.settings.grace)
        elif not node.leaving:
            app.stop_at(float("inf"))

    return follow


async def _keep_looking(node: DaemonNode, routing: RoutingState, app: EntryApp) -> None:
    """Learn the runs of homes that this entry hasn't heard from.

    An issued key names the home's run, which rides on each of its replies;
    before the first one somebody has to ask.
    """
    while True:
        fleet = node.configuration.fleet
        if fleet is not None:
            names = unknown_homes(fleet, routing)
            looks = (_poll_endpoint(node, routing, name) for name in names)
            await asyncio.gather(*looks)
            app.mark_looked()
        await node.wait_for_change(node.stamp(), _LOOK_PAUSE)


async def _poll_endpoint(node: DaemonNode, routing: RoutingState, name: str) -> None:
    fleet = node.configuration.fleet
    address = fleet.address_of(name) if fleet else None
    if address is None:
        return
    stub = PeerStub(node.channels.open(address))
    request = pb.StatusRequest(stamp=write_stamp(node.stamp()))
    try:
        status = await stub.ShowStatus(request, timeout=_LOOK_TIMEOUT)
    except Exception as error:
        _log.debug("Home %s is silent: %s.", name, type(error).__name__)
        node.channels.drop(address)
        return
    node.count_control(request, status)
    stamp = read_stamp(status.stamp)
    node.record_stamp(stamp, address)
    load: Load = read_load(status.load)
    record_load(routing, name, stamp.boot, load, node.now())


def _describe(app: EntryApp, status: pb.Status) -> None:
    status.load.in_flight = app.open_calls
