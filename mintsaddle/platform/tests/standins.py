"""Fakes of the platform's store and endpoints, and a site built of them.

They implement the part of the platform's protocol that the tests need.
"""

import base64
import hashlib
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from functools import partial
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, NamedTuple, TypeVar
from urllib.parse import parse_qs, urlsplit

WAIT_SECONDS = 10.0
"""Timeout of each wait in a test, in seconds."""


def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds.

    Raises:
        AssertionError: The condition didn't hold in time.
    """
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f"no {what} within {WAIT_SECONDS:g} s")


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_: object) -> None:
        """Log nothing, so that test output stays readable."""

    def send_json(self, status: int, values: object, **headers: str) -> None:
        body = json.dumps(values).encode()
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    """Connections that wait; more than any test opens at once."""

    def handle_error(self, *_: object) -> None:
        """Ignore errors of connections that the caller closes."""


class StoreCopy(NamedTuple):
    """A snapshot of a store."""

    items: dict[str, dict[str, Any]]
    revision: int


class Store:
    """The platform's store: items by key, with range reads and watches."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 1
        self.era = 1
        self.sends_era = True
        self.history_from = 0
        self.is_down = False
        self.delay = 0.0
        """Seconds before each call is handled."""

        self.open_watches = 0
        self.full_reads = 0
        """Number of range reads, counted at their first page."""

        self.history_gone_responses = 0
        """Number of watches answered with status 410, history gone."""

        self.delivered_revisions: list[int] = []
        """Revisions of the events sent, once for each watch that got them."""

        self.on_page: Callable[[str], None] = lambda after: None
        """Called before a page is read, with the key after which it begins."""

        self.changed = threading.Condition()
        store = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                store.handle(self)

        self._server = _Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_address[1]}"

    def put(self, key: str, value: object) -> None:
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            item = {
                "key": key,
                "value": base64.b64encode(raw).decode(),
                "revision": self.revision,
                "created_at": self.revision,
                "lease": 0,
            }
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    def delete(self, key: str) -> None:
        with self.changed:
            self.revision += 1
            del self.items[key]
            self.events.append(
                {"key": key, "revision": self.revision, "tombstoned": True}
            )
            self.changed.notify_all()

    def forget_history(self) -> None:
        with self.changed:
            self.events.clear()
            self.history_from = self.revision
            self.changed.notify_all()

    def copy(self) -> StoreCopy:
        with self.changed:
            return StoreCopy(dict(self.items), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy, after which later revisions are reused.

        Open watches lose their connection, as in any outage.
        """
        with self.changed:
            self.items = dict(copy.items)
            self.events = [e for e in self.events if e["revision"] <= copy.revision]
            self.revision = copy.revision
            self.era += 1
            self.changed.notify_all()

    def handle(self, handler: _Handler) -> None:
        time.sleep(self.delay)
        if self.is_down:
            handler.close_connection = True
            return
        parts = urlsplit(handler.path)
        query = {
            key: values[0]
            for key, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        if parts.path.endswith("kv-range"):
            self.on_page(query.get("after", ""))
            with self.changed:
                self.full_reads += "after" not in query
                items = [
                    item
                    for key, item in sorted(self.items.items())
                    if key.startswith(query["prefix"]) and key > query.get("after", "")
                ]
                page = {"items": items[:2], "has_more": len(items) > 2}
                page["at"] = self.revision
                headers = self._headers()
            handler.send_json(200, page, **headers)
        else:
            self._handle_watch(handler, query)

    def _handle_watch(self, handler: _Handler, query: dict[str, str]) -> None:
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            self.open_watches += 1
            era = self.era
            while not (events := self._events(query["prefix"], after)):
                seconds_left = deadline - time.monotonic()
                if seconds_left <= 0 or self._is_history_gone(after) or self.is_down:
                    break
                if era != self.era:
                    break
                self.changed.wait(min(seconds_left, 0.1))
            at, headers, is_history_gone = (
                self.revision,
                self._headers(),
                self._is_history_gone(after),
            )
            is_cut = era != self.era
            self.history_gone_responses += is_history_gone and not is_cut
            self.open_watches -= 1
            self.delivered_revisions += [event["revision"] for event in events]
        if self.is_down or is_cut:
            handler.close_connection = True
        elif is_history_gone:
            handler.send_json(410, {}, **headers)
        else:
            handler.send_json(200, {"events": events, "at": at}, **headers)

    def _headers(self) -> dict[str, str]:
        return {"Store_Era": str(self.era)} if self.sends_era else {}

    def _is_history_gone(self, revision: int) -> bool:
        return not self.history_from <= revision <= self.revision

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self.events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]


Responder = Callable[["Endpoint", _Handler], None]
"""Handles one request to an endpoint."""


class Endpoint:
    """An endpoint that uses its queued responders, then responds with 200."""

    def __init__(self, name: str, host: str = "127.0.0.1") -> None:
        self.name = name
        self.responders: list[Responder] = []
        self.default_responder: Responder = respond_ok
        self.requests: list[dict[str, str]] = []
        self.arrivals: list[float] = []
        self.body_digests: list[str] = []
        """SHA-256 of the bodies of its requests."""

        self.rate_limit: str | None = None
        self.load: str | None = None
        """Load header of its answers: running, queued, slots."""

        self.connection_closed = threading.Event()
        endpoint = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                endpoint.handle(self)

            def do_POST(self) -> None:
                endpoint.handle(self)

        self._server = _Server((host, 0), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        host, port = self._server.server_address[:2]
        return f"{host!s}:{port}"

    def handle(self, handler: _Handler) -> None:
        length = int(handler.headers.get("Content-Length") or 0)
        body = handler.rfile.read(length)
        _, port = handler.client_address
        self.requests.append(
            {"target": handler.path, "port": str(port), **dict(handler.headers.items())}
        )
        self.arrivals.append(time.monotonic())
        self.body_digests.append(hashlib.sha256(body).hexdigest())
        responder = (
            self.responders.pop(0) if self.responders else self.default_responder
        )
        responder(self, handler)


def begin_head(endpoint: Endpoint, handler: _Handler, status: int = 200) -> None:
    """Begin the head of an answer that counts as the endpoint's own."""
    handler.send_response(status)
    handler.send_header(
        "X-Mintsaddle-Attempt-Id", handler.headers["X-Mintsaddle-Attempt-Id"]
    )
    handler.send_header("X-Mintsaddle-Response-Stamp", f"by-{endpoint.name}")


def _send_head(
    endpoint: Endpoint, handler: _Handler, status: int, **headers: str
) -> None:
    begin_head(endpoint, handler, status)
    if endpoint.rate_limit is not None:
        handler.send_header("X-Mintsaddle-Server-Limit", endpoint.rate_limit)
    if endpoint.load is not None:
        handler.send_header("X-Mintsaddle-Server-Load", endpoint.load)
    for name, value in headers.items():
        handler.send_header(name.replace("_", "-"), value)
    handler.end_headers()


def respond_ok(endpoint: Endpoint, handler: _Handler) -> None:
    body = f"whole answer of {endpoint.name}".encode()
    _send_head(endpoint, handler, 200, Content_Length=str(len(body)))
    handler.wfile.write(body)


def respond_to_other_attempt(endpoint: Endpoint, handler: _Handler) -> None:
    handler.headers.replace_header("X-Mintsaddle-Attempt-Id", "another")
    respond_ok(endpoint, handler)


def refuse(endpoint: Endpoint, handler: _Handler) -> None:
    handler.send_response(503)
    handler.send_header("X-Mintsaddle-Not-Executed", "1")
    handler.send_header("Content-Length", "0")
    handler.end_headers()


def refuse_as_idle(
    endpoint: Endpoint, handler: _Handler, retry_after: str | None = None
) -> None:
    handler.send_response(503)
    handler.send_header("X-Mintsaddle-Not-Executed", "1")
    handler.send_header("X-Mintsaddle-Server-Load", "0,0,6")
    if retry_after is not None:
        handler.send_header("Retry-After", retry_after)
    handler.send_header("Content-Length", "0")
    handler.end_headers()


def ask_to_wait(seconds: str) -> Responder:
    """Return a responder that refuses as idle and sends a Retry-After."""
    return partial(refuse_as_idle, retry_after=seconds)


def respond_leaving(endpoint: Endpoint, handler: _Handler) -> None:
    body = f"whole answer of {endpoint.name}".encode()
    _send_head(
        endpoint, handler, 200, Content_Length=str(len(body)), Server_Leaving="1"
    )
    handler.wfile.write(body)


def drop_connection(endpoint: Endpoint, handler: _Handler) -> None:
    handler.close_connection = True


def truncate_response(endpoint: Endpoint, handler: _Handler) -> None:
    _send_head(endpoint, handler, 200, Content_Length="100")
    handler.wfile.write(b"half an answer")
    handler.close_connection = True


def never_respond(endpoint: Endpoint, handler: _Handler) -> None:
    """Send no response; record when the caller closes the connection."""
    handler.connection.settimeout(WAIT_SECONDS)
    if not handler.connection.recv(1):
        endpoint.connection_closed.set()
    handler.close_connection = True


def stream_events(
    first: int, last: int, *, is_complete: bool = True, pause: float = 0.0
) -> Responder:
    """Return a responder that streams events, with a pause before each.

    Unless `is_complete`, the connection closes in the middle of an event.
    """

    def responder(endpoint: Endpoint, handler: _Handler) -> None:
        _send_head(
            endpoint,
            handler,
            200,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
        )
        for number in range(first, last + 1):
            time.sleep(pause)
            _send_chunk(handler, b"id: %d\ndata: piece\n\n" % number)
        if is_complete:
            handler.wfile.write(b"0\r\n\r\n")
        else:
            _send_chunk(handler, b"id: %d\nda" % (last + 1))
            handler.close_connection = True

    return responder


def _send_chunk(handler: _Handler, data: bytes) -> None:
    handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
    handler.wfile.flush()


def make_announcement(
    endpoint: Endpoint, service: str, zone: str = "a", **overrides: object
) -> dict[str, object]:
    """Return the announcement of an endpoint."""
    return {
        "service": service,
        "address": endpoint.address,
        "zone": zone,
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
        **overrides,
    }


def make_configuration(version: int = 1, **overrides: object) -> dict[str, object]:
    """Return a configuration with one route of each kind."""
    kinds = {
        "lookup": {"kind": "idempotent", "max_attempts": 2},
        "order": {"kind": "non_idempotent", "max_attempts": 1},
        "letter": {"kind": "streaming", "stream_resume": True, "max_attempts": 2},
    }
    routes = [
        {
            "name": name,
            "host": "desk.example",
            "prefix": f"/{name}/",
            "timeout_ms": 3000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": "desk",
            "allow_anonymous": False,
            **rules,
        }
        for name, rules in kinds.items()
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "desk", "health_path": "/health", "max_connections": 9}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "north", "api_keys": ["good-key"]}],
        **overrides,
    }


