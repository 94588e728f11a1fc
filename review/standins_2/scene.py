"""A small site on loopback: entries as processes, stand-ins around them.

The entries run with the command of ``deploy/system.toml``. The store and the
engines are threads of the test, built on the project's own stand-ins. All
times are from the monotonic clock of the test.
"""

import http.client
import itertools
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from mintsaddle.platform.tests.standins import (
    ENTRY_MODULE,
    Endpoint,
    Entry,
    ProcessLimits,
    Store,
    begin_head,
    make_announcement,
    make_configuration,
    wait_for,
)

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""

DRAIN_SECONDS = 2.0
"""``drain_ms`` of the small deployments, as in the settings of the entries."""

EDGE_LIMITS = ProcessLimits(memory_mb=300, max_fds=4100)
SERVICE = "desk"


class Sent(NamedTuple):
    """One request of a client, and its end."""

    attempt: str
    path: str
    at: float
    ended_at: float
    status: int
    """0 if the connection ended without a complete answer."""


class Arrival(NamedTuple):
    """One request that an engine received and didn't answer with 421."""

    engine: str
    attempt: str
    at: float
    port: int
    """Port of the connection's other end."""


class PlatformStore(Store):
    """The platform's store; it can cut the watches that are waiting."""

    def __init__(self) -> None:
        self._watches: set[socket.socket] = set()
        self.cuts = 0
        super().__init__()
        # The pages name no era.
        self.sends_era = False

    def handle(self, handler: Any) -> None:
        """Serve a call."""
        if "kv-watch" not in handler.path:
            super().handle(handler)
            return
        self._watches.add(handler.connection)
        try:
            super().handle(handler)
        finally:
            self._watches.discard(handler.connection)

    def cut_watches(self) -> None:
        """Cut the watches that are waiting; all other calls are served."""
        for connection in tuple(self._watches):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
                self.cuts += 1


Work = Callable[["Engine", Any], None]
"""Does the work of one request and answers it."""


class Engine(Endpoint):
    """An engine: refuses requests that name another one, runs all others."""

    def __init__(self, name: str, scene: "Scene", work: Work) -> None:
        self._scene = scene
        self.work = work
        super().__init__(name)
        self.default_responder = Engine._serve

    def _serve(self, handler: Any) -> None:
        if handler.headers["X-Mintsaddle-Expect-Instance"] != self.name:
            handler.send_response(421)
            handler.send_header("Content-Length", "0")
            handler.end_headers()
            return
        attempt = handler.headers["X-Mintsaddle-Attempt-Id"]
        port = handler.client_address[1]
        self._scene.arrivals.append(Arrival(self.name, attempt, time.monotonic(), port))
        self.work(self, handler)


def answer_whole(engine: Engine, handler: Any, seconds: float = 0.02) -> None:
    """Work for a while, and answer with a whole body."""
    time.sleep(seconds)
    body = f"answer of {engine.name}".encode()
    begin_head(engine, handler)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


