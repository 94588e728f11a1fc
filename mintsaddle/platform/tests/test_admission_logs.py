"""The log lines of streams that are admitted by priority level."""

import json
import logging
import threading
from collections.abc import Iterator, Sequence
from functools import partial

import pytest

from mintsaddle.cli._admission_story import describe_admission
from mintsaddle.decisions.direct import (
    EngineLoad,
    Incarnation,
    KeyHolder,
    PublishedItem,
    match_route,
)
from mintsaddle.direct import _overload
from mintsaddle.direct._calls import make_call
from mintsaddle.direct._choice import choose_endpoint
from mintsaddle.direct._gateway import Gateway
from mintsaddle.platform import read_request_head
from mintsaddle.platform.tests.standins import make_configuration, wait_for
from mintsaddle.platform.tests.test_taking_items import ANNOUNCED, SETTINGS, apply
from mintsaddle.values import Reason

SLOTS = 6
"""Slots of the announced endpoint."""

CHAT, BATCH = 0, 2
"""Priorities of the two routes."""


class StubProbe:
    """Reports a load that the test sets."""

    def __init__(self, requests: int) -> None:
        self.requests = requests

    def read_loads(self, endpoints: Sequence[Incarnation]) -> dict[str, EngineLoad]:
        return {
            endpoint.name: EngineLoad(self.requests, epoch=1, step=9)
            for endpoint in endpoints
        }


class Site:
    """One entry, one endpoint, and callers on two routes."""

    def __init__(self, gateway: Gateway, probe: StubProbe) -> None:
        self.gateway = gateway
        self.probe = probe
        self.results: dict[str, Incarnation | Reason] = {}
        self._threads: list[threading.Thread] = []

    def call(self, request_id: str, priority: int, workspace: str = "north") -> None:
        thread = threading.Thread(
            target=self._run, args=(request_id, priority, workspace), daemon=True
        )
        self._threads.append(thread)
        thread.start()

    def join(self) -> None:
        for thread in self._threads:
            thread.join()

    def _run(self, request_id: str, priority: int, workspace: str) -> None:
        gateway = self.gateway
        assert gateway.directory.table is not None
        route = match_route(
            gateway.directory.table, "desk.example", f"/stream{priority}/"
        )
        assert route is not None
        head = read_request_head({})._replace(request_id=request_id)
        now = gateway.now()
        holder = KeyHolder(workspace, None)
        call = make_call(head, route, holder, now, now + route.objective)
        self.results[request_id] = choose_endpoint(gateway, call, lambda: False)


@pytest.fixture
def site(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> Iterator[Site]:
    """A full endpoint, and a queue for two waiting calls."""
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(_overload, "MAX_WAITING_CALLS", 2)
    gateway = Gateway(SETTINGS)
    probe = StubProbe(requests=2 * SLOTS)
    monkeypatch.setattr(gateway, "_probe", probe)
    kinds = make_configuration()["routes"]
    assert isinstance(kinds, list)
    letter = next(route for route in kinds if route["kind"] == "streaming")
    routes = [
        {
            **letter,
            "name": f"stream{priority}",
            "prefix": f"/stream{priority}/",
            "priority": priority,
            # Calls wait for a second, so that a busy machine delays no test.
            "target_latency_ms": 1200,
        }
        for priority in (CHAT, BATCH)
    ]
    table = make_configuration(routes=routes)
    apply(
        gateway,
        PublishedItem("op/config", 4, json.dumps(table).encode()),
        PublishedItem("servers/i-1", 5, ANNOUNCED),
    )
    # Without draws below the minimum share, the levels decide.
    monkeypatch.setattr(gateway.overload, "draw", lambda _: 0.9)
    site = Site(gateway, probe)
    yield site
    site.join()


def find_lines(caplog: pytest.LogCaptureFixture, request_id: str) -> list[str]:
    return [
        message
        for message in caplog.messages
        if f"request={request_id} " in message or f"request={request_id}." in message
    ]


class TestAdmissionLogs:
    def test_a_displaced_request_is_explained(
        self, site: Site, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against a refusal whose cause no log line tells."""
        queue = site.gateway.overload.queue("desk")

        def is_size(size: int) -> bool:
            return queue.size == size

        for number in (1, 2):
            site.call(f"batch-{number}", BATCH)
            wait_for(partial(is_size, number), "waiting call")
        site.call("chat-1", CHAT)
        site.join()
        lines = find_lines(caplog, "batch-2")
        assert [line.split("request=")[0] for line in lines] == [
            "[calls] Request waits ",
            "[calls] Request displaced ",
            "[calls] Request not admitted ",
        ]
        assert " level=1 late=False position=2 waiting=2 until=" in lines[0]
        assert " service=desk priority=0/2 level=1 over_share=False " in lines[2]
        assert " loads_age=None " in lines[2]
        assert "displaced from the full queue" in describe_admission(lines)

    def test_a_refusal_names_its_inputs(
        self, site: Site, caplog: pytest.LogCaptureFixture
    ) -> None:
        site.call("chat-1", CHAT)
        site.join()
        (refusal,) = find_lines(caplog, "chat-1")[-1:]
        assert " probed=1 requests=12 slots=6 waited=" in refusal
        for name in ("loads_age", "shares_age", "version", "age"):
            assert f" {name}=" in refusal
        assert "loads_age=None" not in refusal
        lines = site.gateway.metrics.lines()
        assert 'mintsaddle_waited{level="0"} 1' in lines
        assert not any("refused_at_once" in line for line in lines)

    def test_a_call_logs_its_wait_once(
        self, site: Site, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against a line for each attempt of each waiting call."""
        site.call("chat-1", CHAT)
        wait_for(lambda: find_lines(caplog, "chat-1") != [], "log line")
        site.probe.requests = 0
        site.join()
        lines = find_lines(caplog, "chat-1")
        assert [line.split("request=")[0] for line in lines] == [
            "[calls] Request waits ",
            "[calls] Chosen ",
        ]

    def test_workspaces_over_their_share_are_named(
        self, site: Site, caplog: pytest.LogCaptureFixture
    ) -> None:
        use = site.gateway.workspace_use
        now = site.gateway.now()
        for workspace, work in (("north", 900.0), ("south", 100.0), ("west", 100.0)):
            use.record(workspace, work, now)
        use.record_not_admitted(now)
        site.call("chat-1", CHAT, "north")
        site.call("chat-2", CHAT, "south")
        site.join()
        lines = find_lines(caplog, "chat-1")
        assert lines[0].startswith("[calls] Request over share ")
        assert " workspace=north own_level=0 level=1 late=False share=" in lines[0]
        assert "over_share=True" in lines[-1]
        assert "over share" not in find_lines(caplog, "chat-2")[0]

    def test_an_overload_logs_its_beginning_and_its_end(
        self, site: Site, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against a line for each call under overload."""
        for number in range(3):
            site.call(f"chat-{number}", CHAT)
        site.join()
        overload = site.gateway.overload
        now = site.gateway.now()
        overload.end_overloads(now)
        for _ in range(2):
            overload.end_overloads(now + 60.0)
        lines = [line for line in caplog.messages if "Overload" in line]
        assert [line.split("service=")[0] for line in lines] == [
            "[calls] Overload began ",
            "[calls] Overload ended ",
        ]
        assert lines[1].endswith(" calls=3.")