def make_caller_headers(attempt: str) -> dict[str, str]:
    """Return the headers that each request of a caller has."""
    return {
        "Host": "desk.example",
        "Api-Key": "good-key",
        "X-Mintsaddle-Attempt-Id": attempt,
    }


ENTRY_MODULE = "mintsaddle.platform"
"""The module that runs an entry."""


class ProcessLimits(NamedTuple):
    """Limits of an entry's process, under the names of its settings."""

    memory_mb: int = 200
    max_fds: int = 4100


DEFAULT_LIMITS = ProcessLimits()

FIRST_PORT, LAST_PORT = 10_000, 32_000
"""Ports for processes that bind them later; below the ephemeral range.

About one in a thousand ephemeral ports is assigned to another test before the
process binds it; the process then exits at startup.
"""

_GUARD_HOST = "127.0.0.2"
_guards: list[socket.socket] = []
"""Sockets that keep ports from other test processes, which may run beside this
one. Nothing else is bound at their address."""

_next_port = itertools.count(os.getpid() * 2_503)


def free_ports(count: int) -> list[int]:
    """Return free ports; no port is returned twice in one test process."""
    ports: list[int] = []
    while len(ports) < count:
        port = FIRST_PORT + next(_next_port) % (LAST_PORT - FIRST_PORT)
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    """Return whether a port is free; no other test process uses it then."""
    guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        guard.bind((_GUARD_HOST, port))
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        guard.close()
        return False
    _guards.append(guard)
    return True


