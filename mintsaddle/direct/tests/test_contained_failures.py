"""Exceptions of one exchange, group or data centre in loops that serve all."""

from types import SimpleNamespace
from typing import Any

import pytest

from mintsaddle.direct import _groups, _maps, _paths
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._maps import MapCoordinator
from mintsaddle.direct._watchdog import Watchdog, WatchedExchange
from mintsaddle.platform.tests.standins import wait_for
from mintsaddle.platform.tests.test_taking_items import SETTINGS
from mintsaddle.process import FailureLog, Supervisor


class StopLoop(BaseException):
    """Ends a loop that survives exceptions."""


class CheckedItems:
    """Counts checks; those of the item "bad" fail."""

    def __init__(self) -> None:
        self.good = 0

    def check(self, item: str) -> None:
        if item == "bad":
            raise RuntimeError
        self.good += 1
        if self.good == 3:
            raise StopLoop


@pytest.fixture
def gateway() -> Gateway:
    return Gateway(SETTINGS)


class FakeExchange:
    """An exchange that records whether it was aborted."""

    def __init__(self) -> None:
        self.is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True


def fail() -> bool:
    raise RuntimeError


class TestWatchdog:
    def test_one_exchange_costs_no_other(self) -> None:
        """Guards against endpoints that work on for callers that have left."""
        supervisor = Supervisor()
        watchdog = Watchdog(lambda: 0.0)
        left = FakeExchange()
        exchanges: list[Any] = [FakeExchange() for _ in range(20)]
        for exchange in exchanges:
            watchdog.add(WatchedExchange(exchange, fail, 9.0))
        watchdog.add(WatchedExchange(left, lambda: True, 9.0))  # type: ignore[arg-type]
        watchdog.start(supervisor)
        wait_for(lambda: left.is_aborted, "aborted exchange")
        wait_for(
            lambda: supervisor.failures.counts == {"watchdog": 20}, "recorded failures"
        )
        assert not any(exchange.is_aborted for exchange in exchanges)


class TestPaths:
    def test_one_data_centre_costs_no_other(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        failures, items = FailureLog(), CheckedItems()
        reach = SimpleNamespace(wait_for_checks=lambda: ("bad", "good"))
        gateway: Any = SimpleNamespace(reach=reach)
        monkeypatch.setattr(
            _paths,
            "_check_data_centre",
            lambda _gateway, _pool, name: items.check(name),
        )
        with pytest.raises(StopLoop):
            _paths._check_forever(gateway, failures)
        assert failures.counts == {"paths": 3}


class TestGroups:
    def test_one_group_costs_no_other(
        self, monkeypatch: pytest.MonkeyPatch, gateway: Gateway
    ) -> None:
        failures, items = FailureLog(), CheckedItems()
        calls: Any = None
        monkeypatch.setattr(gateway.groups, "down_groups", lambda: ("bad", "good"))
        monkeypatch.setattr(
            _groups, "_check_group", lambda _gateway, _calls, name: items.check(name)
        )
        with pytest.raises(StopLoop):
            _groups._run(gateway, calls, failures)
        assert failures.counts == {"groups": 3}


class TestMaps:
    def test_one_group_costs_no_other(
        self, monkeypatch: pytest.MonkeyPatch, gateway: Gateway
    ) -> None:
        """Guards against groups that stay held because of another group."""
        failures, items = FailureLog(), CheckedItems()
        membership: Any = None
        coordinator = MapCoordinator(gateway, membership, failures)
        groups = [SimpleNamespace(name=name) for name in ("bad", "good")]
        monkeypatch.setattr(_maps, "find_rank_groups", lambda _: groups)
        monkeypatch.setattr(gateway, "duties", dict)
        monkeypatch.setattr(coordinator._poller, "is_reachable", lambda _: True)
        monkeypatch.setattr(
            coordinator, "_manage", lambda group, _: items.check(group.name)
        )
        with pytest.raises(StopLoop):
            coordinator._run()
        assert failures.counts == {"maps": 3}
