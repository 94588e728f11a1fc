"""Follows the published configuration, from the platform or a peer."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from returns.result import Failure, Result, Success

from mintsaddle.daemon._node import DaemonNode
from mintsaddle.decisions.configuration import (
    RefusedText,
    Source,
    SourceKind,
    choose_sources,
)
from mintsaddle.observe import make_logger
from mintsaddle.platform import PlatformValue, watch_value
from mintsaddle.process import run_job

WATCH_SECONDS = 20.0
"""Seconds that a platform watch or a fetch from a peer waits for a change."""

_RETRY_SECONDS = 0.5
_PEER_BACKOFF_SECONDS = 5.0
_log = make_logger("configuration")


async def follow_configuration(node: DaemonNode) -> None:
    """Fetch and adopt each new configuration until cancelled."""
    await _fetch_from_seeds(node)
    failures = node.loop_thread.failures
    jobs = {"text": _follow_text, "marks": _follow_marks, "relay": _follow_peers}
    await asyncio.gather(
        *(run_job(name, partial(job, node), failures) for name, job in jobs.items())
    )


async def refresh_configuration(node: DaemonNode) -> None:
    """Fetch the configuration once, before a leaving daemon ends.

    Homes that have just moved would otherwise ask a process that has ended.
    """
    source = _choose_sources(node)[0]
    if source.kind is SourceKind.PEER:
        fleet = node.configuration.fleet
        address = fleet.address_of(source.vm) if fleet else None
        if address is not None:
            await node.fetch(address, 0.0)
        return
    loop = node.loop_thread.loop
    known = node.configuration.text_revision
    platform = node.settings.platform
    result = await loop.run_in_executor(
        node.executor, watch_value, platform, "fleet", known, 0.0
    )
    value = result.value_or(None)
    if value is not None:
        await node.offer_text(value.revision, value.value)


async def _fetch_from_seeds(node: DaemonNode) -> None:
    """Ask the peers in the settings, to start while the platform is down."""
    for address in node.settings.peers:
        if await node.fetch(address, 0.0):
            return


async def _follow_text(node: DaemonNode) -> None:
    async def adopt(value: PlatformValue) -> None:
        await node.offer_text(value.revision, value.value)
        node.ask_startup_peers()

    def newest_seen() -> int:
        configuration = node.configuration
        return _newest_seen(configuration.text_revision, configuration.refused_text)

    await _follow_value(node, "fleet", newest_seen, adopt)


async def _follow_marks(node: DaemonNode) -> None:
    async def adopt(value: PlatformValue) -> None:
        node.offer_marks(value.revision, value.value)

    def newest_seen() -> int:
        configuration = node.configuration
        return _newest_seen(configuration.marks_revision, configuration.refused_marks)

    await _follow_value(node, "marks", newest_seen, adopt)


def _newest_seen(revision: int, refused: RefusedText | None) -> int:
    """Return the newest revision seen; a refused one isn't fetched again."""
    return max(revision, refused.revision if refused else 0)


async def _follow_value(
    node: DaemonNode,
    name: str,
    newest_seen: Callable[[], int],
    adopt: Callable[[PlatformValue], Awaitable[None]],
) -> None:
    while True:
        await _watch_if_reader(node, name, newest_seen(), adopt)


async def _follow_peers(node: DaemonNode) -> None:
    while True:
        peers = [s for s in _choose_sources(node) if s.kind is SourceKind.PEER]
        if not peers:
            await asyncio.sleep(_RETRY_SECONDS)
            continue
        node.ask_startup_peers()
        if not await _follow_peer(node, peers[0]):
            node.back_off_peer(peers[0].vm, node.now() + _PEER_BACKOFF_SECONDS)


def _choose_sources(node: DaemonNode) -> tuple[Source, ...]:
    settings = node.settings
    fleet = node.configuration.fleet
    backed_off = node.peers_in_backoff()
    return choose_sources(fleet, settings.vm, settings.data_centre, backed_off)


async def _follow_peer(node: DaemonNode, source: Source) -> bool:
    fleet = node.configuration.fleet
    address = fleet.address_of(source.vm) if fleet else None
    if address is None:
        return False
    return await node.fetch(address, WATCH_SECONDS)


async def _watch_if_reader(
    node: DaemonNode,
    name: str,
    after: int,
    adopt: Callable[[PlatformValue], Awaitable[None]],
) -> None:
    if _choose_sources(node)[0].kind is SourceKind.PLATFORM:
        await _watch_platform(node, name, after, adopt)
    else:
        await asyncio.sleep(_RETRY_SECONDS)


async def _watch_platform(
    node: DaemonNode,
    name: str,
    after: int,
    adopt: Callable[[PlatformValue], Awaitable[None]],
) -> None:
    loop = node.loop_thread.loop
    is_first = node.configuration.fleet is None
    wait = _RETRY_SECONDS if is_first else WATCH_SECONDS
    result: Result[PlatformValue | None, str] = await loop.run_in_executor(
        node.executor, watch_value, node.settings.platform, name, after, wait
    )
    match result:
        case Success(value):
            node.record_platform_answer()
            if value is not None:
                await adopt(value)
        case Failure(problem):
            _log.debug("Platform watch failed: %s.", problem)
            # Up to a second of jitter keeps all readers from reconnecting at
            # once when the platform recovers.
            await asyncio.sleep(_RETRY_SECONDS + node.rng.random())
