"""Test connections to data centres that may be unreachable."""

import threading
from collections.abc import Iterable
from concurrent.futures import Executor
from functools import partial
from typing import NoReturn

from mintsaddle.decisions.direct import ENDPOINTS_PER_CHECK
from mintsaddle.direct._engine_checks import EngineState, check_engine
from mintsaddle.direct._gateway import Gateway
from mintsaddle.process import FailureLog, Supervisor, WorkerPool

CHECK_SECONDS = 0.15
"""Timeout of a test connection, and interval between checks. Round trips take
a few milliseconds within a region."""


_THREAD = "paths"


def start_checking_paths(gateway: Gateway, supervisor: Supervisor) -> None:
    """Start a thread that runs checks until the process ends."""
    supervisor.start(_THREAD, partial(_check_forever, gateway, supervisor.failures))


def _check_forever(gateway: Gateway, failures: FailureLog) -> NoReturn:
    pause = threading.Event()
    with WorkerPool(ENDPOINTS_PER_CHECK + 1, "paths") as pool:
        while True:
            for data_centre in gateway.reach.wait_for_checks():
                with failures.contain(_THREAD):
                    _check_data_centre(gateway, pool, data_centre)
            pause.wait(CHECK_SECONDS)


def _check_data_centre(gateway: Gateway, pool: Executor, data_centre: str) -> None:
    """Try to connect to endpoints of a data centre and to the platform."""
    addresses = gateway.sample_addresses(data_centre, ENDPOINTS_PER_CHECK)
    platform_check = pool.submit(_is_reachable, gateway.settings.store)
    reached = _any_reachable(pool, addresses)
    gateway.reach.record_check(
        data_centre, reached=reached, is_platform_reached=platform_check.result()
    )


def _any_reachable(pool: Executor, addresses: Iterable[str]) -> bool:
    results = list(pool.map(_is_reachable, addresses))
    # A data centre without endpoints has nothing that callers could miss.
    return any(results) or not results


def _is_reachable(address: str) -> bool:
    # A VM that refuses the connection shows that the network path works.
    return check_engine(address, CHECK_SECONDS) is not EngineState.UNKNOWN
