"""Following what the platform publishes, in one thread."""

import threading
from typing import NoReturn

from returns.result import Failure, Result, Success

from mintsaddle.decisions.direct import Replica
from mintsaddle.direct._gateway import Gateway
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform import StoreAnswer, StoreClient, StoreProblem

WATCH_SECONDS = 2.5
"""Seconds for which a watch may wait. A connection that has gone silent is
noticed a second later: within the contact time and what a configuration may
take (5 s). Each renewal costs one read."""

PAUSE_SECONDS = 0.3
"""Seconds between two tries while the platform gives nothing."""

_log = make_logger("directory")


def start_following(gateway: Gateway) -> None:
    """Follow what is published in a thread, for the process's life."""
    threading.Thread(
        target=_follow, args=(gateway,), name="follow", daemon=True
    ).start()


def _follow(gateway: Gateway) -> None:
    """Follow what is published; begin anew whatever goes wrong.

    Guards against a thread that dies: its entry would go on with old beliefs,
    which shows as work sent to endpoints that have long left.
    """
    while True:
        try:
            _follow_until_failure(gateway)
        except Exception:
            _log.exception("Following failed.")
            threading.Event().wait(PAUSE_SECONDS)


def _follow_until_failure(gateway: Gateway) -> NoReturn:
    client = StoreClient(gateway.settings.store)
    must_read = True
    is_well = True
    while True:
        asked_at = gateway.now()
        result = _ask(client, gateway.replica, must_read=must_read)
        match result:
            case Success(answer):
                if not is_well:
                    gateway.note_regained()
                    position = gateway.replica.position
                    _log.info("Platform regained %s.", fields(position=position))
                # A watch's answer is current as it is sent, a reading as it
                # is asked for.
                confirmed_at = asked_at if must_read else gateway.now()
                gateway.take_items(
                    answer.items,
                    answer.position,
                    is_complete=must_read,
                    confirmed_at=confirmed_at,
                    source="platform",
                )
                must_read, is_well = False, True
            case Failure(StoreProblem.HISTORY_GONE):
                must_read = True
            case Failure(problem):
                if is_well:
                    _log.warning("Platform lost %s.", fields(why=problem.value))
                is_well = False
                gateway.note_lost()
                threading.Event().wait(PAUSE_SECONDS * (0.5 + gateway.rng.random()))
        gateway.drop_lapsed()


def _ask(
    client: StoreClient, replica: Replica, *, must_read: bool
) -> Result[StoreAnswer, StoreProblem]:
    if must_read:
        return client.read_all(replica.prefix)
    return client.watch(replica.prefix, replica.position, WATCH_SECONDS)
