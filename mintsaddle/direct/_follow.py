"""Polling of the platform's store, in one thread."""

import threading
from typing import NoReturn

from returns.result import Failure, Result, Success

from mintsaddle.decisions.direct import (
    CALL_INTERVAL_FRACTION,
    RETRY_INTERVAL_FRACTION,
    WATCH_WAIT_FRACTION,
    Position,
    StorePolling,
    StoreResponse,
)
from mintsaddle.direct._gateway import PLATFORM_SOURCE, Gateway, describe_position
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform import StoreClient, StoreProblem, is_followed_key
from mintsaddle.process import Supervisor
from mintsaddle.values import Instant

IDLE_INTERVAL_SECONDS = 0.2
"""Interval between checks of whether the replica has become stale."""

CHECK_WAIT_SECONDS = 0.01
"""For how long the store may delay its response to a watch that only checks
whether it answers."""

_log = make_logger("directory")


def start_store_polling(gateway: Gateway, supervisor: Supervisor) -> None:
    """Start a thread that polls the store until the process ends."""
    supervisor.start("follow", lambda: _StorePoller(gateway).run())


class _StorePoller:
    """Reads and watches the store while no upstream relays its changes."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._client = StoreClient(gateway.settings.store)
        settings = gateway.settings
        # Without peers, nothing else would confirm a stale read.
        self._allows_stale_start = any(
            peer != settings.control for peer in settings.peers
        )
        self._polling = StorePolling()

    def run(self) -> NoReturn:
        while True:
            if self._gateway.must_poll:
                self._poll()
            else:
                self._wait_idle()
            self._gateway.drop_expired()

    def _wait_idle(self) -> None:
        # An idle connection may break unnoticed, and the next poll has no time
        # to wait for its timeout.
        self._client.close()
        self._polling.record_gap()
        self._record_available()
        threading.Event().wait(IDLE_INTERVAL_SECONDS)

    def _poll(self) -> None:
        gateway = self._gateway
        replica = gateway.replica
        requested_at, requested_position, is_initial_read = (
            gateway.now(),
            replica.position,
            replica.is_empty,
        )
        is_full_read = is_initial_read or self._polling.needs_full_read
        is_check = self._polling.needs_check
        match self._request(
            requested_position,
            is_full_read=is_full_read,
            is_initial_read=is_initial_read,
        ):
            case Success(response):
                gateway.metrics.count("store_answered")
                self._record_available()
                relevant_items = tuple(
                    item for item in response.items if is_followed_key(item.key)
                )
                relevant_response = response._replace(items=relevant_items)
                with gateway.lock:
                    position = self._polling.resolve_position(
                        replica,
                        requested_position,
                        relevant_response,
                        is_full_read=is_full_read,
                    )
                if position is None:
                    return
                gateway.apply_items(
                    response.items,
                    position,
                    is_complete=is_full_read,
                    confirmed_at=self._confirmed_at(
                        requested_at,
                        is_full_read=is_full_read,
                        is_initial_read=is_initial_read,
                    ),
                    source=PLATFORM_SOURCE,
                )
                if response.items or is_check:
                    threading.Event().wait(
                        gateway.settings.propagation_time * CALL_INTERVAL_FRACTION
                    )
            case Failure(StoreProblem.HISTORY_GONE):
                self._polling.record_history_gone()
                gateway.metrics.count(f"store_{StoreProblem.HISTORY_GONE.value}")
                _log.info("History gone %s.", describe_position(requested_position))
            case Failure(StoreProblem.CUT) if not is_check:
                self._polling.record_cut()
                gateway.metrics.count(f"store_{StoreProblem.CUT.value}")
                _log.info("Connection cut %s.", describe_position(requested_position))
            case Failure(problem):
                gateway.metrics.count(f"store_{problem.value}")
                self._record_failure(problem)
                pause = gateway.settings.propagation_time * RETRY_INTERVAL_FRACTION
                threading.Event().wait(pause * (0.5 + gateway.rng.random()))

    def _request(
        self, requested_position: Position, *, is_full_read: bool, is_initial_read: bool
    ) -> Result[StoreResponse, StoreProblem]:
        prefix = self._gateway.replica.prefix
        if is_full_read:
            allow_stale = is_initial_read and self._allows_stale_start
            return self._client.read_all(prefix, allow_stale=allow_stale)
        wait = self._gateway.settings.propagation_time * WATCH_WAIT_FRACTION
        if self._polling.needs_check:
            wait = CHECK_WAIT_SECONDS
        return self._client.watch(prefix, requested_position.revision, wait)

    def _confirmed_at(
        self, requested_at: Instant, *, is_full_read: bool, is_initial_read: bool
    ) -> Instant:
        """Return when the content of a response was known to be current."""
        if is_initial_read and self._allows_stale_start:
            # The response may be stale; a peer or a watch confirms it later.
            return 0.0
        # The response to a watch is current when it is sent.
        return requested_at if is_full_read else self._gateway.now()

    def _record_available(self) -> None:
        was_lost = self._polling.is_lost
        self._polling.record_available()
        if was_lost:
            self._gateway.record_platform_recovered()
            position = self._gateway.replica.position
            _log.info("Platform regained %s.", describe_position(position))

    def _record_failure(self, problem: StoreProblem) -> None:
        if not self._polling.is_lost:
            _log.warning("Platform lost %s.", fields(why=problem.value))
        self._polling.record_failure()
        self._gateway.record_platform_lost()
