"""Shutdown of a direct entry without losing a request."""

import time

from mintsaddle.callers import CallerServer
from mintsaddle.direct._app import DirectApp
from mintsaddle.direct._gateway import Gateway

_POLL_SECONDS = 0.05


def drain(gateway: Gateway, app: DirectApp, server: CallerServer) -> None:
    """Fail the readiness check, then wait until all connections have ended.

    A connection ends once its answer has been sent completely. A call ends
    before that, and a request that has been read may have no call yet.
    """
    schedule = gateway.begin_drain()
    time.sleep(max(0.0, schedule.accept_until - gateway.now()))
    server.stop_listening()
    while gateway.now() < schedule.exit_at:
        server.close_idle()
        time.sleep(_POLL_SECONDS)
        if server.is_drained and not app.open_calls:
            return
