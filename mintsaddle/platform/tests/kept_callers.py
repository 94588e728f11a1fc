"""Callers that use their connections until these close, and what they saw."""

import contextlib
import http.client
import itertools
import random
import threading
import time
from typing import NamedTuple

from mintsaddle.platform.tests.standins import Entry, make_caller_headers

LOSS_SLACK_SECONDS = 0.2
"""Seconds from a request's last byte within which a close may cross it."""

BALANCER_SECONDS = 1.0
"""Seconds between two readiness checks; two failed ones take an entry out."""

_CALLER_SECONDS = 10.0
_READ_BYTES = 16_384
_KINDS = ("lookup", "lookup", "order", "order", "letter", "slow-body", "slow-read")


class Ended(NamedTuple):
    """How one request ended for its caller."""

    attempt: str
    kind: str
    entry: int
    sent_at: float
    """When its last byte was sent; 0 if it was not sent completely."""

    ended_at: float
    status: int
    """0 if the connection ended without a complete answer."""

    is_whole: bool
    """Whether the body is that of this request's answer."""

    @property
    def is_crossing(self) -> bool:
        """Whether it may have crossed a close and not been read."""
        if self.sent_at == 0.0:
            return True
        return self.ended_at - self.sent_at < LOSS_SLACK_SECONDS


class Balancer:
    """Sends callers to entries until two readiness checks in a row failed."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._failures: dict[int, int] = {}
        self._entries: dict[int, Entry] = {}
        self._numbers = itertools.count()

    def add(self, entry: Entry) -> None:
        """Add an entry that is ready."""
        with self._lock:
            number = next(self._numbers)
            self._entries[number] = entry
            self._failures[number] = 0

    def check(self) -> None:
        """Check the readiness of all entries once."""
        for number, entry in list(self._entries.items()):
            # Another site's entry may have the ports of one that has ended.
            is_ready = entry.process.poll() is None and entry.is_ready()
            with self._lock:
                failures = 0 if is_ready else self._failures[number] + 1
                self._failures[number] = failures

    def choose(self, rng: random.Random) -> tuple[int, Entry] | None:
        """Return an entry for a new connection; None if there is none."""
        with self._lock:
            usable = [one for one, failed in self._failures.items() if failed < 2]
            if not usable:
                return None
            number = rng.choice(usable)
            return number, self._entries[number]


class KeptCaller(threading.Thread):
    """One caller; it sends its next request on the connection that it has.

    It pauses for up to a number of seconds between two requests.
    """

    def __init__(self, balancer: Balancer, name: str, seed: int, pause: float) -> None:
        super().__init__(name=name, daemon=True)
        self._balancer = balancer
        self._rng = random.Random(f"{seed} {name}")
        self._pause = pause
        self._must_stop = threading.Event()
        self._attempts = itertools.count()
        self.ended: list[Ended] = []

    def stop(self) -> None:
        """Send nothing more."""
        self._must_stop.set()

    def run(self) -> None:
        """Open connections and use them until these close."""
        while not self._must_stop.is_set():
            chosen = self._balancer.choose(self._rng)
            if chosen is None:
                time.sleep(0.05)
                continue
            number, entry = chosen
            connection = http.client.HTTPConnection(
                "127.0.0.1", entry.front, timeout=_CALLER_SECONDS
            )
            try:
                connection.connect()
            except OSError:
                time.sleep(0.05)
                continue
            with contextlib.closing(connection):
                self._use(connection, number)

    def _use(self, connection: http.client.HTTPConnection, entry: int) -> None:
        while not self._must_stop.is_set():
            ended = self._call(connection, entry)
            self.ended.append(ended)
            if ended.status == 0 or connection.sock is None:
                return
            self._must_stop.wait(self._rng.uniform(0.0, self._pause))

    def _call(self, connection: http.client.HTTPConnection, entry: int) -> Ended:
        kind = self._rng.choice(_KINDS)
        attempt = f"{self.name}-{next(self._attempts)}"
        ended = Ended(attempt, kind, entry, 0.0, 0.0, 0, is_whole=False)
        try:
            self._send(connection, kind, attempt)
            ended = ended._replace(sent_at=time.monotonic())
            response = connection.getresponse()
            body = self._read(response, kind)
            is_whole = response.status != 200 or body.rstrip().endswith(
                attempt.encode()
            )
            ended = ended._replace(status=response.status, is_whole=is_whole)
        except (OSError, http.client.HTTPException):
            pass
        return ended._replace(ended_at=time.monotonic())

    def _send(
        self, connection: http.client.HTTPConnection, kind: str, attempt: str
    ) -> None:
        method = "GET" if kind in ("lookup", "slow-read") else "POST"
        path = {"slow-body": "order", "slow-read": "lookup"}.get(kind, kind)
        body = b"x" * 600 if method == "POST" else b""
        connection.putrequest(method, f"/{path}/{kind}", skip_host=True)
        headers = {
            **make_caller_headers(attempt),
            "X-Mintsaddle-Deadline-Ms": "3000",
            "Content-Length": str(len(body)),
        }
        for name, value in headers.items():
            connection.putheader(name, value)
        connection.endheaders()
        if kind == "slow-body":
            connection.send(body[:300])
            time.sleep(self._rng.uniform(0.0, 0.6))
            body = body[300:]
        if body:
            connection.send(body)

    def _read(self, response: http.client.HTTPResponse, kind: str) -> bytes:
        parts = []
        while part := response.read(_READ_BYTES):
            parts.append(part)
            if kind == "slow-read":
                time.sleep(self._rng.uniform(0.0, 0.05))
        # http.client reports a short body with a length only here.
        if response.length:
            raise http.client.IncompleteRead(b"")
        return b"".join(parts)
