"""Starts the exchange between direct entries, and connects its callers."""

import asyncio

from mintsaddle.decisions.direct import Membership
from mintsaddle.decisions.quarantine import Feature
from mintsaddle.direct._capacity import peer_limits
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._peers import PeerExchange
from mintsaddle.process import FailureLog, Supervisor, run_job
from mintsaddle.transport import BoundedServer, LoopThread
from mintsaddle.values import Instant


def start_peer_exchange(
    gateway: Gateway, membership: Membership, supervisor: Supervisor
) -> None:
    """Start gossip in an event loop and thread of its own."""
    loop_thread = LoopThread("peers", supervisor)
    loop_thread.start()
    start = _start(gateway, membership, supervisor.failures)
    exchange = loop_thread.submit(start).result()
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


async def _start(
    gateway: Gateway, membership: Membership, failures: FailureLog
) -> PeerExchange:
    exchange = PeerExchange(gateway, membership)
    exchange.notify_on_replica_change(asyncio.get_running_loop())
    exchange.notify_on_path_change(asyncio.get_running_loop())
    server = BoundedServer([exchange], peer_limits(gateway.settings))
    host, _, port = gateway.settings.control.rpartition(":")
    await server.start(host, int(port))
    jobs = {
        "gossip": exchange.run,
        "holders": exchange.watch_holders,
        "upstreams": exchange.follow_upstreams,
        "permits": exchange.permits.publish_changes,
        "features": exchange.features.publish_changes,
    }
    tasks = [
        asyncio.ensure_future(run_job(name, job, failures))
        for name, job in jobs.items()
    ]
    gateway.keep_references(server, *tasks)
    return exchange
