"""Startup, main loop and shutdown of a direct entry."""

import signal
from collections.abc import Callable
from functools import partial

from mintsaddle.callers import CallerServer, CutConnection, render_cut
from mintsaddle.decisions.direct import Membership
from mintsaddle.direct._app import DirectApp
from mintsaddle.direct._capacity import max_callers, max_connections
from mintsaddle.direct._drain import drain
from mintsaddle.direct._follow import start_store_polling
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._groups import start_group_checks
from mintsaddle.direct._maps import MapCoordinator
from mintsaddle.direct._overload_metrics import render_overload
from mintsaddle.direct._pages import serve_pages
from mintsaddle.direct._paths import start_checking_paths
from mintsaddle.direct._peer_start import start_peer_exchange
from mintsaddle.direct._server_metrics import render_failures, render_server
from mintsaddle.direct._upkeep import start_upkeep
from mintsaddle.direct._watchdog import Watchdog
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform import READY_PATH, read_request_head
from mintsaddle.process import SignalReceiver, Supervisor
from mintsaddle.settings import DirectSettings

METRICS_PATH = "/metrics"

RELOAD_INTERVAL_SECONDS = 5.0
"""Interval at which the settings file, which is small, is read again."""

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_SIGNAL_POLL_SECONDS = 0.25
_log = make_logger("daemon")


def run_direct(
    settings: DirectSettings, reload: Callable[[], DirectSettings | None]
) -> int:
    """Run a direct entry until a stop signal, and finish open requests.

    Args:
        settings: The settings at startup.
        reload: Reads the settings again; returns None if they are invalid.
    """
    # Without a handler, SIGHUP ends the process.
    signals = SignalReceiver(*_STOP_SIGNALS, signal.SIGHUP)
    supervisor = Supervisor()
    gateway = Gateway(settings)
    watchdog = Watchdog(gateway.now)
    callers = max_callers(settings)
    app = DirectApp(gateway, watchdog, callers)

    def should_close_connections() -> bool:
        return gateway.leaving or gateway.is_cut_off()

    server = CallerServer(
        app,
        settings.callers,
        should_close_connections,
        callers,
        max_connections(settings),
        partial(_record_cut, gateway),
        settings.memory_megabytes,
        settings.requests,
        app.screening.screen,
        app.screening.refuse_fault,
        supervisor.failures,
    )
    pages = {"readiness": settings.ready, "metrics": settings.metrics}
    serve_pages(
        {name: address for name, address in pages.items() if address},
        {
            READY_PATH: lambda: _render_readiness(gateway, server),
            METRICS_PATH: lambda: _render_metrics(gateway, app, server, supervisor),
        },
        supervisor,
    )
    watchdog.start(supervisor)
    start_store_polling(gateway, supervisor)
    membership = Membership(
        settings.vm,
        settings.control,
        settings.peers,
        gateway.now(),
        settings.data_centre,
    )
    start_peer_exchange(gateway, membership, supervisor)
    MapCoordinator(gateway, membership, supervisor.failures).start(supervisor)
    start_group_checks(gateway, supervisor)
    start_checking_paths(gateway, supervisor)
    start_upkeep(gateway, server, supervisor)
    server.start(supervisor)
    _log.info("Started %s.", fields(vm=settings.vm, callers=settings.callers))
    _wait_for_stop(gateway, signals, reload, supervisor)
    drain(gateway, app, server, supervisor)
    _log.info(
        "Stopped %s.",
        fields(vm=settings.vm, open=app.open_calls, **server.load._asdict()),
    )
    return 0


def _wait_for_stop(
    gateway: Gateway,
    signals: SignalReceiver,
    reload: Callable[[], DirectSettings | None],
    supervisor: Supervisor,
) -> None:
    """Wait for a stop signal; reload settings and check threads meanwhile.

    The settings file may also change without a signal.
    """
    read_at = gateway.now()
    received: frozenset[int] = frozenset()
    while received.isdisjoint(_STOP_SIGNALS):
        is_due = gateway.now() - read_at >= RELOAD_INTERVAL_SECONDS
        if is_due or signal.SIGHUP in received:
            read_at = gateway.now()
            with supervisor.failures.contain("settings"):
                _reload(gateway, reload)
        received = signals.wait(_SIGNAL_POLL_SECONDS)
        supervisor.check()


def _reload(gateway: Gateway, reload: Callable[[], DirectSettings | None]) -> None:
    settings = reload()
    if settings is None:
        _log.warning("Settings refused; keeping the current ones.")
    elif settings != gateway.settings:
        gateway.replace_settings(settings)
        _log.info("Reloaded %s.", fields(vm=settings.vm))


def _record_cut(gateway: Gateway, cut: CutConnection) -> None:
    gateway.metrics.count(f"connections_cut_{cut.reason.value}")
    request_id = read_request_head(cut.environ).request_id or "-"
    _log.info("Connection cut %s %s.", fields(request=request_id), render_cut(cut))


def _render_readiness(gateway: Gateway, server: CallerServer) -> tuple[str, str]:
    may_serve = gateway.is_initialized and not gateway.leaving
    if not may_serve or gateway.is_cut_off() or not server.is_serving:
        return "503 Service Unavailable", "not serving\n"
    return "200 OK", "serving\n"


def _render_metrics(
    gateway: Gateway, app: DirectApp, server: CallerServer, supervisor: Supervisor
) -> tuple[str, str]:
    lines = gateway.metrics.lines()
    with gateway.lock:
        lines += render_overload(gateway.overload, gateway.now())
    lines += gateway.quarantine.render()
    lines.append(f"mintsaddle_open_calls {app.open_calls}")
    lines.append(f"mintsaddle_answer_bytes {gateway.answers.used_bytes}")
    lines += render_server(server)
    lines += render_failures(supervisor.failures)
    return "200 OK", "\n".join(sorted(lines)) + "\n"
