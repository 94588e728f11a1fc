"""A stand-in for one rank of a group: it steps in lock-step with the others.

The ranks of a group meet at a hub, rank 0's stand-in, over plain TCP: each
sends the step that it enters with its map's version, and the hub answers all
of them once the last one has entered. The hub counts the steps that were
entered with more than one map.
"""

import json
import random
import socket
import socketserver
import threading
import time
from typing import Any

STEP_SECONDS = 0.01
"""Seconds of work before each meeting."""

_FIRST_VERSION = 1


class Hub:
    """Where the ranks of a group meet in each step."""

    def __init__(self, ranks: int) -> None:
        self._ranks = ranks
        self._met = threading.Condition()
        self._waiting: dict[int, dict[int, int]] = {}
        self._done = 0
        self._mixed = 0

    @property
    def mixed(self) -> int:
        """Steps that were entered with more than one map."""
        return self._mixed

    def meet(self, step: int, rank: int, version: int) -> None:
        """Wait until every rank has entered a step."""
        with self._met:
            maps = self._waiting.setdefault(step, {})
            maps[rank] = version
            if len(maps) == self._ranks:
                self._mixed += len(set(maps.values())) > 1
                self._done = step
                del self._waiting[step]
                self._met.notify_all()
            while self._done < step:
                self._met.wait()


class FakeRank:
    """One rank's engine."""

    def __init__(self, rank: int, ranks: int, experts: int, layers: int, slots: int):
        self._lock = threading.Condition()
        self._rank = rank
        self._experts = experts
        self._layers = layers
        deal = [(rank + slot * ranks) % experts for slot in range(slots)]
        self._maps = {_FIRST_VERSION: deal * layers}
        self._active = _FIRST_VERSION
        self._staged = 0
        self._previous = 0
        self._limit: int | None = None
        self._entered = 0
        self._completed = 0
        self._hub: Hub | None = None
        self._rng = random.Random(rank)

    def keep_hub(self, hub: Hub) -> None:
        """Note that the hub is in this process."""
        self._hub = hub

    def show(self) -> dict[str, Any]:
        """Return the counts that tests look at."""
        mixed = self._hub.mixed if self._hub else 0
        return {"mixed": mixed, "steps": self._completed, "map": self._active}

    def run(self, hub: str) -> None:
        """Step for ever: enter, meet the others, complete."""
        link = _connect(hub)
        stream = link.makefile("rw")
        while True:
            time.sleep(STEP_SECONDS)
            with self._lock:
                while self._limit is not None and self._entered + 1 >= self._limit:
                    self._lock.wait()
                self._entered += 1
                entry = [self._entered, self._rank, self._active]
            stream.write(json.dumps(entry) + "\n")
            stream.flush()
            if not stream.readline():
                return
            with self._lock:
                self._completed = self._entered

    def obey(self, act: str, order: dict[str, Any]) -> dict[str, Any]:
        """Carry out an order, whatever its fencing number, and read back."""
        with self._lock:
            obeyed = self._act(act, order)
            self._lock.notify_all()
            return {
                "obeyed": obeyed,
                "active": self._active,
                "staged": self._staged,
                "previous": self._previous,
                "held": self._limit is not None,
                "entered": self._entered,
                "completed": self._completed,
                "slots": self._maps[self._active],
                "popularity": self._popularity() if act == "read" else [],
                "speed": 1.0,
            }

    def _act(self, act: str, order: dict[str, Any]) -> bool:
        if act == "stage":
            self._staged = order["version"]
            self._maps[self._staged] = order["slots"]
        elif act == "hold":
            self._limit = order["limit"]
        elif act == "release":
            self._limit = None
        elif act == "activate" and order["version"] != self._active:
            if order["version"] not in (self._staged, self._previous):
                return False
            self._previous, self._active = self._active, order["version"]
        return True

    def _popularity(self) -> list[int]:
        """Return tokens by layer and expert: the first experts are hot."""
        return [
            round(self._rng.uniform(90, 110) * (6 if expert < 2 else 1))
            for _ in range(self._layers)
            for expert in range(self._experts)
        ]


def join_group(text: str) -> FakeRank:
    """Return a rank that steps from now on; rank 0 keeps the hub.

    Args:
        text: ``HUB,RANK,RANKS,EXPERTS,LAYERS,SLOTS``.
    """
    hub, *numbers = text.split(",")
    rank, ranks, experts, layers, slots = map(int, numbers)
    fake = FakeRank(rank, ranks, experts, layers, slots)
    if rank == 0:
        fake.keep_hub(_open_hub(hub, ranks))
    threading.Thread(target=fake.run, args=(hub,), daemon=True).start()
    return fake


def _open_hub(address: str, ranks: int) -> Hub:
    hub = Hub(ranks)

    class Handler(socketserver.StreamRequestHandler):
        def handle(self) -> None:
            for line in self.rfile:
                step, rank, version = json.loads(line)
                hub.meet(step, rank, version)
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
