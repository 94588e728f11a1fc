"""Shutdown of a direct entry without losing a request."""

import time

from mintsaddle.callers import CallerServer
from mintsaddle.direct._app import DirectApp
from mintsaddle.direct._gateway import Gateway
from mintsaddle.process import Supervisor

_CHECK_SECONDS = 0.25


def drain(
    gateway: Gateway, app: DirectApp, server: CallerServer, supervisor: Supervisor
) -> None:
    """Fail the readiness check, then wait until all connections have ended."""
    schedule = gateway.begin_drain()
    while (seconds_left := schedule.accept_until - gateway.now()) > 0:
        time.sleep(min(seconds_left, _CHECK_SECONDS))
        supervisor.check()

    def must_end() -> bool:
        supervisor.check()
        return gateway.now() >= schedule.exit_at

    server.drain(has_calls=lambda: app.open_calls > 0, must_end=must_end)
