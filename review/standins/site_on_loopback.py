"""A small deployment on loopback: a store, engines, entries and clients.

The figures are those of the sheet of the Eftersend head office fleet.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from store import Store

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
ZONES = ("dk-east-a", "dk-east-b", "dk-east-c")
HEARTBEAT_SECONDS = 1.2
SILENT_HEARTBEATS = 3
LOOKUP_DEADLINE_MS = 1507
ORDER_DEADLINE_MS = 1510

_SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "dk-east"
port_range = [{first_port},{last_port}]
seeds = {seeds}
bootstrap = true
in_fault_budget = false
discovery = "platform"
entrypoint = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream",\
"tenants","places","platform","experts"]
[zones]
dk-east-a = "dk-east"
dk-east-b = "dk-east"
dk-east-c = "dk-east"
[listen]
front = "{ip}:{front}"
ready_addr = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
strict_revocation = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 90
cold_overshoot = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
pass_ms = 120
again_s = 0
stall_ms = 1500
require_fencing = false
[platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def make_configuration(version: int = 7) -> dict[str, Any]:
    """Return the operator's configuration: orders and lookups of one desk."""

    def route(name: str, prefix: str, **values: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "timeout_ms": 800,
            "target_latency_ms": 402,
            "priority": 2,
            "service": "order-desk",
            "allow_anonymous": False,
            **values,
        }

    return {
        "version": version,
        "routes": [
            route("r-order", "/order/", kind="non_idempotent", max_attempts=1),
            route("r-lookup", "/lookup/", kind="idempotent", max_attempts=2),
        ],
        "services": [
            {
                "name": "order-desk",
                "health_path": "/health",
                "max_connections": 100,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY]}],
    }


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._began_at = time.monotonic()

    def write(self, *words: object) -> None:
        """Write one line, with the seconds since the start."""
        seconds = time.monotonic() - self._began_at
        line = " ".join(map(str, words))
        with self._lock:
            self._file.write(f"{seconds:8.3f} {line}\n")
            self._file.flush()


class Answer(NamedTuple):
    """What a client has received."""

    attempt: str
    status: int
    """0 if the connection ended without a complete answer."""

    stamp: str
    """The engine's response stamp; empty if there is none."""

    body: bytes
    retry_after: float


