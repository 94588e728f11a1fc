"""Which data centres this entry reaches, shared by its threads."""

import threading
from collections.abc import Callable, Collection

from mintsaddle.decisions.direct import ReachabilityTracker
from mintsaddle.observe import fields, make_logger
from mintsaddle.values import Clock, Instant

MOVE_SECONDS = 3.0
"""Seconds from an entry's isolation until callers reach other data centres:
the balancer needs two or three of its checks, a second apart."""

_log = make_logger("paths")


class Reach:
    """Beliefs of paths under the entry's lock."""

    def __init__(
        self,
        data_centre: str,
        lock: threading.RLock,
        now: Clock,
        data_centres: Callable[[], Collection[str]],
    ) -> None:
        """Begin with all paths well.

        Args:
            data_centre: The entry's own.
            lock: The lock that guards the entry's beliefs.
            now: The clock.
            data_centres: Returns all that have endpoints.
        """
        self._paths = ReachabilityTracker(data_centre)
        self._lock = lock
        self._doubted = threading.Condition(lock)
        self._now = now
        self._data_centres = data_centres
        self._listeners: list[Callable[[], None]] = []
        self._isolated_since: Instant | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether the entry's data centre is cut off from all others."""
        with self._lock:
            # Asked with every answer, and hardly ever is anything cut.
            if not self._paths.unreachable_data_centres():
                return False
            return self._paths.is_isolated(self._data_centres())

    @property
    def cut(self) -> list[str]:
        """The data centres to which there is no path."""
        with self._lock:
            return self._paths.unreachable_data_centres()

    @property
    def seconds_to_move(self) -> float:
        """How long the balancer may still send callers to this entry."""
        since = self._isolated_since
        return MOVE_SECONDS if since is None else since + MOVE_SECONDS - self._now()

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function whenever a path is found cut or well again."""
        self._listeners.append(listener)

    def is_cut(self, data_centre: str) -> bool:
        """Return whether a data centre can't be reached; under the lock."""
        return self._paths.is_unreachable(data_centre)

    def record(self, data_centre: str, *, came: bool, weight: int = 1) -> None:
        """Note whether something came from a data centre.

        Args:
            data_centre: The data centre.
            came: Whether it came.
            weight: How many lost datagrams its absence speaks for.
        """
        with self._lock:
            if came:
                self._paths.record_answer(data_centre)
            elif self._paths.record_miss(data_centre, weight):
                self._doubted.notify()

    def await_doubts(self) -> tuple[str, ...]:
        """Return the data centres to check, as soon as there are any."""
        with self._doubted:
            while not (doubted := self._paths.to_check()):
                self._doubted.wait()
            return doubted

    def record_check(
        self, data_centre: str, *, reached: bool, is_platform_reached: bool
    ) -> None:
        """Take over whether connections to a data centre came about."""
        with self._lock:
            self._paths.record_platform(reached=is_platform_reached)
            places = self._data_centres()
            has_changed = self._paths.record_check(data_centre, places, reached=reached)
            if not self._paths.is_isolated(places):
                self._isolated_since = None
            elif self._isolated_since is None:
                self._isolated_since = self._now()
        if not has_changed:
            return
        fact = fields(
            data_centre=data_centre, reached=reached, platform=is_platform_reached
        )
        _log.warning("Path changed %s.", fact)
        for listener in self._listeners:
            listener()
