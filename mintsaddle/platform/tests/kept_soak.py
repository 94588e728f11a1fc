"""Soak of real entries: stops, reloads and changes beside kept connections.

    python -m mintsaddle.platform.tests.kept_soak --seeds 1-50 --seconds 25

Events come in series and overlap. Whatever happens, no request that an
endpoint received, or that was sent for longer than a close may cross it, ends
without a complete answer, and no refusal is false.
"""

import argparse
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from mintsaddle.platform.tests import failing_entry, narrow_entry, standins
from mintsaddle.platform.tests.kept_callers import (
    BALANCER_SECONDS,
    Balancer,
    Ended,
    KeptCaller,
)
from mintsaddle.platform.tests.kept_endpoints import make_responder
from mintsaddle.platform.tests.standins import Endpoint, Entry, Site, wait_for

STILL_RUNNING = -1_000
"""Stands for the exit code of an entry that hasn't ended in time."""

MIN_RUNNING = 2
PAUSES = (0.0, 0.2, 4.0, 4.0)
"""Longest pauses between two requests of a connection, in seconds. Callers
with the long ones meet the close of idle connections."""

STOP_SECONDS = 8.0
INTERNAL_ERROR = 500
CALLERS_THREAD = "callers"
FAILING_THREADS = (
    CALLERS_THREAD,
    "readiness",
    "follow",
    "peers",
    "maps",
    "limits",
    "watchdog",
)
FIRST_START_MS = 1_700_000_000_000
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Plan(NamedTuple):
    """The size and length of a soak."""

    seed: int
    seconds: float = 25.0
    entries: int = 4
    endpoints: int = 3
    callers: int = 32
    has_pauses: bool = True
    """Whether processes are paused and the store fails, too."""

    has_failures: bool = False
    """Whether exceptions are raised in the threads of entries, too."""


class Report(NamedTuple):
    """What a soak has found."""

    answered: int
    crossed: int
    """Requests that a close crossed."""

    stops: int
    statuses: Counter[int]
    faults: list[str]