class RestartableEntry(Entry):
    """An entry whose process may be started again."""

    def restart(self) -> None:
        """Start the process again, with the same settings."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", ENTRY_MODULE],
            env={**os.environ, "MINTSADDLE_NODE_FILE": str(self._settings)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )


class Scene:
    """Entries, engines, store and clients of one case."""

    def __init__(self, folder: Path, record: Path) -> None:
        self.store = PlatformStore()
        self.engines: list[Engine] = []
        self.entries: list[RestartableEntry] = []
        self.arrivals: list[Arrival] = []
        self.sent: list[Sent] = []
        self._folder = folder
        self._record = record.open("w")
        self._lock = threading.Lock()
        self._attempts = itertools.count(1)
        self._begun_at = time.monotonic()
        self._is_over = threading.Event()
        self._threads: list[threading.Thread] = []

    @property
    def is_over(self) -> threading.Event:
        """Set when clients stop."""
        return self._is_over

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line to the record."""
        seconds = (time.monotonic() if at is None else at) - self._begun_at
        with self._lock:
            self._record.write(f"{seconds:8.3f} {text}\n")
            self._record.flush()

    def add_engine(self, name: str, work: Work, **announced: object) -> Engine:
        """Start an engine and let it register."""
        engine = Engine(name, self, work)
        self.engines.append(engine)
        self.announce(engine, **announced)
        return engine

    def announce(self, engine: Engine, **announced: object) -> float:
        """Write an engine's entry; return when the store acknowledged it."""
        item = make_announcement(engine, SERVICE, **announced)
        self.store.put(f"servers/{engine.name}", item)
        return time.monotonic()

    def configure(self, **overrides: object) -> float:
        """Write the configuration; return when the store acknowledged it."""
        self.store.put("op/config", make_configuration(**overrides))
        return time.monotonic()

    def start_entries(self, count: int) -> None:
        """Start entries and wait until all are ready and know each other."""
        for number in range(1, count + 1):
            seeds = [entry.control for entry in self.entries]
            entry = RestartableEntry(
                self._folder,
                f"edge-a-{number}",
                self.store.address,
                seeds,
                limits=EDGE_LIMITS,
            )
            self.entries.append(entry)
        for entry in self.entries:
            wait_for(entry.is_ready, "ready entry")
            known = f"endpoints={len(self.engines)}"
            wait_for(lambda entry=entry, known=known: known in entry.log(), known)
        time.sleep(3.5)

    def call(
        self, entry: Entry, method: str, path: str, **headers: str
    ) -> tuple[int, bytes]:
        """Send one request on a new connection and record its end."""
        attempt = f"{next(self._attempts):016x}"
        sent = {
            "Host": "desk.example",
            "Api-Key": "good-key",
            "X-Mintsaddle-Attempt-Id": attempt,
            "X-Mintsaddle-Deadline-Ms": "8000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        at = time.monotonic()
        status, body = 0, b""
        connection = http.client.HTTPConnection("127.0.0.1", entry.front, timeout=9)
        try:
            connection.request(method, path, headers=sent)
            response = connection.getresponse()
            body = response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        self.sent.append(Sent(attempt, path, at, time.monotonic(), status))
        return status, body

    def run_clients(
        self, count: int, pause: float, method: str, path: str, **headers: str
    ) -> None:
        """Start clients that send one request after the other."""

        def run(entry: Entry) -> None:
            while not self._is_over.is_set():
                self.call(entry, method, path, **headers)
                self._is_over.wait(pause)

        for number in range(count):
            entry = self.entries[number % len(self.entries)]
            thread = threading.Thread(target=run, args=(entry,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop_clients(self) -> None:
        """Let clients end their requests."""
        self._is_over.set()
        for thread in self._threads:
            thread.join(10.0)

    def close(self) -> None:
        """Record what was seen, and end all processes."""
        for entry in self.entries:
            entry.stop()
        lines = [(one.at, f"sent {one.attempt} {one.path}") for one in self.sent] + [
            (one.ended_at, f"answered {one.attempt} status={one.status}")
            for one in self.sent
        ]
        lines += [
            (one.at, f"run {one.attempt} engine={one.engine} port={one.port}")
            for one in self.arrivals
        ]
        for at, text in sorted(lines):
            self.note(text, at)
        self._record.close()


def has_trouble() -> bool:
    """Return whether the case brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play: Callable[[Scene], Sequence[str]], folder: Path) -> None:
    """Play a case and exit with its result.

    Args:
        play: Plays the case; returns a line for each way the rule was broken.
        folder: Folder of the case, for its record.
    """
    import tempfile

    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        scene = Scene(Path(temporary), folder / "record.txt")
        code = NOT_RUN
        try:
            faults = play(scene)
            code = BROKEN if faults else HELD
            for fault in faults:
                scene.note(f"BROKEN {fault}")
                print(fault)
            print("rule broken" if faults else "rule held")
        except AssertionError as error:
            print(f"could not run: {error}")
        finally:
            scene.close()
    sys.stdout.flush()
    os._exit(code)