class Process:
    """A process that the case has started."""

    def __init__(self, arguments: list[str], log: Path, **variables: str) -> None:
        self._arguments = arguments
        self._log = log
        self._variables = variables
        self.start()

    def start(self) -> None:
        """Start it, or start it again."""
        packages = (str(ROOT / "target/deps"), str(STANDINS))
        variables = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(packages),
            **self._variables,
        }
        with self._log.open("a") as log:
            self.process = subprocess.Popen(
                self._arguments, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def send_signal(self, number: int) -> None:
        """Send it a signal."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill it and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def log(self) -> str:
        """Return what it has written."""
        return self._log.read_text(errors="replace")


class Engine(Process):
    """An engine, and what it says of itself in the store."""

    def __init__(
        self, name: str, ip: str, port: int, zone: str, folder: Path, *options: str
    ) -> None:
        self.name, self.zone, self.address = name, zone, f"{ip}:{port}"
        self.is_silent = False
        self.born = int(time.time() * 1000)
        program = [sys.executable, str(STANDINS / "engine.py")]
        names = ["--name", name, "--address", self.address]
        super().__init__([*program, *names, *options], folder / f"{name}.log")

    def announcement(self) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": "order-desk",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 0,
            "born": self.born,
        }


class Site:
    """The processes of a deployment, and its clients."""

    def __init__(self, folder: Path, entries: int = 3, engines: int = 3) -> None:
        self.record = Record(folder)
        self.logs = Path(tempfile.mkdtemp(prefix="mintsaddle-review-"))
        self._network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.store = Store(self.ip(200))
        self.entries: list[Process] = []
        self.engines: list[Engine] = []
        self.entry_ips = [self.ip(10 + number) for number in range(entries)]
        self.engine_ips = [self.ip(100 + number) for number in range(engines)]
        self._ports = self._choose_ports()
        self._is_running = True

    def ip(self, number: int) -> str:
        """Return a loopback address of this site."""
        return f"{self._network}.{number}"

    def _choose_ports(self) -> int:
        """Return the first of twenty ports that are free on all addresses."""
        while True:
            first = random.randint(10_000, 30_000)
            try:
                for ip in (*self.entry_ips, *self.engine_ips):
                    for port in range(first, first + 20):
                        socket.create_server((ip, port)).close()
            except OSError:
                continue
            return first

    @property
    def _control_port(self) -> int:
        return self._ports + 18

    def start_engines(self, options: Callable[[int], list[str]]) -> None:
        """Start all engines; each announces itself from then on."""
        for index, ip in enumerate(self.engine_ips):
            engine = Engine(
                f"i-{index + 1}{random.randrange(16**6):06x}",
                ip,
                self._ports,
                ZONES[index % len(ZONES)],
                self.logs,
                *options(index),
            )
            self.engines.append(engine)
        for engine in self.engines:
            wait_for(lambda engine=engine: is_listening(engine.address), "engine")
        threading.Thread(target=self._announce, daemon=True).start()

    def _announce(self) -> None:
        """Hear each engine's heartbeat; drop entries of silent engines.

        An entry changes only when more than its sequence does.
        """
        missed: dict[str, int] = {}
        while self._is_running:
            for engine in self.engines:
                key = f"servers/{engine.name}"
                if not engine.is_silent:
                    if missed.get(key, SILENT_HEARTBEATS) >= SILENT_HEARTBEATS:
                        self.store.put(key, engine.announcement())
                    missed[key] = 0
                    continue
                missed[key] = missed.get(key, 0) + 1
                if missed[key] == SILENT_HEARTBEATS:
                    self.store.delete(key)
            time.sleep(HEARTBEAT_SECONDS)

    def start_entries(self) -> None:
        """Start all entries with the command of the deploy file."""
        for index, ip in enumerate(self.entry_ips):
            settings = self.logs / f"entry-{index + 1}.toml"
            seeds = [f"{one}:{self._control_port}" for one in self.entry_ips[:3]]
            settings.write_text(
                _SETTINGS.format(
                    name=f"edge-{index + 1}",
                    ip=ip,
                    zone=ZONES[index % len(ZONES)],
                    first_port=self._ports,
                    last_port=self._ports + 15,
                    front=self._ports + 16,
                    ready=self._ports + 17,
                    control=self._control_port,
                    seeds=json.dumps(seeds),
                    store=self.store.address,
                )
            )
            entry = Process(
                [sys.executable, "-m", "mintsaddle.platform"],
                self.logs / f"entry-{index + 1}.log",
                MINTSADDLE_NODE_FILE=str(settings),
            )
            self.entries.append(entry)

    def ready_entries(self) -> list[int]:
        """Return the indexes of the entries that answer 200 when asked."""
        return [index for index, ip in enumerate(self.entry_ips) if self._is_ready(ip)]

    def _is_ready(self, ip: str) -> bool:
        connection = http.client.HTTPConnection(ip, self._ports + 17, timeout=1.0)
        try:
            connection.request("GET", "/mintsaddle/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def call(self, index: int, method: str, path: str, deadline_ms: int) -> Answer:
        """Send one request to an entry and return what comes back."""
        attempt = f"{random.getrandbits(64):016x}"
        self.record.write("sent", attempt, method, path, f"entry-{index + 1}")
        connection = http.client.HTTPConnection(
            self.entry_ips[index], self._ports + 16, timeout=deadline_ms / 1000
        )
        headers = {
            "Host": HOST,
            "Api-Key": KEY,
            "X-Mintsaddle-Attempt-Id": attempt,
            "X-Mintsaddle-Deadline-Ms": str(deadline_ms),
        }
        body = b"order" if method == "POST" else None
        try:
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
            content = response.read()
            retry_after = float(response.headers.get("Retry-After") or 0)
            stamp = response.headers.get("X-Mintsaddle-Response-Stamp") or ""
            answer = Answer(attempt, response.status, stamp, content, retry_after)
        except (OSError, http.client.HTTPException) as error:
            self.record.write("ended", attempt, type(error).__name__)
            return Answer(attempt, 0, "", b"", 0.0)
        finally:
            connection.close()
        size = len(answer.body)
        self.record.write("answered", attempt, answer.status, size, stamp or "-")
        return answer

    def stop(self) -> None:
        """End all processes, and copy what the engines ran to the record."""
        self._is_running = False
        for process in (*self.entries, *self.engines):
            process.send_signal(signal.SIGCONT)
            process.kill()
        for engine in self.engines:
            for line in engine.log().splitlines():
                self.record.write("engine", engine.name, line)
        shutil.rmtree(self.logs, ignore_errors=True)


class Traffic:
    """Clients that look up and register orders, and what came back."""

    def __init__(self, site: Site, per_second: float, lookups: float = 0.5) -> None:
        """Set up the clients.

        Args:
            site: The site.
            per_second: Requests a second.
            lookups: Share of these that are lookups.
        """
        self._site = site
        self._per_second = per_second
        self._lookups = lookups
        self._lock = threading.Lock()
        self._is_running = True
        self._threads: list[threading.Thread] = []
        self.answers: list[tuple[float, Answer]] = []
        """Each answer, and when its request was sent."""

    def start(self) -> None:
        """Start to send."""
        threading.Thread(target=self._send_all, daemon=True).start()

    def stop(self) -> None:
        """Send nothing more, and wait for what is open."""
        self._is_running = False
        for thread in tuple(self._threads):
            thread.join(3.0)

    def _send_all(self) -> None:
        while self._is_running:
            thread = threading.Thread(target=self._call, daemon=True)
            self._threads.append(thread)
            thread.start()
            time.sleep(1 / self._per_second)

    def _call(self) -> None:
        sent_at = time.monotonic()
        index = random.randrange(len(self._site.entries))
        if random.random() < self._lookups:
            answer = self._site.call(index, "GET", "/lookup/2f", LOOKUP_DEADLINE_MS)
        else:
            answer = self._site.call(index, "POST", "/order/2f", ORDER_DEADLINE_MS)
        with self._lock:
            self.answers.append((sent_at, answer))


def is_success(answer: Answer) -> bool:
    """Return whether an answer has a status of 2xx."""
    return 200 <= answer.status < 300


def is_listening(address: str) -> bool:
    """Return whether something accepts connections at an address."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), 0.5).close()
    except OSError:
        return False
    return True


class NotReadyError(Exception):
    """The case can't run."""


def wait_for(condition: Callable[[], bool], what: str, seconds: float = 20.0) -> None:
    """Wait until a condition holds.

    Raises:
        NotReadyError: It didn't hold in time.
    """
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.05)
    raise NotReadyError(f"no {what} within {seconds:g} s")


def run_case(play: Callable[[Site], int], folder: str, **sizes: int) -> int:
    """Play a case on a site of its own and return the exit status.

    Args:
        play: Plays it; returns 1 if the rule was broken and 0 if it held.
        folder: The folder of the case.
        sizes: Numbers of entries and engines.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        site = Site(Path(folder), **sizes)
        try:
            return play(site)
        finally:
            site.stop()
    except Exception:
        traceback.print_exc()
        return 2


def has_trouble() -> bool:
    """Return whether the disruption of the case takes place."""
    return os.environ.get("TROUBLE", "1") != "0"
