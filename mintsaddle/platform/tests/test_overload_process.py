"""Entry processes in front of a rank group with too few slots.

The entries and the rank agents are processes; the engines and the store are
fakes in the test process.
"""

import http.client
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.rank_engines import (
    EVENTS,
    SLOTS,
    STEP_SECONDS,
    RankEngine,
)
from mintsaddle.platform.tests.standins import Entry, Store, wait_for

ENTRIES, ENGINES, PRIORITIES = 5, 3, (0, 1, 2)
CAPACITY = ENGINES * SLOTS / (EVENTS * STEP_SECONDS)
"""Streams per second that the engines complete."""

RATE = 1.8 * CAPACITY
SECONDS = 8.0
OBJECTIVE = 1.0
DEADLINE = 4.0
TIMEOUT = DEADLINE + 1.0
"""Longest wait of a caller; the margin is for a busy test process."""

KILLED, FROZEN, CUT_OFF, SPARE = 0, 1, 2, 3
FROZEN_SECONDS = 1.5

MINIMUM_SHARE = 0.25
"""How often the last priority is served at least, relative to all."""


class Answer(NamedTuple):
    """What a caller got."""

    request_id: str
    priority: int
    kind: str
    """One of served, refused, failed and lost."""

    seconds: float
    first_seconds: float


class OverloadedSite:
    """Entries, engines with agents, and a store for each side of a cut."""

    def __init__(self, folder: Path) -> None:
        (agent_port,) = standins.free_ports(1)
        self.engines = [RankEngine(n, ENGINES, agent_port) for n in range(ENGINES)]
        self.stores = [Store(), Store()]
        self.entries: list[Entry] = []
        self.answers: list[Answer] = []
        self.lost: list[int] = []
        """Entries at which callers lost their connection."""

        routes = [
            {
                "name": f"route-{priority}",
                "host": "desk.example",
                "prefix": f"/{priority}/",
                "kind": "streaming",
                "timeout_ms": DEADLINE * 1000,
                "target_latency_ms": OBJECTIVE * 1000,
                "priority": priority,
                "service": "desk",
                "max_attempts": 2,
            }
            for priority in PRIORITIES
        ]
        for store in self.stores:
            store.put("op/config", standins.make_configuration(routes=routes))
            for engine in self.engines:
                store.put(f"servers/{engine.name}", engine.announcement())
        for number in range(ENTRIES):
            store = self.stores[number == CUT_OFF]
            is_first = number in (0, CUT_OFF)
            seeds = [] if is_first else [self.entries[0].control]
            name = f"entry-{number}"
            entry = Entry(folder, name, store.address, seeds, agent_port)
            self.entries.append(entry)

    def stop(self) -> None:
        for entry in self.entries:
            entry.stop()
        for engine in self.engines:
            engine.stop()

    def call(self, number: int, entry: int) -> None:
        """Send a stream and record its answer.

        If the connection is lost, another entry is called with another id, as
        the first stream may have run.
        """
        request_id, priority = f"request-{number}", PRIORITIES[number % 3]
        started_at = time.monotonic()
        kind, first_seconds = self.send(request_id, priority, entry, started_at)
        if kind == "lost":
            self.lost.append(entry)
            request_id, entry = f"{request_id}-again", SPARE
            kind, first_seconds = self.send(request_id, priority, entry, started_at)
        seconds = time.monotonic() - started_at
        answer = Answer(request_id, priority, kind, seconds, first_seconds)
        self.answers.append(answer)

    def send(
        self, request_id: str, priority: int, entry: int, started_at: float
    ) -> tuple[str, float]:
        """Return the kind of the answer, and seconds until its first event."""
        try:
            response = (
                self.entries[entry]
                .open(
                    "POST",
                    f"/{priority}/x",
                    X_Mintsaddle_Attempt_Id=request_id,
                    X_Mintsaddle_Deadline_Ms=str(int(DEADLINE * 1000)),
                )
                .getresponse()
            )
            body = response.readline()
            first_seconds = time.monotonic() - started_at
            body += response.read()
        except (OSError, http.client.HTTPException):
            return "lost", 0.0
        if response.status == 503:
            return "refused", 0.0
        is_whole = response.status == 200 and body.count(b"id: ") == EVENTS
        return "served" if is_whole else "failed", first_seconds

    def run(self) -> None:
        """Send streams to the entries, some of which fail meanwhile."""
        started_at = time.monotonic()
        callers: list[threading.Thread] = []
        faults: list[tuple[float, Callable[[], None]]] = [
            (2.0, lambda: self.entries[KILLED].stop()),
            (3.0, lambda: self.signal(FROZEN, signal.SIGSTOP)),
            (4.0, self.cut_off),
            (3.0 + FROZEN_SECONDS, lambda: self.signal(FROZEN, signal.SIGCONT)),
        ]
        for number in range(round(SECONDS * RATE)):
            at = started_at + number / RATE
            time.sleep(max(0.0, at - time.monotonic()))
            while faults and at >= started_at + faults[0][0]:
                faults.pop(0)[1]()
            # Each priority calls each entry equally often.
            entry = number // len(PRIORITIES) % ENTRIES
            thread = threading.Thread(target=self.call, args=(number, entry))
            thread.start()
            callers.append(thread)
        for thread in callers:
            thread.join()

    def signal(self, entry: int, number: signal.Signals) -> None:
        self.entries[entry].process.send_signal(number)

    def cut_off(self) -> None:
        """Cut an entry off from its store; it knows no other entries."""
        self.stores[1].is_down = True

    def executions(self) -> Counter[str]:
        """Return how often each request began to run."""
        total: Counter[str] = Counter()
        for engine in self.engines:
            total.update(engine.executions)
        return total


@pytest.fixture
def site(tmp_path: Path) -> Iterator[OverloadedSite]:
    site = OverloadedSite(tmp_path)
    try:
        for entry in site.entries:
            wait_for(entry.is_ready, "ready entry")
        yield site
    finally:
        site.stop()


def on_time_share(answers: list[Answer], priority: int) -> float:
    """Return the share of a priority's callers that are served on time."""
    on_time = [
        answer.kind == "served" and answer.first_seconds <= OBJECTIVE
        for answer in answers
        if answer.priority == priority
    ]
    return sum(on_time) / len(on_time)


def served_share(answers: list[Answer], *priorities: int) -> float:
    """Return the share of callers of some priorities that are served."""
    served = [
        answer.kind == "served" for answer in answers if answer.priority in priorities
    ]
    return sum(served) / len(served)


class TestTooLittleCapacity:
    def test_answers_are_true_while_entries_fail(self, site: OverloadedSite) -> None:
        """Guards against lost or untrue answers and a wrong order."""
        site.run()
        answers, executions = site.answers, site.executions()
        assert len(answers) == round(SECONDS * RATE)
        assert max(answer.seconds for answer in answers) <= TIMEOUT
        for answer in answers:
            assert answer.kind in ("served", "refused")
            assert executions[answer.request_id] == (answer.kind == "served")
        # Only the killed entry leaves callers without an answer.
        assert set(site.lost) == {KILLED}
        assert any(answer.kind == "refused" for answer in answers)
        first, *_, last = (on_time_share(answers, p) for p in PRIORITIES)
        assert first >= last
        all_served = served_share(answers, *PRIORITIES)
        assert served_share(answers, PRIORITIES[-1]) >= MINIMUM_SHARE * all_served
