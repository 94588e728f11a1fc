"""Running a direct entry from its start to its end."""

import signal
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from mintsaddle.decisions.direct import Membership
from mintsaddle.direct._app import DirectApp
from mintsaddle.direct._follow import start_following
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._groups import start_group_checks
from mintsaddle.direct._maps import MapCoordinator
from mintsaddle.direct._paths import start_checking_paths
from mintsaddle.direct._peers import start_peers
from mintsaddle.direct._server import CallerServer, max_callers, serve_pages
from mintsaddle.direct._watchdog import Watchdog
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform import READY_PATH
from mintsaddle.settings import DirectSettings

METRICS_PATH = "/metrics"

ACCEPT_SECONDS = 3.0
"""Seconds after SIGTERM for which new connections are taken: the balancer asks
every second and stops sending after two misses."""

FINISH_SHARE = 5 / 6
"""Share of the stop time after which the process ends: work that an endpoint
still has in the last sixth may be broken off."""

RELOAD_SECONDS = 5.0
"""Seconds between two readings of the settings file; it is small."""

_IDLE_PAUSE = 0.05
_SIGNAL_POLL = 0.25
_LIMITS_PAUSE = 0.5
_log = make_logger("daemon")


def run_direct(
    settings: DirectSettings, reload: Callable[[], DirectSettings | None]
) -> int:
    """Run a direct entry until it is told to stop, and let answers finish.

    Args:
        settings: What the settings file says at the start.
        reload: Reads the file again; None when it has findings.
    """
    signals = _catch_signals()
    gateway = Gateway(settings)
    watchdog = Watchdog(gateway.now)
    callers = max_callers(settings)
    app = DirectApp(gateway, watchdog, callers)

    def sends_callers_away() -> bool:
        return gateway.leaving or gateway.is_cut_off()

    server = CallerServer(app, settings.callers, sends_callers_away, callers)
    serve_pages(
        [address for address in (settings.ready, settings.metrics) if address],
        {
            READY_PATH: lambda: _show_ready(gateway),
            METRICS_PATH: lambda: _show_metrics(gateway, app),
        },
    )
    watchdog.start()
    start_following(gateway)
    membership = Membership(
        settings.vm, settings.control, settings.peers, gateway.now()
    )
    start_peers(gateway, membership)
    MapCoordinator(gateway, membership).start()
    start_group_checks(gateway)
    start_checking_paths(gateway)
    threading.Thread(
        target=_keep_limits, args=(gateway, server), name="limits", daemon=True
    ).start()
    server.start()
    _log.info("Started %s.", fields(vm=settings.vm, callers=settings.callers))
    _wait_for_stop(gateway, signals, reload)
    _leave(gateway, app, server)
    _log.info("Stopped %s.", fields(vm=settings.vm, open=app.open_calls))
    return 0


class _Signals(NamedTuple):
    """What the process was told."""

    stop: threading.Event
    changed: threading.Event
    """Set when the settings file may have changed."""


def _catch_signals() -> _Signals:
    """Catch signals from the start on: unhandled, SIGHUP ends a process."""
    signals = _Signals(threading.Event(), threading.Event())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: signals.stop.set())
    signal.signal(signal.SIGHUP, lambda *_: signals.changed.set())
    return signals


def _wait_for_stop(
    gateway: Gateway, signals: _Signals, reload: Callable[[], DirectSettings | None]
) -> None:
    """Return once told to stop; read the settings again meanwhile.

    They may also change without a signal.
    """
    read_at = gateway.now()
    # A wait without a limit would keep Python from running the handlers.
    while not signals.stop.wait(_SIGNAL_POLL):
        if signals.changed.is_set() or gateway.now() - read_at >= RELOAD_SECONDS:
            signals.changed.clear()
            read_at = gateway.now()
            _reload(gateway, reload)


def _reload(gateway: Gateway, reload: Callable[[], DirectSettings | None]) -> None:
    settings = reload()
    if settings is None:
        _log.warning("Settings refused; those in force stay.")
    elif settings != gateway.settings:
        gateway.replace_settings(settings)
        _log.info("Reloaded %s.", fields(vm=settings.vm))


def _leave(gateway: Gateway, app: DirectApp, server: CallerServer) -> None:
    """Fail the readiness check, serve on for a while, finish what is open."""
    gateway.mark_leaving()
    told_at = gateway.now()
    finish_at = told_at + gateway.settings.stop_seconds * FINISH_SHARE
    time.sleep(ACCEPT_SECONDS)
    server.stop_accepting()
    server.close_idle()
    while app.open_calls and gateway.now() < finish_at:
        time.sleep(_IDLE_PAUSE)
        server.close_idle()


def _show_ready(gateway: Gateway) -> tuple[str, str]:
    if gateway.leaving or not gateway.is_initialized or gateway.is_cut_off():
        return "503 Service Unavailable", "not serving\n"
    return "200 OK", "serving\n"


def _show_metrics(gateway: Gateway, app: DirectApp) -> tuple[str, str]:
    lines = gateway.metrics.lines()
    lines.append(f"mintsaddle_open_calls {app.open_calls}")
    return "200 OK", "\n".join(sorted(lines)) + "\n"


def _keep_limits(gateway: Gateway, server: CallerServer) -> None:
    known = None
    while True:
        table = gateway.directory.table
        if table is not None and table.limits != known:
            known = table.limits
            server.set_limits(known)
        if gateway.is_cut_off():
            server.close_idle()
        gateway.pool.sweep(gateway.directory.endpoints.keys())
        time.sleep(_LIMITS_PAUSE)
