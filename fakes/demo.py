"""A demonstration that calls a small site and checks its responses."""

import random
import sys
import time
import uuid
from datetime import UTC, datetime, timedelta

from fakes.site import Response, Site, VmPlan

SERVICES = """
[service letters]
class = letter
endpoints = dk1-engine1 dk1-engine2 dk2-engine1 dk2-engine2
cold limit = 2
limit = 8
resume = yes

[service history]
kind = plain
class = lookup
endpoints = dk1-orders dk2-orders
cold limit = 8
limit = 16

[service redirections]
kind = plain
class = order
repeat = no
endpoints = dk1-orders dk2-orders
cold limit = 8
limit = 16
bootstrap = {bootstrap}

[group letters]
ranks = dk1-engine1 dk1-engine2 dk2-engine1 dk2-engine2
experts = 8
layers = 2
slots = 3
interval = 1
step = 0.01
pause = 0.05
weight = 0.0001

[workspace counter]
share = 2
services = letters history redirections
"""

PLANS = (
    VmPlan("dk1-entry", "dk1", "entry"),
    VmPlan("dk2-entry", "dk2", "entry"),
    VmPlan("dk1-engine1", "dk1", "endpoint", cold_limit=2, rank=0),
    VmPlan("dk1-engine2", "dk1", "endpoint", cold_limit=2, rank=1),
    VmPlan("dk2-engine1", "dk2", "endpoint", cold_limit=2, rank=2),
    VmPlan("dk2-engine2", "dk2", "endpoint", cold_limit=2, rank=3),
    VmPlan("dk1-orders", "dk1", "endpoint"),
    VmPlan("dk2-orders", "dk2", "endpoint"),
)

_HEADERS = {"Workspace": "counter", "Timeout": "10"}
_WAIT_SECONDS = 10.0


