"""Which data centres an entry reaches.

Load pattern: a data centre is cut off from the others, and callers still reach
its entries. Each request that has to leave it tries one endpoint after the
other, each for as long as a connection may take, until its caller gives up,
though all of them are behind the same cut. So what fails on the way counts for
the whole data centre, once some connections of its own have confirmed it.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

SUSPECT_MISSES = 3
"""Missing answers in a row after which a path is checked: single datagrams and
endpoints are lost without a cut."""

CHECKS = 2
"""Endpoints of a data centre that are connected to in one check."""


class _Path(NamedTuple):
    misses: int = 0
    """Answers that didn't come since the last one that came."""

    is_cut: bool = False


class PathBeliefs:
    """What one entry knows of its paths to other data centres."""

    def __init__(self, data_centre: str) -> None:
        self._own = data_centre
        self._paths: dict[str, _Path] = {}
        self._is_platform_reached = True

    def record_answer(self, data_centre: str) -> None:
        """Note that something came from a data centre."""
        self._paths.pop(data_centre, None)

    def record_miss(self, data_centre: str, weight: int = 1) -> bool:
        """Note that something didn't come.

        Args:
            data_centre: Where it should have come from.
            weight: How many lost datagrams it speaks for.

        Returns:
            Whether the path has to be checked.
        """
        if data_centre in ("", self._own):
            return False
        path = self._paths.get(data_centre, _Path())
        self._paths[data_centre] = path._replace(misses=path.misses + weight)
        return path.misses + weight >= SUSPECT_MISSES

    def record_check(
        self, data_centre: str, data_centres: Iterable[str], *, reached: bool
    ) -> bool:
        """Note whether endpoints of a data centre took a connection.

        One cut puts all paths in doubt: it may be the entry's own data centre
        that is cut off.

        Args:
            data_centre: The data centre.
            data_centres: All that have endpoints.
            reached: Whether one of its endpoints took a connection.

        Returns:
            Whether that changes what is believed.
        """
        path = self._paths.get(data_centre, _Path())
        if reached:
            self._paths.pop(data_centre, None)
            return path.is_cut
        self._paths[data_centre] = path._replace(is_cut=True)
        if not path.is_cut:
            for other in data_centres:
                self.record_miss(other, SUSPECT_MISSES)
        return not path.is_cut

    def record_platform(self, *, reached: bool) -> None:
        """Note whether the platform took a connection."""
        self._is_platform_reached = reached

    def to_check(self) -> tuple[str, ...]:
        """Return the data centres whose paths are in doubt or cut."""
        return tuple(
            name
            for name, path in self._paths.items()
            if path.is_cut or path.misses >= SUSPECT_MISSES
        )

    def is_cut(self, data_centre: str) -> bool:
        """Return whether endpoints of a data centre can't be reached."""
        path = self._paths.get(data_centre)
        return path is not None and path.is_cut

    def cut_data_centres(self) -> list[str]:
        """Return all data centres whose endpoints can't be reached."""
        return [name for name, path in self._paths.items() if path.is_cut]

    def is_isolated(self, data_centres: Collection[str]) -> bool:
        """Return whether this entry's data centre is the one that is cut off.

        Guards against the last data centre that lives taking itself for cut
        off: it still reaches the platform.

        Args:
            data_centres: All that have endpoints.
        """
        others = [one for one in data_centres if one != self._own]
        if not others or self._is_platform_reached:
            return False
        return all(self.is_cut(one) for one in others)
