"""Shutdown of a direct entry without losing a request."""

import time

from mintsaddle.callers import CallerServer
from mintsaddle.direct._app import DirectApp
from mintsaddle.direct._gateway import Gateway


def drain(gateway: Gateway, app: DirectApp, server: CallerServer) -> None:
    """Fail the readiness check, then wait until all connections have ended."""
    schedule = gateway.begin_drain()
    time.sleep(max(0.0, schedule.accept_until - gateway.now()))
    server.drain(
        has_calls=lambda: app.open_calls > 0,
        must_end=lambda: gateway.now() >= schedule.exit_at,
    )
