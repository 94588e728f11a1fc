"""Following what the platform publishes, one thread for each prefix."""

import threading
from typing import NoReturn

from returns.result import Failure, Result, Success

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


def start_following(gateway: Gateway, prefix: str) -> None:
    """Follow one prefix in a thread of its own, for the process's life."""
    name = f"follow {prefix}"
    threading.Thread(
        target=_follow, args=(gateway, prefix), name=name, daemon=True
    ).start()


def _follow(gateway: Gateway, prefix: str) -> None:
    """Follow a prefix; begin anew whatever goes wrong.

    Guards against a thread that dies: its entry would go on with old beliefs,
    which shows as work sent to endpoints that have long left.
    """
    while True:
        try:
            _follow_until_failure(gateway, prefix)
        except Exception:
            _log.exception("Following failed %s.", fields(prefix=prefix))
            threading.Event().wait(PAUSE_SECONDS)


def _follow_until_failure(gateway: Gateway, prefix: str) -> NoReturn:
    client = StoreClient(gateway.settings.store)
    replica = gateway.replica(prefix)
    must_read = True
    is_well = True
    while True:
        asked_at = gateway.now()
        result = _ask(client, prefix, replica.position, must_read=must_read)
        match result:
            case Success(answer):
                if not is_well:
                    gateway.note_regained(prefix)
                    _log.info("Platform regained %s.", fields(prefix=prefix))
                # A watch's answer is current as it is sent, a reading as it
                # is asked for.
                confirmed_at = asked_at if must_read else gateway.now()
                gateway.take_items(
                    replica,
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
                    _log.warning(
                        "Platform lost %s.", fields(prefix=prefix, why=problem.value)
                    )
                is_well = False
                gateway.note_lost(prefix)
                threading.Event().wait(PAUSE_SECONDS * (0.5 + gateway.rng.random()))
        gateway.drop_lapsed()


def _ask(
    client: StoreClient, prefix: str, position: int, *, must_read: bool
) -> Result[StoreAnswer, StoreProblem]:
    if must_read:
        return client.read_all(prefix)
    return client.watch(prefix, position, WATCH_SECONDS)
