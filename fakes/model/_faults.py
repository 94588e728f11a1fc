"""Faults that are injected when the watched request reaches a step."""

from collections.abc import Callable
from functools import partial

from fakes.model._site import FLEET_TEXT, MOVED_TEXT, Site
from fakes.model._world import MessageFault, Process

STEPS = (
    "arrived",
    "routed",
    "sent",
    "admitted",
    "given",
    "first chunk",
    "middle",
    "last chunk",
    "answered",
)
"""The steps of a request at which faults are injected."""

_RESTART_SECONDS = 0.8
_ENGINE_RESTART_SECONDS = 0.7
_FREEZE_SECONDS = 3.0
_CUT_SECONDS = 4.0
_OUTAGE_SECONDS = 5.0
_RETRY_SECONDS = 0.5


def _first_entry(site: Site) -> Process:
    return next(iter(site.entries.values()))


def _watched_endpoint(site: Site) -> Process:
    name = site.world.watched_endpoint or "a-letters"
    return site.endpoints[name]


def _watched_engine(site: Site) -> Process:
    return site.engines[_watched_endpoint(site).name]


def _kill(select: Callable[[Site], Process], restart_after: float, site: Site) -> None:
    process = select(site)
    process.die()

    def start_again() -> None:
        if not process.alive:
            process.start()

    site.world.after(restart_after, start_again)


def _freeze(select: Callable[[Site], Process], site: Site) -> None:
    select(site).freeze(_FREEZE_SECONDS)


def _cut_off(site: Site, *, others: bool, platform: bool) -> None:
    centre = _watched_endpoint(site).data_centre
    world = site.world
    world.ever_isolated.add(centre)
    if others:
        world.cut_from_others.add(centre)
    if platform:
        world.cut_from_platform.add(centre)

    def heal() -> None:
        world.cut_from_others.discard(centre)
        world.cut_from_platform.discard(centre)

    world.after(_CUT_SECONDS, heal)


def _add_message_fault(kind: str, effect: str, site: Site) -> None:
    site.world.message_faults.append(MessageFault(f"{kind} True", effect))


def _platform_down(site: Site) -> None:
    site.platform.die()
    site.world.after(_OUTAGE_SECONDS, site.platform.start)


def _platform_stale(site: Site) -> None:
    """Publish a text, then serve the previous one, as a stale replica does."""
    newer = site.platform.newest_text + 1
    text, previous = site.platform.text, site.platform.text
    site.platform.publish_text(newer, text[1] + "\n# newer\n")

    def serve_previous() -> None:
        site.platform.text = previous

    def serve_newer() -> None:
        site.platform.text = (newer, text[1] + "\n# newer\n")

    site.world.after(0.6, serve_previous)
    site.world.after(_OUTAGE_SECONDS, serve_newer)


def _restart_beside_stale_platform(site: Site) -> None:
    """Restart a daemon while the platform serves an old text again."""
    _platform_stale(site)
    site.world.after(1.0, partial(_kill, _watched_endpoint, _RESTART_SECONDS, site))


def _mark(state: str, centre: str, site: Site) -> None:
    """Publish marks, retrying while the platform is down."""
    if not site.platform.alive:
        site.world.after(_RETRY_SECONDS, partial(_mark, state, centre, site))
        return
    if state == "out":
        site.centres_marked_out.add(centre)
    else:
        site.centres_marked_out.discard(centre)
    lines = [f"data centre {name} = out" for name in sorted(site.centres_marked_out)]
    revision = site.platform.newest_marks + 1
    site.platform.publish_marks(revision, "\n".join(["[marks]", *lines]))
    site.record_planned_act(f"mark {state}", f"{centre} {revision}")


def _mark_out(site: Site) -> None:
    centre = _watched_endpoint(site).data_centre
    _mark("out", centre, site)
    site.world.after(6.0, partial(_mark, "in", centre, site))


