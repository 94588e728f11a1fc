"""A fake rank that runs in lockstep with the other ranks of its group.

A hub in rank 0's process is the barrier between steps. Each rank sends it, by
TCP, the number of the step that it enters and the version of its expert map.
The hub answers all ranks once the last one has entered. It counts the steps
that the ranks entered with different map versions.
"""

import json
import random
import socket
import socketserver
import threading
import time
from typing import Any

STEP_SECONDS = 0.01
"""Duration of the work before each step's barrier."""

_FIRST_VERSION = 1


class Hub:
    """The barrier that all ranks of a group pass in each step."""

    def __init__(self, ranks: int) -> None:
        self._ranks = ranks
        self._step_completed = threading.Condition()
        self._entered_versions: dict[int, dict[int, int]] = {}
        self._completed_step = 0
        self._mixed_steps = 0

    @property
    def mixed_steps(self) -> int:
        """Number of steps that ranks entered with different map versions."""
        return self._mixed_steps

    def enter_step(self, step: int, rank: int, version: int) -> None:
        """Record that a rank enters a step; wait until all ranks have."""
        with self._step_completed:
            versions = self._entered_versions.setdefault(step, {})
            versions[rank] = version
            if len(versions) == self._ranks:
                self._mixed_steps += len(set(versions.values())) > 1
                self._completed_step = step
                del self._entered_versions[step]
                self._step_completed.notify_all()
            while self._completed_step < step:
                self._step_completed.wait()


class FakeRank:
    """The state of one rank's engine, with the expert maps that it holds."""

    def __init__(self, rank: int, ranks: int, experts: int, layers: int, slots: int):
        self._lock = threading.Condition()
        self._rank = rank
        self._experts = experts
        self._layers = layers
        initial_slots = [(rank + slot * ranks) % experts for slot in range(slots)]
        self._maps = {_FIRST_VERSION: initial_slots * layers}
        self._active = _FIRST_VERSION
        self._staged = 0
        self._previous = 0
        self._hold_limit: int | None = None
        self._entered = 0
        self._completed = 0
        self._hub: Hub | None = None
        self._rng = random.Random(rank)

    def attach_hub(self, hub: Hub) -> None:
        """Set the hub, which runs in this process."""
        self._hub = hub

    def read_counts(self) -> dict[str, Any]:
        """Return the counts that tests check."""
        mixed_steps = self._hub.mixed_steps if self._hub else 0
        return {"mixed": mixed_steps, "steps": self._completed, "map": self._active}

    def run(self, hub: str) -> None:
        """Run steps forever: enter, wait for the other ranks, complete."""
        connection = _connect(hub)
        stream = connection.makefile("rw")
        while True:
            time.sleep(STEP_SECONDS)
            with self._lock:
                while (
                    self._hold_limit is not None
                    and self._entered + 1 >= self._hold_limit
                ):
                    self._lock.wait()
                self._entered += 1
                message = [self._entered, self._rank, self._active]
            stream.write(json.dumps(message) + "\n")
            stream.flush()
            if not stream.readline():
                return
            with self._lock:
                self._completed = self._entered

    def execute(self, act: str, order: dict[str, Any]) -> dict[str, Any]:
        """Execute an order and return the resulting state.

        The fencing number isn't checked.
        """
        with self._lock:
            obeyed = self._apply(act, order)
            self._lock.notify_all()
            return {
                "obeyed": obeyed,
                "active": self._active,
                "staged": self._staged,
                "previous": self._previous,
                "held": self._hold_limit is not None,
                "entered": self._entered,
                "completed": self._completed,
                "slots": self._maps[self._active],
                "popularity": self._popularity() if act == "read" else [],
                "speed": 1.0,
            }

    def _apply(self, act: str, order: dict[str, Any]) -> bool:
        if act == "stage":
            self._staged = order["version"]
            self._maps[self._staged] = order["slots"]
        elif act == "hold":
            self._hold_limit = order["limit"]
        elif act == "release":
            self._hold_limit = None
        elif act == "activate" and order["version"] != self._active:
            if order["version"] not in (self._staged, self._previous):
                return False
            self._previous, self._active = self._active, order["version"]
        return True

    def _popularity(self) -> list[int]:
        """Return token counts by layer and expert; the first two are hot."""
        return [
            round(self._rng.uniform(90, 110) * (6 if expert < 2 else 1))
            for _ in range(self._layers)
            for expert in range(self._experts)
        ]


def join_group(text: str) -> FakeRank:
    """Start a rank and return it; rank 0 also opens the hub.

    Args:
        text: ``HUB,RANK,RANKS,EXPERTS,LAYERS,SLOTS``.
    """
    hub, *numbers = text.split(",")
    rank, ranks, experts, layers, slots = map(int, numbers)
    fake = FakeRank(rank, ranks, experts, layers, slots)
    if rank == 0:
        fake.attach_hub(_open_hub(hub, ranks))
    threading.Thread(target=fake.run, args=(hub,), daemon=True).start()
    return fake


def _open_hub(address: str, ranks: int) -> Hub:
    hub = Hub(ranks)

    class Handler(socketserver.StreamRequestHandler):
        def handle(self) -> None:
            for line in self.rfile:
                step, rank, version = json.loads(line)
                hub.enter_step(step, rank, version)
                self.wfile.write(b"go\n")

    host, _, port = address.rpartition(":")
    server = socketserver.ThreadingTCPServer((host, int(port)), Handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return hub


def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    while True:
        try:
            return socket.create_connection((host, int(port)))
        except OSError:
            time.sleep(STEP_SECONDS)
