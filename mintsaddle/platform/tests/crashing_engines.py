"""Engines that end as they begin to write on a part of a prompt."""

import contextlib
import itertools
import socket
import threading
import time
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any, Final

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Endpoint, Entry, Store, wait_for

SHARED_PART: Final = "a0"
"""The first part, which all requests of the tests share."""

CRASHING_PART: Final = "bad0"
CRASHING_TARGET: Final = "/lookup/crashing"
"""Path of the request that ends an engine before it answers."""

RESTART_SECONDS = 0.3
"""Seconds after which an engine that ended is back under another name."""

ANNOUNCEMENT_SECONDS = 0.2
"""Seconds by when entries know of an engine."""

_PROMPT = "X-Mintsaddle-Prompt-Prefix"


class CrashingEngine(Endpoint):
    """An engine that ends at the head of an answer to a crashing request.

    Its listener and all of its connections are closed, as for a process that
    is gone.
    """

    def __init__(self, name: str, on_end: Callable[["CrashingEngine"], None]) -> None:
        super().__init__(name)
        self._on_end = on_end
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._has_ended = False
        self.holds_requests = False
        """Whether new requests wait in its queue until their caller leaves."""

    def handle(self, handler: Any) -> None:
        with self._lock:
            self._connections.add(handler.connection)
        self.requests.append({"target": handler.path, **dict(handler.headers.items())})
        parts = handler.headers.get(_PROMPT, "").split(",")
        if self.holds_requests:
            standins.never_respond(self, handler)
        elif any(part.startswith(f"{CRASHING_PART}:") for part in parts):
            self._begin_stream(handler)
            self.end()
            handler.close_connection = True
        elif handler.path == CRASHING_TARGET:
            self.end()
            handler.close_connection = True
        else:
            standins.stream_events(1, 3, pause=0.01)(self, handler)

    def end(self) -> None:
        """End as a process does."""
        with self._lock:
            if self._has_ended:
                return
            self._has_ended = True
        # The listener first: an answer that breaks is followed by a check.
        for open_socket in (self._server.socket, *self._connections):
            with contextlib.suppress(OSError):
                open_socket.shutdown(socket.SHUT_RDWR)
        self._server.shutdown()
        self._server.server_close()
        self._on_end(self)

    @staticmethod
    def _begin_stream(handler: BaseHTTPRequestHandler) -> None:
        handler.send_response(200)
        attempt = "X-Mintsaddle-Attempt-Id"
        handler.send_header(attempt, handler.headers[attempt])
        handler.send_header("X-Mintsaddle-Response-Stamp", "begun")
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        handler.wfile.flush()


class CrashingSite:
    """A store, engines that come back after they end, and entries."""

    def __init__(self, folder: Path, engines: int = 4) -> None:
        self._folder = folder
        self._names = itertools.count(1)
        self._lock = threading.Lock()
        self._stopped = False
        self._count = engines
        self.store = Store()
        self.store.put("op/config", standins.make_configuration())
        self.engines: list[CrashingEngine] = []
        self.ends: list[float] = []
        """When each engine ended, on the monotonic clock."""

        self.entries: list[Entry] = []
        for _ in range(engines):
            self.add_engine()

    def add_engine(self) -> None:
        """Start and announce an engine."""
        with self._lock:
            if self._stopped:
                return
            engine = CrashingEngine(f"e-{next(self._names)}", self._replace)
            self.engines.append(engine)
            announcement = standins.make_announcement(engine, "desk")
            self.store.put(f"servers/{engine.name}", announcement)

    def add_entry(self) -> Entry:
        """Start an entry that finds the others, and wait until it serves."""
        name = f"entry-{len(self.entries) + 1}"
        seeds = [entry.control for entry in self.entries[:1]]
        entry = Entry(self._folder, name, self.store.address, seeds)
        self.entries.append(entry)
        wait_for(entry.is_ready, "ready entry")
        return entry

    def await_engines(self) -> None:
        """Wait until all engines are back and the entries know them."""

        def are_back() -> bool:
            return len(self.engines) - len(self.ends) == self._count

        if not are_back():
            wait_for(are_back, "engines that are back")
            time.sleep(ANNOUNCEMENT_SECONDS)

    def crashing_arrivals(self) -> int:
        """Return how many requests that end engines have reached them."""
        requests = [request for engine in self.engines for request in engine.requests]
        return sum(
            f"{CRASHING_PART}:" in request.get(_PROMPT, "")
            or request["target"] == CRASHING_TARGET
            for request in requests
        )

    def stop(self) -> None:
        """Kill the entries, and start no more engines."""
        with self._lock:
            self._stopped = True
        for entry in self.entries:
            entry.stop()

    def _replace(self, engine: CrashingEngine) -> None:
        self.ends.append(time.monotonic())
        self.store.delete(f"servers/{engine.name}")
        threading.Timer(RESTART_SECONDS, self.add_engine).start()


def run_crashing_site(folder: Path, entries: int) -> Iterator[CrashingSite]:
    """Yield a site with some entries that know each other; stop it after."""
    site = CrashingSite(folder)
    try:
        for _ in range(entries):
            site.add_entry()
        # New entries exchange messages each 0.3 s until they are settled.
        time.sleep(2.0)
        yield site
    finally:
        site.stop()
