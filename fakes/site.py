"""A small site on loopback.

The real daemons and stand-ins for the platform and engines run as processes.
"""

import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

GROUP_EXPERTS = 8
"""Experts of a site's group."""

GROUP_LAYERS = 2
"""Layers of a site's group."""

GROUP_SLOTS = 3
"""Slots of each rank in a site's group."""

_START_TIMEOUT = 20.0
_STOP_TIMEOUT = 10.0
_POLL_INTERVAL = 0.02


class VmPlan(NamedTuple):
    """One VM of the site and what runs on it."""

    name: str
    data_centre: str
    role: str
    """``entry`` or ``endpoint``."""

    cold_limit: int = 1000
    """Requests that the stand-in engine can hold when it is cold."""

    rank: int | None = None
    """Rank in the site's group; None if the VM is not in the group."""


class Response(NamedTuple):
    """An HTTP response as a caller receives it."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """The outcome from the header, or from the end event of a stream.

        It is ``cut`` if a stream has no end event.
        """
        outcome = self.headers.get("Mintsaddle-Outcome", "")
        if outcome != "see-end":
            return outcome
        end_event = self.end_event
        return str(end_event["outcome"]) if end_event else "cut"

    @property
    def end_event(self) -> dict[str, Any] | None:
        """The end event of a stream; None if the stream was interrupted."""
        _, marker, rest = self.body.rpartition(b"event: end\ndata: ")
        return json.loads(rest) if marker else None

    @property
    def events(self) -> list[str]:
        """The data of each event before the end event."""
        parts = self.body.decode().split("\n\n")
        return [part[6:] for part in parts if part.startswith("data: ")]


class Site:
    """The daemons, engines and platform of a site, run as processes."""

    def __init__(self, plans: Sequence[VmPlan], services: str) -> None:
        self._plans = {plan.name: plan for plan in plans}
        self._services = services
        self._directory = tempfile.TemporaryDirectory(prefix="mintsaddle-")
        self._processes: dict[str, subprocess.Popen[str]] = {}
        entries = [plan.name for plan in plans if plan.role == "entry"]
        endpoints = [plan.name for plan in plans if plan.role == "endpoint"]
        unused = iter(free_addresses(2 * len(plans) + 2))
        self._hub = next(unused)
        self._addresses = {plan.name: next(unused) for plan in plans}
        self._http = {name: next(unused) for name in entries}
        self._engines = {name: next(unused) for name in endpoints}
        self._platform = next(unused)

    @property
    def addresses(self) -> Mapping[str, str]:
        """The address at which each daemon serves other daemons."""
        return self._addresses

    @property
    def platform(self) -> str:
        """The address of the platform stand-in."""
        return self._platform

    @property
    def engines(self) -> Mapping[str, str]:
        """The address of each endpoint's engine."""
        return self._engines

    @property
    def http(self) -> Mapping[str, str]:
        """The address at which each entry serves callers."""
        return self._http

    def start(self) -> None:
        """Start the platform, the engines and the daemons."""
        self.start_platform()
        for plan in self._plans.values():
            if plan.role == "endpoint":
                self.start_engine(plan.name)
        for name in self._plans:
            self.start_daemon(name)

    def start_platform(self) -> None:
        """Start the platform stand-in without any published value."""
        self._start_stand_in("platform", "fakes.platform", self._platform)

    def start_engine(self, endpoint: str) -> None:
        """Start an endpoint's engine; a second start is a cold restart."""
        cold = str(self._plans[endpoint].cold_limit)
        name = f"{endpoint} engine"
        address = self._engines[endpoint]
        arguments = ["--cold-limit", cold]
        rank = self._plans[endpoint].rank
        if rank is not None:
            ranks = sum(plan.rank is not None for plan in self._plans.values())
            sizes = f"{GROUP_EXPERTS},{GROUP_LAYERS},{GROUP_SLOTS}"
            arguments += ["--group", f"{self._hub},{rank},{ranks},{sizes}"]
        self._start_stand_in(name, "fakes.engine", address, *arguments)

    def start_daemon(self, name: str, peers: str = "") -> None:
        """Write the settings of a daemon and start it."""
        plan = self._plans[name]
        lines = [
            "[daemon]",
            f"role = {plan.role}",
            f"vm = {name}",
            f"data centre = {plan.data_centre}",
            f"address = {self._addresses[name]}",
            f"platform = {self._platform}",
            f"peers = {peers}",
            "log level = INFO",
        ]
        if plan.role == "entry":
            lines += [f"http = {self._http[name]}", "grace = 0.5", "threads = 128"]
        else:
            lines += [f"engine = {self._engines[name]}"]
        settings = Path(self._directory.name, f"{name}.ini")
        settings.write_text("\n".join(lines) + "\n")
        program = "import sys; from mintsaddle.program import main; sys.exit(main())"
        command = [sys.executable, "-c", program, "--settings", str(settings)]
        with Path(self._directory.name, f"{name}.log").open("a") as log:
            process = subprocess.Popen(
                command, stdout=log, stderr=subprocess.STDOUT, text=True
            )
        self._processes[name] = process

    def fleet_text(self, extra: str = "") -> str:
        """Return the fleet text of the site, followed by ``extra``."""
        parts = ["[fleet]\nname = site\nclock bound = 0.05\n"]
        for centre in dict.fromkeys(p.data_centre for p in self._plans.values()):
            parts.append(f"[data centre {centre}]\nregion = loopback\n")
        for plan in self._plans.values():
            parts.append(
                f"[{plan.role} {plan.name}]\ndata centre = {plan.data_centre}\n"
                f"address = {self._addresses[plan.name]}\n"
            )
        return "\n".join([*parts, self._services, extra])

    def publish(self, name: str, revision: int, value: str) -> None:
        """Publish a value as an operator does."""
        connection = http.client.HTTPConnection(self._platform, timeout=5)
        connection.request("PUT", f"/operator/{name}?revision={revision}", value)
        connection.getresponse().read()
        connection.close()

    def platform_calls(self) -> int:
        """Return how often the platform was read or watched."""
        connection = http.client.HTTPConnection(self._platform, timeout=5)
        connection.request("GET", "/operator/calls")
        calls = int(json.loads(connection.getresponse().read())["calls"])
        connection.close()
        return calls

    def wait_until_serving(self) -> None:
        """Return once every entry passes its health check."""
        for name in self._http:
            self.wait_for_health(name, 200)

    def wait_for_health(self, name: str, status: int) -> float:
        """Wait until an entry's health check returns a status.

        Returns:
            The seconds waited.

        Raises:
            TimeoutError: The status was not returned in time.
        """
        started = time.monotonic()
        while time.monotonic() - started < _START_TIMEOUT:
            try:
                if self.call(name, "GET", "/health").status == status:
                    return time.monotonic() - started
            except OSError:
                pass
            time.sleep(_POLL_INTERVAL)
        log = Path(self._directory.name, f"{name}.log").read_text()
        raise TimeoutError(f"{name} did not return health status {status}\n{log}")

    def call(
        self,
        entry: str,
        method: str,
        path: str,
        body: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """Call an entry as a caller does."""
        connection = http.client.HTTPConnection(self._http[entry], timeout=40)
        try:
            data = json.dumps(body).encode() if body is not None else None
            connection.request(method, path, data, dict(headers or {}))
            response = connection.getresponse()
            content = response.read()
            return Response(response.status, dict(response.headers), content)
        finally:
            connection.close()

    def executions(self, endpoint: str) -> dict[str, Any]:
        """Return the counters of an endpoint's engine."""
        connection = http.client.HTTPConnection(self._engines[endpoint], timeout=5)
        connection.request("GET", "/executions")
        counters: dict[str, Any] = json.loads(connection.getresponse().read())
        connection.close()
        return counters

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this site."""
        self._processes[name].send_signal(number)

    def wait_for_exit(self, name: str) -> int:
        """Wait until a process exits and return its exit code."""
        return self._processes[name].wait(_START_TIMEOUT)

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def log(self, name: str) -> str:
        """Return the log of a daemon."""
        return Path(self._directory.name, f"{name}.log").read_text()

    def stop(self) -> None:
        """Stop all processes of the site and delete its files."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + _STOP_TIMEOUT
        for process in self._processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._directory.cleanup()

    def _start_stand_in(
        self, name: str, module: str, address: str, *arguments: str
    ) -> None:
        process = subprocess.Popen(
            [sys.executable, "-m", module, "--address", address, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self._processes[name] = process
        assert process.stdout is not None
        process.stdout.readline()
        process.stdout.close()


_site_numbers = itertools.count(1)


def free_addresses(count: int) -> list[str]:
    """Return addresses with free ports.

    All ports stay bound until the last one is chosen, so that none is chosen
    twice. Each site has its own loopback address: on 127.0.0.1 the system may
    assign a chosen port to the outgoing connection of another program.
    """
    high, low = divmod(os.getpid() % 65_024, 256)
    host = f"127.{high + 1}.{low}.{next(_site_numbers) % 254 + 1}"
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((host, 0))
    addresses = [f"{host}:{probe.getsockname()[1]}" for probe in probes]
    for probe in probes:
        probe.close()
    return addresses
