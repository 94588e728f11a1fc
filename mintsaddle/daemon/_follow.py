"""Following the published configuration: by the platform or by a relay."""

import asyncio
from collections.abc import Awaitable, Callable

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

WATCH_SECONDS = 20.0
"""Seconds that a watch or a relay's answer may wait for news."""

_PAUSE = 0.5
_ABSENT_SECONDS = 5.0
_log = make_logger("configuration")


async def follow_configuration(node: DaemonNode) -> None:
    """Follow the configuration until cancelled."""
    await _ask_seeds(node)
    await asyncio.gather(_follow_text(node), _follow_marks(node), _follow_peers(node))


async def refresh(node: DaemonNode) -> None:
    """Ask once for news, before a leaving daemon says its last word.

    Homes that have just moved would otherwise ask a run that has gone.
    """
    source = _sources(node)[0]
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
        node.helpers, watch_value, platform, "fleet", known, 0.0
    )
    value = result.value_or(None)
    if value is not None:
        await node.offer_text(value.revision, value.value)


async def _ask_seeds(node: DaemonNode) -> None:
    """Ask the settings' peers, for a start while the platform is down."""
    for address in node.settings.peers:
        if await node.fetch(address, 0.0):
            return


async def _follow_text(node: DaemonNode) -> None:
    async def adopt(value: PlatformValue) -> None:
        await node.offer_text(value.revision, value.value)
        node.ask_first_peers()

    def newest() -> int:
        configuration = node.configuration
        return _newest(configuration.text_revision, configuration.refused_text)

    await _follow_value(node, "fleet", newest, adopt)


async def _follow_marks(node: DaemonNode) -> None:
    async def adopt(value: PlatformValue) -> None:
        node.offer_marks(value.revision, value.value)

    def newest() -> int:
        configuration = node.configuration
        return _newest(configuration.marks_revision, configuration.refused_marks)

    await _follow_value(node, "marks", newest, adopt)


def _newest(revision: int, refused: RefusedText | None) -> int:
    """Return the newest revision seen: a refused one isn't asked for again."""
    return max(revision, refused.revision if refused else 0)


async def _follow_value(
    node: DaemonNode,
    name: str,
    newest: Callable[[], int],
    adopt: Callable[[PlatformValue], Awaitable[None]],
) -> None:
    while True:
        await _watch_if_reader(node, name, newest(), adopt)


async def _follow_peers(node: DaemonNode) -> None:
    while True:
        peers = [s for s in _sources(node) if s.kind is SourceKind.PEER]
        if not peers:
            await asyncio.sleep(_PAUSE)
            continue
        node.ask_first_peers()
        if not await _follow_peer(node, peers[0]):
            node.rest_peer(peers[0].vm, node.now() + _ABSENT_SECONDS)


def _sources(node: DaemonNode) -> tuple[Source, ...]:
    settings = node.settings
    fleet = node.configuration.fleet
    absent = node.resting_peers()
    return choose_sources(fleet, settings.vm, settings.data_centre, absent)


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
    if _sources(node)[0].kind is SourceKind.PLATFORM:
        await _watch(node, name, after, adopt)
    else:
        await asyncio.sleep(_PAUSE)


async def _watch(
    node: DaemonNode,
    name: str,
    after: int,
    adopt: Callable[[PlatformValue], Awaitable[None]],
) -> None:
    loop = node.loop_thread.loop
    first = node.configuration.fleet is None
    wait = _PAUSE if first else WATCH_SECONDS
    result: Result[PlatformValue | None, str] = await loop.run_in_executor(
        node.helpers, watch_value, node.settings.platform, name, after, wait
    )
    match result:
        case Success(value):
            node.record_platform()
            if value is not None:
                await adopt(value)
        case Failure(problem):
            _log.debug("The platform: %s.", problem)
            # Spread over a second, so that a platform that comes back isn't
            # met by all readers at once.
            await asyncio.sleep(_PAUSE + node.rng.random())
