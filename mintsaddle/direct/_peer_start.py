"""Starts the exchange between direct entries, and connects its callers."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn

from mintsaddle.decisions.direct import Membership
from mintsaddle.decisions.quarantine import Feature
from mintsaddle.direct._capacity import peer_limits
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._peers import PeerExchange
from mintsaddle.observe import make_logger
from mintsaddle.process import Supervisor
from mintsaddle.transport import BoundedServer, LoopThread
from mintsaddle.values import Instant

RESTART_PAUSE_SECONDS = 0.3
"""Pause before a job starts again, as long as between fast gossip rounds."""

_log = make_logger("peers")


def start_peer_exchange(
    gateway: Gateway, membership: Membership, supervisor: Supervisor
) -> None:
    """Start gossip in an event loop and thread of its own."""
    loop_thread = LoopThread("peers", supervisor)
    loop_thread.start()
    exchange = loop_thread.submit(_start(gateway, membership)).result()
    permits = exchange.permits

    def request_permit(endpoint: str) -> bool:
        return loop_thread.submit(permits.take_permit(endpoint)).result()

    def publish(endpoint: str) -> None:
        loop_thread.post(permits.mark_changed, endpoint)

    gateway.limits.set_callbacks(request_permit, publish)
    features = exchange.features

    def request_trial(feature: Feature, holder: str, until: Instant) -> bool:
        wish = features.request_trial(feature, holder, until)
        return loop_thread.submit(wish).result()

    def end_trial(feature: Feature, holder: str) -> None:
        loop_thread.submit(features.end_trial(feature, holder))

    def publish_features(changed: list[Feature]) -> None:
        loop_thread.post(features.mark_changed, changed)

    gateway.quarantine.set_callbacks(request_trial, end_trial, publish_features)


async def _start(gateway: Gateway, membership: Membership) -> PeerExchange:
    exchange = PeerExchange(gateway, membership)
    exchange.notify_on_replica_change(asyncio.get_running_loop())
    exchange.notify_on_path_change(asyncio.get_running_loop())
    server = BoundedServer([exchange], peer_limits(gateway.settings))
    host, _, port = gateway.settings.control.rpartition(":")
    await server.start(host, int(port))
    jobs = (
        exchange.run,
        exchange.watch_holders,
        exchange.follow_upstreams,
        exchange.permits.publish_changes,
        exchange.features.publish_changes,
    )
    tasks = [asyncio.ensure_future(run_forever(job)) for job in jobs]
    gateway.keep_references(server, *tasks)
    return exchange


async def run_forever(
    job: Callable[[], Coroutine[Any, Any, None]],
    pause_seconds: float = RESTART_PAUSE_SECONDS,
) -> NoReturn:
    """Run a job until cancelled; start it again after any exception.

    Args:
        job: Runs until cancelled.
        pause_seconds: Pause before it starts again.
    """
    while True:
        try:
            await job()
        except Exception:
            _log.exception("Exchange with peers failed; retrying.")
        await asyncio.sleep(pause_seconds)
