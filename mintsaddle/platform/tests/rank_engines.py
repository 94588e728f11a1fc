"""Fake engines of a rank group, with rank agents that run as processes."""

import heapq
import itertools
import subprocess
import sys
import threading
import time
from collections import Counter

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Endpoint, make_announcement

SLOTS = 5
EVENTS = 5
STEP_SECONDS = 0.1
"""Time between two events of a stream."""


class RankEngine(Endpoint):
    """A rank that runs one stream per slot; urgent ones leave its queue first.

    Requests with the same id are counted as often as they begin to run.
    """

    def __init__(self, rank: int, size: int, agent_port: int) -> None:
        self._host = f"127.0.0.{rank + 2}"
        super().__init__(f"rank-{rank}", self._host)
        self.executions: Counter[str] = Counter()
        self._rank, self._size = rank, size
        self._running = 0
        self._queued: list[tuple[int, int]] = []
        self._numbers = itertools.count()
        self._changed = threading.Condition()
        self.agent = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "mintsaddle.rank_agent",
                f"{self._host}:{agent_port}",
                self.address,
                "/mintsaddle/",
            ],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def stop(self) -> None:
        """Kill the agent."""
        self.agent.kill()
        self.agent.wait()

    def announcement(self) -> dict[str, object]:
        """Return the announcement of this rank."""
        group = {"name": "g", "epoch": 1, "rank": self._rank, "state": "open"}
        return make_announcement(
            self, "desk", group=group, size=self._size, slots=SLOTS
        )

    def handle(self, handler: standins._Handler) -> None:
        if handler.path == "/mintsaddle/report":
            handler.send_json(200, self._report())
            return
        handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        if not self._acquire_slot(int(handler.headers[URGENCY] or 0)):
            standins.refuse(self, handler)
            return
        try:
            self.executions[handler.headers["X-Mintsaddle-Attempt-Id"]] += 1
            standins.stream_events(1, EVENTS, pause=STEP_SECONDS)(self, handler)
        finally:
            with self._changed:
                self._running -= 1
                self._changed.notify_all()

    def _report(self) -> dict[str, object]:
        with self._changed:
            return {
                "group": {"epoch": 1, "state": "open"},
                "step": int(time.monotonic() / STEP_SECONDS),
                "num_running": self._running,
                "queue_depth": len(self._queued),
            }

    def _acquire_slot(self, urgency: int) -> bool:
        """Wait for a slot; return False if the queue is full."""
        with self._changed:
            if len(self._queued) >= SLOTS:
                return False
            position = (urgency, next(self._numbers))
            heapq.heappush(self._queued, position)
            while self._running >= SLOTS or self._queued[0] != position:
                self._changed.wait()
            heapq.heappop(self._queued)
            self._running += 1
            self._changed.notify_all()
            return True


URGENCY = "X-Mintsaddle-Request-Urgency"
