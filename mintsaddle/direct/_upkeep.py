"""Regular upkeep of what an entry keeps in memory, in one thread."""

import time
from typing import NoReturn

from mintsaddle.callers import CallerServer
from mintsaddle.decisions.direct import CallerLimits
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._server_metrics import render_limits
from mintsaddle.observe import make_logger
from mintsaddle.process import FailureLog, Supervisor
from mintsaddle.settings import RequestLimits

_INTERVAL_SECONDS = 0.5
_THREAD = "limits"
_log = make_logger("daemon")


def start_upkeep(
    gateway: Gateway, server: CallerServer, supervisor: Supervisor
) -> None:
    """Start a thread that works until the process ends."""
    upkeep = _Upkeep(gateway, server, supervisor.failures)
    supervisor.start(_THREAD, upkeep.run)


class _Upkeep:
    """Steps that don't depend on each other; one that fails is repeated."""

    def __init__(
        self, gateway: Gateway, server: CallerServer, failures: FailureLog
    ) -> None:
        self._gateway = gateway
        self._server = server
        self._failures = failures
        self._applied: tuple[CallerLimits, RequestLimits] | None = None

    def run(self) -> NoReturn:
        steps = (
            self._apply_limits,
            self._close_idle,
            self._end_overloads,
            self._gateway.quarantine.discard_expired,
            self._sweep_pool,
        )
        while True:
            for step in steps:
                with self._failures.contain(_THREAD):
                    step()
            time.sleep(_INTERVAL_SECONDS)

    def _apply_limits(self) -> None:
        table = self._gateway.directory.table
        if table is None:
            return
        limits = (table.limits, self._gateway.settings.requests)
        if limits != self._applied:
            self._server.set_limits(*limits)
            self._applied = limits
            _log.info("Limits %s.", render_limits(self._server, *limits))

    def _close_idle(self) -> None:
        if self._gateway.is_cut_off():
            self._server.close_idle()

    def _end_overloads(self) -> None:
        with self._gateway.lock:
            self._gateway.overload.end_overloads(self._gateway.now())

    def _sweep_pool(self) -> None:
        self._gateway.pool.sweep(self._gateway.directory.endpoints.keys())
