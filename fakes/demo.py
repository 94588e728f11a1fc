"""The demonstration: a small site, called and checked from outside."""

import random
import sys
import time
import uuid
from datetime import UTC, datetime, timedelta

from fakes.site import Answer, Site, VmPlan

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
_WAIT = 10.0


class Demo:
    """One run of the demonstration and what differed in it."""

    def __init__(self) -> None:
        self._site = Site(PLANS, bootstrapped(SERVICES))
        self._differences: list[str] = []

    def run(self) -> int:
        """Run everything; return the exit code."""
        try:
            self._start()
            self._show_stream()
            self._show_lookup()
            self._show_order()
            self._show_marks()
            self._show_group()
        finally:
            self._site.stop()
        for difference in self._differences:
            print(f"DIFFERS: {difference}")
        print("demo failed" if self._differences else "demo passed")
        return 1 if self._differences else 0

    def _check(self, what: str, *, good: bool, shown: object) -> None:
        print(f"{what}: {shown}")
        if not good:
            self._differences.append(f"{what}: {shown}")

    def _start(self) -> None:
        self._site.start()
        self._site.publish("fleet", 7, self._site.fleet_text())
        self._site.wait_until_serving()
        print("two data centres serve")

    def _show_stream(self) -> None:
        body = {"tokens": 20, "pace": 0.01}
        answer = self._call("dk1-entry", "/letters/draft", body)
        whole = answer.outcome == "done" and len(answer.events) == 20
        shown = f"{answer.outcome}, {len(answer.events)} tokens"
        self._check("streamed letter draft", good=whole, shown=shown)

    def _show_lookup(self) -> None:
        answer = self._call("dk2-entry", "/history/clamp/4", {"clamp": 4})
        self._check(
            "history lookup", good=answer.outcome == "done", shown=answer.outcome
        )

    def _show_order(self) -> None:
        issued = self._settled_call("dk1-entry", "/redirections/keys", {})
        key = issued.headers.get("Idempotency-Key", "")
        self._order_twice("order with an issued key", key)
        self._order_twice("order with a brought key", self._brought_key())

    def _order_twice(self, what: str, key: str) -> None:
        headers = {"Idempotency-Key": key}
        first = self._settled_call("dk1-entry", "/redirections/new", headers)
        second = self._call("dk2-entry", "/redirections/new", {"to": "Aarhus"}, headers)
        runs = sum(
            self._site.executions(name)["executions"].get(key, 0)
            for name in ("dk1-orders", "dk2-orders")
        )
        same = first.body == second.body
        good = (first.outcome, second.outcome, runs, same) == ("done", "done", 1, True)
        shown = f"{first.outcome}, again {second.outcome}, ran {runs}, same {same}"
        self._check(what, good=good, shown=shown)

    def _settled_call(self, entry: str, path: str, headers: dict[str, str]) -> Answer:
        """Call until the homes have agreed, as a caller does."""
        deadline = time.monotonic() + _WAIT
        while True:
            answer = self._call(entry, path, {"to": "Aarhus"}, headers)
            if answer.outcome != "ask-again" or time.monotonic() > deadline:
                return answer
            time.sleep(0.2)

    def _brought_key(self) -> str:
        """Draw a key as a caller does, once the homes take new ones."""
        time.sleep(1.0)
        return uuid7()

    def _show_marks(self) -> None:
        self._site.publish("marks", 1, "[marks]\ndata centre dk1 = out\n")
        seconds = self._site.wait_for_health("dk1-entry", 503)
        self._check("dk1 out", good=seconds < 3, shown=f"after {seconds:.2f} s")
        before = self._runs("dk1-engine1") + self._runs("dk1-engine2")
        body = {"tokens": 3}
        answers = [self._call("dk2-entry", "/letters/draft", body) for _ in range(6)]
        outcomes = {answer.outcome for answer in answers}
        added = self._runs("dk1-engine1") + self._runs("dk1-engine2") - before
        good = outcomes == {"done"} and added == 0
        self._check("calls while dk1 is out", good=good, shown=f"{outcomes}, {added}")
        self._site.publish("marks", 2, "[marks]\ndata centre dk1 = in\n")
        seconds = self._site.wait_for_health("dk1-entry", 200)
        self._check("dk1 in", good=seconds < 3, shown=f"after {seconds:.2f} s")
        answer = self._call("dk1-entry", "/letters/draft", body)
        self._check("call after", good=answer.outcome == "done", shown=answer.outcome)

    def _show_group(self) -> None:
        """Wait until the group works on a planned map, all ranks on one."""
        ranks = [plan.name for plan in PLANS if plan.rank is not None]
        deadline = time.monotonic() + _WAIT
        while True:
            shown = [self._site.executions(name) for name in ranks]
            maps = {item["map"] for item in shown}
            settled = len(maps) == 1 and max(maps) > 1
            if settled or time.monotonic() > deadline:
                break
            time.sleep(0.1)
        mixed = shown[0]["mixed"]
        good = settled and mixed == 0 and shown[0]["steps"] > 0
        text = f"{len(maps)} map on 4 ranks, {shown[0]['steps']} steps, {mixed} mixed"
        self._check("expert map of the group", good=good, shown=text)

    def _runs(self, endpoint: str) -> int:
        return sum(self._site.executions(endpoint)["executions"].values())

    def _call(
        self,
        entry: str,
        path: str,
        body: object,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        merged = {**_HEADERS, **(headers or {})}
        return self._site.call(entry, "POST", path, body, merged)


def bootstrapped(services: str) -> str:
    """Fill in a bootstrap date later than the start of any daemon.

    A person who builds a site writes the time at which the text is published;
    here the text is published seconds from now.
    """
    moment = datetime.now(UTC) + timedelta(seconds=30)
    return services.format(bootstrap=moment.isoformat(timespec="seconds"))


def uuid7() -> str:
    """Return a UUIDv7 as a caller's library draws it (RFC 9562)."""
    number = int(time.time() * 1000) << 80 | 7 << 76 | random.getrandbits(12) << 64
    return str(uuid.UUID(int=number | 2 << 62 | random.getrandbits(62)))


if __name__ == "__main__":
    sys.exit(Demo().run())