class Demo:
    """One run of the demonstration and the checks that failed in it."""

    def __init__(self) -> None:
        self._site = Site(PLANS, fill_bootstrap_date(SERVICES))
        self._failures: list[str] = []

    def run(self) -> int:
        """Run all checks and return the exit code."""
        try:
            self._start()
            self._check_stream()
            self._check_lookup()
            self._check_order()
            self._check_marks()
            self._check_group()
        finally:
            self._site.stop()
        for failure in self._failures:
            print(f"DIFFERS: {failure}")
        print("demo failed" if self._failures else "demo passed")
        return 1 if self._failures else 0

    def _check(self, what: str, *, passed: bool, result: object) -> None:
        print(f"{what}: {result}")
        if not passed:
            self._failures.append(f"{what}: {result}")

    def _start(self) -> None:
        self._site.start()
        self._site.publish("fleet", 7, self._site.fleet_text())
        self._site.wait_until_serving()
        print("both data centres are serving")

    def _check_stream(self) -> None:
        body = {"tokens": 20, "pace": 0.01}
        response = self._call("dk1-entry", "/letters/draft", body)
        complete = response.outcome == "done" and len(response.events) == 20
        result = f"{response.outcome}, {len(response.events)} tokens"
        self._check("streamed letter draft", passed=complete, result=result)

    def _check_lookup(self) -> None:
        response = self._call("dk2-entry", "/history/clamp/4", {"clamp": 4})
        self._check(
            "history lookup", passed=response.outcome == "done", result=response.outcome
        )

    def _check_order(self) -> None:
        issued = self._call_until_decided("dk1-entry", "/redirections/keys", {})
        key = issued.headers.get("Idempotency-Key", "")
        self._check_repeated_order("order with an issued key", key)
        self._check_repeated_order(
            "order with a caller's key", self._create_caller_key()
        )

    def _check_repeated_order(self, what: str, key: str) -> None:
        headers = {"Idempotency-Key": key}
        first = self._call_until_decided("dk1-entry", "/redirections/new", headers)
        second = self._call("dk2-entry", "/redirections/new", {"to": "Aarhus"}, headers)
        runs = sum(
            self._site.executions(name)["executions"].get(key, 0)
            for name in ("dk1-orders", "dk2-orders")
        )
        same = first.body == second.body
        passed = (first.outcome, second.outcome, runs, same) == (
            "done",
            "done",
            1,
            True,
        )
        result = f"{first.outcome}, again {second.outcome}, ran {runs}, same {same}"
        self._check(what, passed=passed, result=result)

    def _call_until_decided(
        self, entry: str, path: str, headers: dict[str, str]
    ) -> Response:
        """Repeat a call as long as its outcome is ``ask-again``."""
        deadline = time.monotonic() + _WAIT_SECONDS
        while True:
            response = self._call(entry, path, {"to": "Aarhus"}, headers)
            if response.outcome != "ask-again" or time.monotonic() > deadline:
                return response
            time.sleep(0.2)

    def _create_caller_key(self) -> str:
        """Wait until the homes accept new keys and return a caller's key."""
        time.sleep(1.0)
        return uuid7()

    def _check_marks(self) -> None:
        self._site.publish("marks", 1, "[marks]\ndata centre dk1 = out\n")
        seconds = self._site.wait_for_health("dk1-entry", 503)
        self._check("dk1 out", passed=seconds < 3, result=f"after {seconds:.2f} s")
        before = self._execution_count("dk1-engine1") + self._execution_count(
            "dk1-engine2"
        )
        body = {"tokens": 3}
        responses = [self._call("dk2-entry", "/letters/draft", body) for _ in range(6)]
        outcomes = {response.outcome for response in responses}
        added = (
            self._execution_count("dk1-engine1")
            + self._execution_count("dk1-engine2")
            - before
        )
        passed = outcomes == {"done"} and added == 0
        self._check(
            "calls while dk1 is out", passed=passed, result=f"{outcomes}, {added}"
        )
        self._site.publish("marks", 2, "[marks]\ndata centre dk1 = in\n")
        seconds = self._site.wait_for_health("dk1-entry", 200)
        self._check("dk1 in", passed=seconds < 3, result=f"after {seconds:.2f} s")
        response = self._call("dk1-entry", "/letters/draft", body)
        self._check(
            "call after dk1 is in",
            passed=response.outcome == "done",
            result=response.outcome,
        )

    def _check_group(self) -> None:
        """Check that all ranks of the group switch to the same planned map."""
        ranks = [plan.name for plan in PLANS if plan.rank is not None]
        deadline = time.monotonic() + _WAIT_SECONDS
        while True:
            counters = [self._site.executions(name) for name in ranks]
            maps = {item["map"] for item in counters}
            settled = len(maps) == 1 and max(maps) > 1
            if settled or time.monotonic() > deadline:
                break
            time.sleep(0.1)
        mixed = counters[0]["mixed"]
        passed = settled and mixed == 0 and counters[0]["steps"] > 0
        text = (
            f"{len(maps)} map on 4 ranks, {counters[0]['steps']} steps, {mixed} mixed"
        )
        self._check("expert map of the group", passed=passed, result=text)

    def _execution_count(self, endpoint: str) -> int:
        return sum(self._site.executions(endpoint)["executions"].values())

    def _call(
        self,
        entry: str,
        path: str,
        body: object,
        headers: dict[str, str] | None = None,
    ) -> Response:
        merged = {**_HEADERS, **(headers or {})}
        return self._site.call(entry, "POST", path, body, merged)


def fill_bootstrap_date(services: str) -> str:
    """Fill in a bootstrap date that is later than the start of any daemon.

    An operator sets the date to the time at which the text is published; here
    the text is published seconds from now.
    """
    moment = datetime.now(UTC) + timedelta(seconds=30)
    return services.format(bootstrap=moment.isoformat(timespec="seconds"))


def uuid7() -> str:
    """Return a UUIDv7 (RFC 9562), as a caller's library generates it."""
    number = int(time.time() * 1000) << 80 | 7 << 76 | random.getrandbits(12) << 64
    return str(uuid.UUID(int=number | 2 << 62 | random.getrandbits(62)))


if __name__ == "__main__":
    sys.exit(Demo().run())
