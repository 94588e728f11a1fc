"""A gateway with one fake engine, and threads that place calls."""

import json
import threading
import time
from collections.abc import Sequence
from typing import Any

import pytest

from mintsaddle.decisions.direct import (
    DirectCall,
    EngineLoad,
    Incarnation,
    PublishedItem,
)
from mintsaddle.direct._availability import (
    CallerDisconnectedError,
)
from mintsaddle.direct._choice import choose_endpoint
from mintsaddle.direct._gateway import Gateway
from mintsaddle.platform.tests.standins import make_configuration, wait_for
from mintsaddle.platform.tests.test_taking_items import ANNOUNCED, SETTINGS, apply

SLOTS = 6
OBJECTIVE = 1.2
SCHEDULING_SECONDS = 0.15
"""Delay of a thread on a busy machine."""

STEPS_PER_SECOND = 20
PROBE_SECONDS = 0.003
"""Usual time until agents reply."""

GROUP = "desk/g"


class FakeEngines:
    """One engine's load, which a test sets and placements increase."""

    def __init__(self, gateway: Gateway, monkeypatch: pytest.MonkeyPatch) -> None:
        self.requests = 0
        self.epoch = 1
        self.probe_seconds = PROBE_SECONDS
        self.placed: list[str] = []
        """Names of the callers that got an endpoint, in order."""

        self._gateway = gateway
        record_chosen = gateway.record_chosen

        self._has_room_for_one = False

        def count_chosen(endpoint: Incarnation) -> None:
            self.requests += 1
            if self._has_room_for_one:
                self.fill()
            self.placed.append(threading.current_thread().name)
            record_chosen(endpoint)

        monkeypatch.setattr(gateway.probe, "read_loads", self._read_loads)
        monkeypatch.setattr(gateway, "record_chosen", count_chosen)

    def _read_loads(self, endpoints: Sequence[Incarnation]) -> dict[str, EngineLoad]:
        time.sleep(self.probe_seconds)
        step = int(self._gateway.now() * STEPS_PER_SECOND)
        return {
            endpoint.name: EngineLoad(self.requests, self.epoch, step)
            for endpoint in endpoints
        }

    def fill(self) -> None:
        """Let no level be admitted."""
        self._has_room_for_one = False
        self.requests = 2 * SLOTS

    def leave_room_for_one(self) -> None:
        """Let one call of any level be admitted."""
        self._has_room_for_one = True
        self.requests = int(0.8 * SLOTS)


class Caller:
    """A call that a thread places."""

    def __init__(self, gateway: Gateway, name: str, call: DirectCall) -> None:
        self.name = name
        self.result: Any = None
        self.left = threading.Event()
        self._ended_at = 0.0
        self._started_at = time.monotonic()

        def choose() -> None:
            try:
                self.result = choose_endpoint(gateway, call, self.left.is_set)
            except CallerDisconnectedError as error:
                self.result = error
            self._ended_at = time.monotonic()

        self._thread = threading.Thread(target=choose, name=name, daemon=True)
        self._thread.start()

    @property
    def has_ended(self) -> bool:
        """Whether the call was placed, refused or dropped."""
        return not self._thread.is_alive()

    def join(self) -> float:
        """Wait for the end; return the seconds that it took."""
        wait_for(lambda: self.has_ended, f"end of {self.name}")
        return self._ended_at - self._started_at


class Desk:
    """A gateway with one engine, and its callers."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, priorities: Sequence[int]
    ) -> None:
        self.gateway = Gateway(SETTINGS)
        routes = [
            {
                "name": f"route-{priority}",
                "host": "desk.example",
                "prefix": f"/{priority}/",
                "kind": "streaming",
                "timeout_ms": 8000,
                "target_latency_ms": OBJECTIVE * 1000,
                "priority": priority,
                "service": "desk",
            }
            for priority in priorities
        ]
        configuration = json.dumps(make_configuration(routes=routes))
        group = {"name": "g", "epoch": 1, "rank": 0, "state": "open"}
        announced = json.dumps({**json.loads(ANNOUNCED), "group": group, "size": 1})
        apply(
            self.gateway,
            PublishedItem("op/config", 5, configuration.encode()),
            PublishedItem("servers/i-1", 6, announced.encode()),
        )
        # No call belongs to the minimum share.
        monkeypatch.setattr(self.gateway.overload, "draw", lambda _: 0.9)
        self.engines = FakeEngines(self.gateway, monkeypatch)
        self.callers: list[Caller] = []

    @property
    def waiting(self) -> int:
        """Number of calls in the queue."""
        return self.gateway.overload.waiting.get("desk", 0)

    def make_call(self, priority: int, request_id: str = "r") -> DirectCall:
        table = self.gateway.directory.table
        assert table is not None
        (route,) = (
            route
            for route in table.hosts["desk.example"]
            if route.name == f"route-{priority}"
        )
        now = self.gateway.now()
        due_at = now + route.objective
        return DirectCall(request_id, route, "desk", "north", now, now + 8.0, due_at)

    def start(self, priority: int, name: str = "", request_id: str = "") -> Caller:
        """Start a caller that is alone in its turn to enqueue."""
        name = name or f"caller-{len(self.callers)}"
        call = self.make_call(priority, request_id or name)
        caller = Caller(self.gateway, name, call)
        self.callers.append(caller)
        return caller

    def start_waiting(self, *priorities: int) -> list[Caller]:
        """Start callers one after the other, each when the last one waits."""
        callers = []
        for priority in priorities:
            number = self.waiting + 1
            callers.append(self.start(priority))
            self.wait_for_waiting(number)
        # A first attempt that is under way could still get a slot.
        time.sleep(10 * PROBE_SECONDS)
        return callers

    def wait_for_waiting(self, number: int) -> None:
        """Wait until a number of calls are in the queue."""
        wait_for(lambda: self.waiting == number, f"{number} waiting calls")

    def wait_for_placed(self, number: int) -> None:
        """Wait until a number of callers have an endpoint."""
        wait_for(lambda: len(self.engines.placed) >= number, "placement")

    def stop(self) -> None:
        """Let all callers leave."""
        for caller in self.callers:
            caller.left.set()
        for caller in self.callers:
            caller.join()


def assert_placed(caller: Caller) -> None:
    caller.join()
    assert isinstance(caller.result, Incarnation)