class Entry:
    """An entry that runs as a process."""

    def __init__(
        self,
        folder: Path,
        name: str,
        store: str,
        seeds: list[str] | None = None,
        agent_port: int | None = None,
        module: str = ENTRY_MODULE,
        limits: ProcessLimits = DEFAULT_LIMITS,
        more_settings: str = "",
    ) -> None:
        front, ready, control, metrics = free_ports(4)
        self.front, self.ready, self.metrics = front, ready, metrics
        self.control = f"127.0.0.1:{control}"
        settings = folder / f"{name}.toml"
        self._settings = settings
        settings.write_text(
            _SETTINGS.format(
                name=name,
                front=front,
                ready=ready,
                control=control,
                metrics=metrics,
                agents=agent_port or metrics,
                store=store,
                seeds=json.dumps(seeds or []),
                **limits._asdict(),
            )
            + more_settings
        )
        self._log_path = folder / f"{name}.log"
        self._log = self._log_path.open("a")
        self.process = subprocess.Popen(
            [sys.executable, "-m", module],
            env={**os.environ, "MINTSADDLE_NODE_FILE": str(settings)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    @property
    def settings(self) -> Path:
        """Path of its settings file."""
        return self._settings

    def stop(self) -> None:
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self._log.close()

    def freeze(self) -> None:
        """Stop all threads of the process, until it gets SIGCONT."""
        self.process.send_signal(signal.SIGSTOP)
        # They run on until each of them has noticed.
        wait_for(lambda: _is_stopped(self.process.pid), "stopped process")

    def terminate(self) -> None:
        """Send SIGTERM to the process."""
        self.process.send_signal(signal.SIGTERM)

    def change_settings(self, old: str, new: str) -> None:
        """Replace a text in the settings file."""
        text = self._settings.read_text()
        assert old in text
        self._settings.write_text(text.replace(old, new))

    def log(self) -> str:
        """Return the log so far.

        A file of its own is read: the process shares the position of the one
        that it writes to.
        """
        return self._log_path.read_text()

    def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            connection = http.client.HTTPConnection(f"127.0.0.1:{self.ready}")
            connection.request("GET", "/mintsaddle/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def open(
        self, method: str, path: str, **headers: str
    ) -> http.client.HTTPConnection:
        """Send a request without reading the response."""
        connection = http.client.HTTPConnection(
            f"127.0.0.1:{self.front}", timeout=WAIT_SECONDS
        )
        sent = {**make_caller_headers("attempt-1"), "X-Mintsaddle-Deadline-Ms": "3000"}
        sent.update({name.replace("_", "-"): value for name, value in headers.items()})
        connection.request(method, path, headers=sent)
        return connection

    def fetch_metrics(self) -> str:
        """Return the text of the metrics page."""
        connection = http.client.HTTPConnection(f"127.0.0.1:{self.metrics}")
        connection.request("GET", "/metrics")
        return connection.getresponse().read().decode()

    def call(
        self, method: str, path: str, **headers: str
    ) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body of the response to a request."""
        response = self.open(method, path, **headers).getresponse()
        return response.status, dict(response.headers), response.read()


def _is_stopped(pid: int) -> bool:
    stats = Path(f"/proc/{pid}/task").glob("*/stat")
    # The state follows the name, which is in brackets.
    return all(stat.read_text().rpartition(")")[2].split()[0] == "T" for stat in stats)


_SETTINGS = """
node_name = "{name}"
zone = "a"
ip = "127.0.0.1"
port_range = [{metrics},{agents}]
seeds = {seeds}
bootstrap = true
[listen]
front = "127.0.0.1:{front}"
ready_addr = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[bounds]
grace_s = 8
config_apply_ms = 2000
drain_ms = 2000
evacuate_ms = 5000
retry_budget_ratio = 0.2
retry_slack = 90
budget_window_s = 10
cold_overshoot = 1.5
cold_slack = 5
stall_ms = 1500
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[platform]
address = "{store}"
"""


class Site:
    """A store, two endpoints of one service, and an entry."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.store = Store()
        self.endpoints = [Endpoint("e-1"), Endpoint("e-2")]
        self.entries: list[Entry] = []
        self.module = ENTRY_MODULE
        self.limits = DEFAULT_LIMITS
        self.more_settings = ""
        """TOML that is added to the settings of entries."""

        self.configuration = make_configuration()

    @property
    def entry(self) -> Entry:
        """The first entry."""
        return self.entries[0]

    def start(self) -> None:
        """Publish configuration and endpoints; wait until the entry serves."""
        self.store.put("op/config", self.configuration)
        for endpoint in self.endpoints:
            self.store.put(
                f"servers/{endpoint.name}", make_announcement(endpoint, "desk")
            )
        self.add_entry(self.store.address)
        try:
            wait_for(self.entry.is_ready, "ready entry")
            wait_for(
                lambda: "endpoints=2" in self.entry.log(),
                "log line with both endpoints",
            )
        except AssertionError as error:
            # Without the log an intermittent failure can't be diagnosed.
            raise AssertionError(f"{error}; its log:\n{self.entry.log()}") from error

    def add_entry(self, store: str, seeds: list[str] | None = None) -> Entry:
        """Start one more entry."""
        name = f"entry-{len(self.entries) + 1}"
        entry = Entry(
            self._folder,
            name,
            store,
            seeds,
            module=self.module,
            limits=self.limits,
            more_settings=self.more_settings,
        )
        self.entries.append(entry)
        return entry

    def script(self, *responders: Responder) -> None:
        """Use the responders in order, whichever endpoint gets a request."""
        remaining = list(responders)

        def respond_next(endpoint: Endpoint, handler: _Handler) -> None:
            responder = remaining.pop(0) if remaining else respond_ok
            responder(endpoint, handler)

        for endpoint in self.endpoints:
            endpoint.responders = [respond_next] * len(responders)

    def requests(self) -> list[dict[str, str]]:
        """Return the requests that the endpoints have received."""
        return [request for endpoint in self.endpoints for request in endpoint.requests]


def run_site(folder: Path, *, sends_era: bool = True) -> Iterator[Site]:
    """Yield a running site and stop its processes afterwards.

    Args:
        folder: Directory for settings and log files.
        sends_era: Whether the store sends its era in a header.
    """
    site = Site(folder)
    site.store.sends_era = sends_era
    yield from run(site)


_AnySite = TypeVar("_AnySite", bound=Site)


def run(site: _AnySite) -> Iterator[_AnySite]:
    """Start a site, yield it, and stop its processes afterwards."""
    try:
        site.start()
        yield site
    finally:
        for entry in site.entries:
            entry.stop()