def _mark_out_and_in(site: Site) -> None:
    centre = _watched_endpoint(site).data_centre
    _mark("out", centre, site)
    site.world.after(0.3, partial(_mark, "in", centre, site))


def _move_homes(site: Site) -> None:
    site.platform.publish_text(site.platform.newest_text + 1, MOVED_TEXT)


def _move_homes_and_back(site: Site) -> None:
    _move_homes(site)

    def move_back() -> None:
        revision = site.platform.newest_text + 1
        text = FLEET_TEXT.replace("former endpoints = ", "former endpoints = c-orders")
        site.platform.publish_text(revision, text)

    site.world.after(0.5, move_back)


def _restart_released_home(site: Site) -> None:
    """Move homes, then restart a home that released keys on the old text."""
    previous = site.platform.text
    _move_homes(site)

    def restart() -> None:
        site.platform.text = previous
        _kill(lambda s: s.endpoints["a-orders"], _RESTART_SECONDS, site)

    site.world.after(1.5, restart)
    site.world.after(
        _OUTAGE_SECONDS,
        lambda: site.platform.publish_text(site.platform.newest_text, MOVED_TEXT),
    )


def _leave_endpoint(site: Site) -> None:
    endpoint = site.endpoints[_watched_endpoint(site).name]
    site.record_planned_act("leave", endpoint.name)
    endpoint.leave(lambda: site.world.after(_RESTART_SECONDS, endpoint.start))


def _leave_entry(site: Site) -> None:
    entry = next(iter(site.entries.values()))
    entry.leave(lambda: site.world.after(_RESTART_SECONDS, entry.start))


def _caller_retries_by_another_entry(site: Site) -> None:
    # Hooks run within the call's own code, so the retry is a separate event.
    site.world.after(0.0, site.watched.retry_by_another_entry)


FAULTS: dict[str, Callable[[Site], None]] = {
    "entry killed": partial(_kill, _first_entry, _RESTART_SECONDS),
    "endpoint daemon killed": partial(_kill, _watched_endpoint, _RESTART_SECONDS),
    "engine killed": partial(_kill, _watched_engine, _OUTAGE_SECONDS),
    "engine cold restart": partial(_kill, _watched_engine, _ENGINE_RESTART_SECONDS),
    "entry frozen": partial(_freeze, _first_entry),
    "endpoint daemon frozen": partial(_freeze, _watched_endpoint),
    "engine frozen": partial(_freeze, _watched_engine),
    "cut off from others": partial(_cut_off, others=True, platform=False),
    "cut off from platform": partial(_cut_off, others=False, platform=True),
    "cut off from both": partial(_cut_off, others=True, platform=True),
    "request late": partial(_add_message_fault, "request", "late"),
    "request doubled": partial(_add_message_fault, "request", "doubled"),
    "request lost": partial(_add_message_fault, "request", "lost"),
    "reply late": partial(_add_message_fault, "reply", "late"),
    "reply doubled": partial(_add_message_fault, "reply", "doubled"),
    "reply reordered": partial(_add_message_fault, "reply", "reordered"),
    "reply lost": partial(_add_message_fault, "reply", "lost"),
    "platform down": _platform_down,
    "platform stale": _platform_stale,
    "daemon restarts beside a stale platform": _restart_beside_stale_platform,
    "data centre marked out": _mark_out,
    "data centre marked out and in": _mark_out_and_in,
    "homes move": _move_homes,
    "homes move and back": _move_homes_and_back,
    "released home restarts beside a stale platform": _restart_released_home,
    "endpoint leaves": _leave_endpoint,
    "entry leaves": _leave_entry,
    "caller retries by another entry": _caller_retries_by_another_entry,
}
"""The function that injects each fault, by the fault's name."""

PLANNED = frozenset(
    {
        "data centre marked out",
        "data centre marked out and in",
        "homes move",
        "endpoint leaves",
        "entry leaves",
    }
)
"""Planned acts of operators, which may not fail any request."""