class Soak:
    """One soak."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._site = Site(folder)
        module = failing_entry if plan.has_failures else narrow_entry
        self._site.module = module.__name__
        self._site.endpoints = [
            Endpoint(f"e-{number}") for number in range(plan.endpoints)
        ]
        self._balancer = Balancer()
        self._running: list[Entry] = []
        self._stopping: list[tuple[Entry, float]] = []
        self._version = 1
        self._leaving: Endpoint | None = None
        self._starts = 0
        self._ends_at = 0.0
        self._faults: list[str] = []
        self._raised_in_loop = 0

    def run(self) -> Report:
        """Run the soak."""
        site, plan = self._site, self._plan
        for endpoint in site.endpoints:
            endpoint.default_responder = make_responder(plan.seed, endpoint.name)
        try:
            site.store.put("op/config", standins.make_configuration())
            for endpoint in site.endpoints:
                self._announce(endpoint, "ready")
            for _ in range(plan.entries):
                self._add_entry()
            callers = [
                KeptCaller(
                    self._balancer,
                    f"c{number}",
                    plan.seed,
                    PAUSES[number % len(PAUSES)],
                )
                for number in range(plan.callers)
            ]
            self._ends_at = time.monotonic() + plan.seconds
            checks = threading.Thread(target=self._check_readiness, daemon=True)
            checks.start()
            for caller in callers:
                caller.start()
            self._disturb()
            for caller in callers:
                caller.stop()
            for caller in callers:
                caller.join(15.0)
            for entry, stopped_at in self._stopping:
                self._check_end(entry, stopped_at)
            return self._judge([one for caller in callers for one in caller.ended])
        finally:
            for entry in site.entries:
                entry.process.send_signal(signal.SIGCONT)
                entry.stop()

    def _announce(self, endpoint: Endpoint, state: str, **overrides: Any) -> None:
        item = standins.make_announcement(
            endpoint, "desk", state=state, slots=200, **overrides
        )
        self._site.store.put(f"servers/{endpoint.name}", item)

    def _add_entry(self) -> None:
        seeds = [entry.control for entry in self._running[:3]]
        entry = self._site.add_entry(self._site.store.address, seeds)
        wait_for(entry.is_ready, "ready entry")
        self._running.append(entry)
        self._balancer.add(entry)

    def _check_readiness(self) -> None:
        while time.monotonic() < self._ends_at:
            self._balancer.check()
            time.sleep(BALANCER_SECONDS)

    def _disturb(self) -> None:
        """Disturb the site until the end of the soak."""
        events: list[Callable[[], None]] = [
            *[self._stop_entry] * 4,
            *[self._reload] * 2,
            *[self._configure] * 2,
            self._drain_endpoint,
        ]
        if self._plan.has_pauses:
            events += [self._pause_entry, self._fail_store, self._slow_store]
        if self._plan.has_failures:
            events += [self._raise_in_thread] * 8
        while time.monotonic() < self._ends_at:
            self._rng.choice(events)()
            time.sleep(self._rng.choice((0.0, 0.1, 0.5, 1.0)))

    def _stop_entry(self) -> None:
        if len(self._running) <= MIN_RUNNING:
            self._add_entry()
            return
        entry = self._running.pop(self._rng.randrange(len(self._running)))
        entry.terminate()
        self._stopping.append((entry, time.monotonic()))

    def _reload(self) -> None:
        entry = self._rng.choice(self._site.entries)
        if entry.process.poll() is None:
            entry.process.send_signal(signal.SIGHUP)
            if self._rng.random() < 0.3 and entry not in self._running:
                entry.terminate()

    def _configure(self) -> None:
        self._version += 1
        configuration = standins.make_configuration(version=self._version)
        limits = configuration["limits"]
        assert isinstance(limits, dict)
        limits["idle_timeout_ms"] = self._rng.choice((1_000, 2_000, 15_000))
        self._site.store.put("op/config", configuration)

    def _drain_endpoint(self) -> None:
        """Let one endpoint leave; the one that left before comes back."""
        if self._leaving is not None:
            self._starts += 1
            self._announce(self._leaving, "ready", born=FIRST_START_MS + self._starts)
        self._leaving = self._rng.choice(self._site.endpoints)
        self._announce(self._leaving, "draining")

    def _pause_entry(self) -> None:
        entry = self._rng.choice(self._site.entries)
        if entry.process.poll() is None:
            entry.process.send_signal(signal.SIGSTOP)
            time.sleep(self._rng.uniform(0.05, 0.8))
            entry.process.send_signal(signal.SIGCONT)

    def _raise_in_thread(self) -> None:
        entry = self._rng.choice(self._site.entries)
        thread = self._rng.choice(FAILING_THREADS)
        self._raised_in_loop += thread == CALLERS_THREAD
        failing_entry.raise_in(entry.settings, thread)

    def _fail_store(self) -> None:
        store = self._site.store
        if store.is_down:
            return
        store.is_down = True
        seconds = self._rng.uniform(0.5, 3.0)
        threading.Timer(seconds, setattr, (store, "is_down", False)).start()

    def _slow_store(self) -> None:
        store = self._site.store
        store.delay = self._rng.uniform(0.2, 2.0)
        seconds = self._rng.uniform(0.5, 3.0)
        threading.Timer(seconds, setattr, (store, "delay", 0.0)).start()

    def _check_end(self, entry: Entry, stopped_at: float) -> None:
        left = max(0.1, stopped_at + STOP_SECONDS + 1.0 - time.monotonic())
        try:
            code = entry.process.wait(left)
        except subprocess.TimeoutExpired:
            code = STILL_RUNNING
        log = entry.log()
        if code != 0:
            self._faults.append(f"entry ended with {code}: {log[-1_500:]}")
        is_sound = self._plan.has_failures or "Failure survived" not in log
        if "Exception in thread" in log or not is_sound:
            self._faults.append(f"an entry failed: {log[-2_000:]}")

    def _judge(self, ended: Sequence[Ended]) -> Report:
        arrivals = Counter(
            request["X-Mintsaddle-Attempt-Id"] for request in self._site.requests()
        )
        faults = self._faults
        crossed = 0
        # Each exception in their loop may cost one connection.
        may_be_lost = self._raised_in_loop
        for one in ended:
            arrived = arrivals[one.attempt]
            is_order = one.kind in ("order", "slow-body")
            is_lost = one.status == 0 and (arrived or not one.is_crossing)
            if is_lost and may_be_lost:
                may_be_lost -= 1
            elif is_lost:
                faults.append(f"lost {one}, arrived {arrived}")
            elif one.status == 0:
                crossed += 1
            elif not one.is_whole or one.status == INTERNAL_ERROR:
                faults.append(f"not whole {one}")
            if is_order and arrived > 1:
                faults.append(f"twice {one}")
            if is_order and arrived and one.status in _NOT_RUN_STATUSES:
                faults.append(f"falsely refused {one}")
        statuses = Counter(one.status for one in ended)
        answered = len(ended) - statuses[0]
        return Report(answered, crossed, len(self._stopping), statuses, faults)


def run_soak(plan: Plan, folder: Path) -> Report:
    """Run one soak in a folder for settings and logs."""
    return Soak(plan, folder).run()


def main() -> int:
    """Run soaks for a range of seeds; 1 if one of them found a fault."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-50")
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--callers", type=int, default=32)
    parser.add_argument("--no-pauses", action="store_true")
    parser.add_argument("--failures", action="store_true")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    has_faults = False
    for seed in range(int(first), int(last or first) + 1):
        plan = Plan(
            seed,
            options.seconds,
            options.entries,
            callers=options.callers,
            has_pauses=not options.no_pauses,
            has_failures=options.failures,
        )
        with tempfile.TemporaryDirectory(prefix="mintsaddle-soak-") as folder:
            report = run_soak(plan, Path(folder))
        print(
            f"seed {seed}: {report.answered} answered, {report.crossed} crossed,"
            f" {report.stops} stops, {dict(report.statuses)},"
            f" {len(report.faults)} faults",
            *report.faults[:8],
            sep="\n  ",
            flush=True,
        )
        has_faults = has_faults or bool(report.faults)
    return int(has_faults)


if __name__ == "__main__":
    sys.exit(main())
