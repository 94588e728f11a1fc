"""A store that cuts waiting watches, or doesn't answer for a while."""

import socket
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Site, Store, wait_for

CUT_PAUSE_SECONDS = 0.02
"""Time between a cut and what the store changes next; shorter than the pause
of an entry after a failed call."""

REMOVAL_SECONDS = 1.0
"""Half of the time for which a removed endpoint still serves."""

RETURN_SECONDS = 2.0
"""Within this time of an outage, running endpoints announce themselves."""


class CuttingStore(Store):
    """A store that can cut the connections of the watches that wait."""

    def __init__(self) -> None:
        self._watching: set[socket.socket] = set()
        super().__init__()

    def handle(self, handler: Any) -> None:
        if "kv-watch" not in handler.path:
            super().handle(handler)
            return
        self._watching.add(handler.connection)
        try:
            super().handle(handler)
        finally:
            self._watching.discard(handler.connection)

    def cut_watches(self) -> int:
        """Cut waiting watches; return how many there were."""
        watching = tuple(self._watching)
        for connection in watching:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        return len(watching)


class CuttingSite(Site):
    """A site with such a store."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.cutting_store = CuttingStore()
        self.store = self.cutting_store

    def cut(self) -> None:
        """Cut a watch that has begun to wait."""
        wait_for(lambda: self.cutting_store.cut_watches() > 0, "waiting watch")
        time.sleep(CUT_PAUSE_SECONDS)

    def count_used(self) -> int:
        """Return how many endpoints the entry uses by its log."""
        lines = self.entry.log().splitlines()
        changes = [line for line in lines if "Directory changed" in line]
        return int(changes[-1].split(" endpoints=")[1].split()[0])


@pytest.fixture(params=[True, False], ids=["era sent", "era not sent"])
def site(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[CuttingSite]:
    site = CuttingSite(tmp_path)
    site.store.sends_era = request.param
    yield from standins.run(site)


class TestRemovalsAfterCuts:
    @pytest.mark.parametrize("cuts", [1, 3])
    def test_one_is_applied_at_once(self, site: CuttingSite, cuts: int) -> None:
        """Guards against requests to an endpoint that is gone."""
        for _ in range(cuts):
            site.cut()
        site.store.delete("servers/e-1")
        time.sleep(REMOVAL_SECONDS)
        assert site.count_used() == 1

    def test_one_is_applied_at_once_without_the_history(
        self, site: CuttingSite
    ) -> None:
        """Guards against a removal that only a full read shows."""
        site.cut()
        site.store.delete("servers/e-1")
        site.store.forget_history()
        time.sleep(REMOVAL_SECONDS)
        assert site.count_used() == 1


class TestRemovalsAfterOutages:
    def test_an_expired_announcement_may_come_back(self, site: CuttingSite) -> None:
        """Guards against running endpoints dropped after an outage."""
        site.store.is_down = True
        wait_for(lambda: "Platform lost" in site.entry.log(), "lost store")
        site.store.delete("servers/e-1")
        site.store.is_down = False
        wait_for(lambda: "Platform regained" in site.entry.log(), "regained store")
        assert site.count_used() == 2
        time.sleep(RETURN_SECONDS + REMOVAL_SECONDS)
        assert site.count_used() == 1
