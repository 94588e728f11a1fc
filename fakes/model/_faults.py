"""Faults: what is done to the site when the watched request reaches a step."""

from collections.abc import Callable
from functools import partial

from fakes.model._site import MOVED_TEXT, TEXT, Site
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
"""The steps of a request."""

_RESTART = 0.8
_ENGINE_RESTART = 0.7
_FROZEN = 3.0
_CUT = 4.0
_DOWN = 5.0
_TRY_AGAIN = 0.5


def _entry(site: Site) -> Process:
    return next(iter(site.entries.values()))


def _endpoint(site: Site) -> Process:
    name = site.world.watched_endpoint or "a-letters"
    return site.endpoints[name]


def _engine(site: Site) -> Process:
    return site.engines[_endpoint(site).name]


def _kill(which: Callable[[Site], Process], restart: float, site: Site) -> None:
    process = which(site)
    process.die()

    def start_again() -> None:
        if not process.alive:
            process.start()

    site.world.after(restart, start_again)


def _freeze(which: Callable[[Site], Process], site: Site) -> None:
    which(site).freeze(_FROZEN)


def _cut(site: Site, *, others: bool, platform: bool) -> None:
    centre = _endpoint(site).data_centre
    world = site.world
    world.ever_cut.add(centre)
    if others:
        world.cut_from_others.add(centre)
    if platform:
        world.cut_from_platform.add(centre)

    def heal() -> None:
        world.cut_from_others.discard(centre)
        world.cut_from_platform.discard(centre)

    world.after(_CUT, heal)


def _message(kind: str, what: str, site: Site) -> None:
    site.world.message_faults.append(MessageFault(f"{kind} True", what))


def _platform_down(site: Site) -> None:
    site.platform.die()
    site.world.after(_DOWN, site.platform.start)


def _platform_stale(site: Site) -> None:
    """Publish marks, then let every reader meet a replica without them."""
    newer = site.platform.newest_text + 1
    text, old = site.platform.text, site.platform.text
    site.platform.publish_text(newer, text[1] + "\n# newer\n")

    def go_back() -> None:
        site.platform.text = old

    def come_back() -> None:
        site.platform.text = (newer, text[1] + "\n# newer\n")

    site.world.after(0.6, go_back)
    site.world.after(_DOWN, come_back)


def _restart_beside_stale_platform(site: Site) -> None:
    """Restart a daemon while the platform shows an old text again."""
    _platform_stale(site)
    site.world.after(1.0, partial(_kill, _endpoint, _RESTART, site))


def _mark(state: str, centre: str, site: Site) -> None:
    """Publish marks as soon as the platform takes them."""
    if not site.platform.alive:
        site.world.after(_TRY_AGAIN, partial(_mark, state, centre, site))
        return
    if state == "out":
        site.centres_out.add(centre)
    else:
        site.centres_out.discard(centre)
    lines = [f"data centre {name} = out" for name in sorted(site.centres_out)]
    revision = site.platform.newest_marks + 1
    site.platform.publish_marks(revision, "\n".join(["[marks]", *lines]))
    site.record_plan(f"mark {state}", f"{centre} {revision}")


def _mark_out(site: Site) -> None:
    centre = _endpoint(site).data_centre
    _mark("out", centre, site)
    site.world.after(6.0, partial(_mark, "in", centre, site))


def _mark_out_and_in(site: Site) -> None:
    centre = _endpoint(site).data_centre
    _mark("out", centre, site)
    site.world.after(0.3, partial(_mark, "in", centre, site))


def _move_homes(site: Site) -> None:
    site.platform.publish_text(site.platform.newest_text + 1, MOVED_TEXT)


def _move_homes_and_back(site: Site) -> None:
    _move_homes(site)

    def back() -> None:
        revision = site.platform.newest_text + 1
        text = TEXT.replace("former endpoints = ", "former endpoints = c-orders")
        site.platform.publish_text(revision, text)

    site.world.after(0.5, back)


def _restart_released_home(site: Site) -> None:
    """Move homes; then a home that released keys restarts on the old text."""
    old = site.platform.text
    _move_homes(site)

    def restart() -> None:
        site.platform.text = old
        _kill(lambda s: s.endpoints["a-orders"], _RESTART, site)

    site.world.after(1.5, restart)
    site.world.after(
        _DOWN, lambda: site.platform.publish_text(site.platform.newest_text, MOVED_TEXT)
    )


def _leave_endpoint(site: Site) -> None:
    endpoint = site.endpoints[_endpoint(site).name]
    site.record_plan("leave", endpoint.name)
    endpoint.leave(lambda: site.world.after(_RESTART, endpoint.start))


def _leave_entry(site: Site) -> None:
    entry = next(iter(site.entries.values()))
    entry.leave(lambda: site.world.after(_RESTART, entry.start))


def _caller_comes_by_another_entry(site: Site) -> None:
    # The step is reached inside a call; the caller acts after it.
    site.world.after(0.0, site.watched.impatient)


FAULTS: dict[str, Callable[[Site], None]] = {
    "entry killed": partial(_kill, _entry, _RESTART),
    "endpoint daemon killed": partial(_kill, _endpoint, _RESTART),
    "engine killed": partial(_kill, _engine, _DOWN),
    "engine cold restart": partial(_kill, _engine, _ENGINE_RESTART),
    "entry frozen": partial(_freeze, _entry),
    "endpoint daemon frozen": partial(_freeze, _endpoint),
    "engine frozen": partial(_freeze, _engine),
    "cut off from others": partial(_cut, others=True, platform=False),
    "cut off from platform": partial(_cut, others=False, platform=True),
    "cut off from both": partial(_cut, others=True, platform=True),
    "request late": partial(_message, "request", "late"),
    "request doubled": partial(_message, "request", "doubled"),
    "request lost": partial(_message, "request", "lost"),
    "reply late": partial(_message, "reply", "late"),
    "reply doubled": partial(_message, "reply", "doubled"),
    "reply reordered": partial(_message, "reply", "reordered"),
    "reply lost": partial(_message, "reply", "lost"),
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
    "caller retries by another entry": _caller_comes_by_another_entry,
}
"""Each fault by its name."""

PLANNED = frozenset(
    {
        "data centre marked out",
        "data centre marked out and in",
        "homes move",
        "endpoint leaves",
        "entry leaves",
    }
)
"""Faults that are planned acts of operators and may hurt nobody."""
