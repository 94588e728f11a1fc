"""Following what the platform publishes, in one thread."""

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
from mintsaddle.platform import StoreClient, StoreProblem, is_ours
from mintsaddle.values import Instant

IDLE_SECONDS = 0.2
"""Seconds between two checks of whether the copy has become stale."""

_log = make_logger("directory")


def start_following(gateway: Gateway) -> None:
    """Follow what is published in a thread, for the process's life."""
    threading.Thread(
        target=_follow, args=(gateway,), name="follow", daemon=True
    ).start()


def _follow(gateway: Gateway) -> None:
    """Follow what is published; begin anew whatever goes wrong."""
    while True:
        try:
            _Follower(gateway).run()
        except Exception:
            _log.exception("Following failed.")
            threading.Event().wait(
                gateway.settings.propagation_time * RETRY_INTERVAL_FRACTION
            )


class _Follower:
    """Reads and watches the platform while nobody else tells what changes."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._client = StoreClient(gateway.settings.store)
        settings = gateway.settings
        # Without peers nobody else would confirm an old reading.
        self._may_start_old = any(peer != settings.control for peer in settings.peers)
        self._polling = StorePolling()
        self._is_well = True

    def run(self) -> NoReturn:
        while True:
            if self._gateway.must_poll:
                self._poll()
            else:
                self._rest()
            self._gateway.drop_expired()

    def _rest(self) -> None:
        # An idle connection may go silent; the next poll has no time for that.
        self._client.close()
        self._polling.record_gap()
        if not self._is_well:
            self._record_regained()
        threading.Event().wait(IDLE_SECONDS)

    def _poll(self) -> None:
        gateway = self._gateway
        replica = gateway.replica
        asked_at, asked, is_first = gateway.now(), replica.position, replica.is_empty
        is_reading = is_first or self._polling.needs_full_read
        match self._ask(asked, is_reading=is_reading, is_first=is_first):
            case Success(answer):
                gateway.metrics.count("store_answered")
                if not self._is_well:
                    self._record_regained()
                ours = tuple(item for item in answer.items if is_ours(item.key))
                news = answer._replace(items=ours)
                with gateway.lock:
                    position = self._polling.resolve_position(
                        replica, asked, news, is_full_read=is_reading
                    )
                if position is None:
                    return
                gateway.apply_items(
                    answer.items,
                    position,
                    is_complete=is_reading,
                    confirmed_at=self._confirmed_at(
                        asked_at, is_reading=is_reading, is_first=is_first
                    ),
                    source=PLATFORM_SOURCE,
                )
                if answer.items:
                    threading.Event().wait(
                        gateway.settings.propagation_time * CALL_INTERVAL_FRACTION
                    )
            case Failure(StoreProblem.HISTORY_GONE):
                self._polling.record_history_gone()
                gateway.metrics.count(f"store_{StoreProblem.HISTORY_GONE.value}")
                _log.info("History gone %s.", describe_position(asked))
            case Failure(problem):
                gateway.metrics.count(f"store_{problem.value}")
                self._polling.record_gap()
                self._record_lost(problem)
                pause = gateway.settings.propagation_time * RETRY_INTERVAL_FRACTION
                threading.Event().wait(pause * (0.5 + gateway.rng.random()))

    def _ask(
        self, asked: Position, *, is_reading: bool, is_first: bool
    ) -> Result[StoreResponse, StoreProblem]:
        prefix = self._gateway.replica.prefix
        if is_reading:
            may_be_old = is_first and self._may_start_old
            return self._client.read_all(prefix, may_be_old=may_be_old)
        wait = self._gateway.settings.propagation_time * WATCH_WAIT_FRACTION
        return self._client.watch(prefix, asked.revision, wait)

    def _confirmed_at(
        self, asked_at: Instant, *, is_reading: bool, is_first: bool
    ) -> Instant:
        """Return when an answer was current."""
        if is_first and self._may_start_old:
            # A peer or a watch confirms it.
            return 0.0
        # A watch's answer is current as it is sent.
        return asked_at if is_reading else self._gateway.now()

    def _record_regained(self) -> None:
        self._is_well = True
        self._gateway.record_platform_recovered()
        position = self._gateway.replica.position
        _log.info("Platform regained %s.", describe_position(position))

    def _record_lost(self, problem: StoreProblem) -> None:
        if self._is_well:
            _log.warning("Platform lost %s.", fields(why=problem.value))
        self._is_well = False
        self._gateway.record_platform_lost()
