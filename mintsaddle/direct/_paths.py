"""Checking paths to data centres that are in doubt, in one thread."""

import socket
import threading
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

from mintsaddle.decisions.direct import ENDPOINTS_PER_CHECK
from mintsaddle.direct._gateway import Gateway

CHECK_SECONDS = 0.15
"""Seconds for a connection, and between two checks: round trips take a few
milliseconds within a region."""


def start_checking_paths(gateway: Gateway) -> None:
    """Check paths in a thread of its own, for the process's life."""
    threading.Thread(target=_run, args=(gateway,), name="paths", daemon=True).start()


def _run(gateway: Gateway) -> None:
    pause = threading.Event()
    with ThreadPoolExecutor(ENDPOINTS_PER_CHECK + 1, "paths") as pool:
        while True:
            for data_centre in gateway.reach.await_doubts():
                _check(gateway, pool, data_centre)
            pause.wait(CHECK_SECONDS)


def _check(gateway: Gateway, pool: ThreadPoolExecutor, data_centre: str) -> None:
    """Connect to some endpoints of a data centre, and to the platform."""
    addresses = gateway.sample_addresses(data_centre, ENDPOINTS_PER_CHECK)
    store = pool.submit(_connects, gateway.settings.store)
    reached = _any_connects(pool, addresses)
    gateway.reach.record_check(
        data_centre, reached=reached, is_platform_reached=store.result()
    )


def _any_connects(pool: ThreadPoolExecutor, addresses: Iterable[str]) -> bool:
    checks = list(pool.map(_connects, addresses))
    # Without any endpoint there is nothing that a cut would keep from callers.
    return any(checks) or not checks


def _connects(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=CHECK_SECONDS).close()
    except ConnectionRefusedError:
        # The VM answers, so there is a path.
        return True
    except OSError:
        return False
    return True
