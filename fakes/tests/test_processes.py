"""Real daemons as processes: killed, frozen, restarted and stopped."""

import http.client
import json
import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from typing import Any

import pytest

from fakes.demo import bootstrapped, uuid7
from fakes.site import Answer, Site, VmPlan
from mintsaddle.cli import show_status
from mintsaddle.daemon import WATCH_SECONDS

SERVICES = """
[service letters]
class = letter
endpoints = a-letters b-letters
cold limit = 4
limit = 32
resume = yes

[service redirections]
kind = plain
class = order
repeat = no
endpoints = a-orders b-orders
cold limit = 16
limit = 32
bootstrap = {bootstrap}

[workspace counter]
services = letters redirections
"""

PLANS = (
    VmPlan("a-entry", "a", "entry"),
    VmPlan("b-entry", "b", "entry"),
    VmPlan("a-letters", "a", "endpoint", cold_limit=4),
    VmPlan("b-letters", "b", "endpoint", cold_limit=4),
    VmPlan("a-orders", "a", "endpoint"),
    VmPlan("b-orders", "b", "endpoint"),
)
HEADERS = {"Workspace": "counter", "Timeout": "15"}
TOKENS = 60
DRAFT = {"tokens": TOKENS, "pace": 0.02}
WAIT = 15.0


def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Return once a condition holds."""
    deadline = time.monotonic() + WAIT
    while not condition():
        assert time.monotonic() < deadline, f"never came: {what}"
        time.sleep(0.01)


class Running:
    """A serving site with callers in threads."""

    def __init__(self) -> None:
        self.site = Site(PLANS, bootstrapped(SERVICES))
        self.callers = ThreadPoolExecutor(16)

    def start(self) -> None:
        """Start and settle."""
        self.site.start()
        self.site.publish("fleet", 7, self.site.fleet_text())
        self.site.wait_until_serving()
        wait_for(self.both_homes_run, "both homes")

    def both_homes_run(self) -> bool:
        """Place an order; return whether each home has run one by now."""
        self.order("a-entry", uuid7())
        homes = ("a-orders", "b-orders")
        return all(self.site.executions(home)["executions"] for home in homes)

    def draft(self, entry: str) -> "Future[Answer]":
        """Begin a streamed draft."""
        return self.callers.submit(
            self.site.call, entry, "POST", "/letters/draft", DRAFT, HEADERS
        )

    def order(self, entry: str, key: str, pace: float = 0.0) -> Answer:
        """Place an order with a key."""
        headers = {**HEADERS, "Idempotency-Key": key}
        body = {"pace": pace}
        return self.site.call(entry, "POST", "/redirections/new", body, headers)

    def held(self, endpoint: str) -> int:
        """Return what an engine holds now."""
        return int(self.site.executions(endpoint)["held"])

    def runs(self, key: str) -> int:
        """Return how often an order has run."""
        names = ("a-orders", "b-orders")
        return sum(self.site.executions(n)["executions"].get(key, 0) for n in names)

    def status(self, entry: str) -> int:
        """Return an entry's health."""
        return self.site.call(entry, "GET", "/health").status


@pytest.fixture
def running() -> Iterator[Running]:
    """Return a site that serves, and stop it by process id."""
    site = Running()
    try:
        site.start()
        yield site
    finally:
        site.callers.shutdown(wait=False)
        site.site.stop()


def assert_whole(answer: Answer) -> None:
    """Check that a draft is whole: each token once, in order, with a count."""
    numbers = [int(event.rpartition("-")[2]) for event in answer.events]
    end = answer.end
    shown = (answer.outcome, numbers, end)
    assert answer.outcome == "done", shown
    assert numbers == list(range(1, TOKENS + 1)), shown
    assert end is not None, shown
    assert end["count"] == TOKENS, shown


class TestEndpointDaemon:
    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
    def test_drafts_go_on_elsewhere(
        self, running: Running, number: signal.Signals
    ) -> None:
        """Guards against streams that end with their daemon."""
        drafts = [running.draft("a-entry") for _ in range(3)]
        wait_for(lambda: running.held("a-letters") == 3, "three drafts at a")
        running.site.signal("a-letters", number)
        for draft in drafts:
            assert_whole(draft.result(WAIT))
        running.site.signal("a-letters", signal.SIGCONT)

    def test_stop_cuts_nothing(self, running: Running) -> None:
        """Guards against streams that a planned stop cuts."""
        drafts = [running.draft("a-entry") for _ in range(3)]
        wait_for(lambda: running.held("a-letters") == 3, "three drafts at a")
        running.site.signal("a-letters", signal.SIGTERM)
        later = [running.draft("a-entry") for _ in range(3)]
        for draft in drafts + later:
            assert_whole(draft.result(WAIT))
        assert running.site.wait_for_exit("a-letters") == 0
        assert running.site.executions("a-letters")["cancelled"] == 0

    def test_order_is_answered_after_a_planned_restart(self, running: Running) -> None:
        """Guards against a ledger that is lost by a planned restart."""
        key = uuid7()
        first = running.order("a-entry", key)
        home = next(
            name
            for name in ("a-orders", "b-orders")
            if key in running.site.executions(name)["executions"]
        )
        running.site.signal(home, signal.SIGTERM)
        assert running.site.wait_for_exit(home) == 0
        running.site.start_daemon(home)
        outcomes = []

        def answered() -> bool:
            outcomes.append(running.order("b-entry", key))
            return outcomes[-1].outcome not in ("ask-again", "not-run")

        wait_for(answered, "an answer of the new run")
        assert (outcomes[-1].outcome, running.runs(key)) == ("done", 1)
        assert outcomes[-1].body == first.body

    def test_killed_home_leaves_a_doubt_and_no_second_run(
        self, running: Running
    ) -> None:
        """Guards against an order that a home without memory runs again."""
        key = uuid7()
        order = running.callers.submit(running.order, "a-entry", key, 1.0)
        wait_for(lambda: running.runs(key) == 1, "the order at the service")
        home = "a-orders" if running.held("a-orders") else "b-orders"
        running.site.signal(home, signal.SIGKILL)
        assert order.result(WAIT).outcome == "in-doubt"
        running.site.start_daemon(home)

        def decided() -> bool:
            return running.order("b-entry", key).outcome == "in-doubt"

        wait_for(decided, "in-doubt of the new run")
        assert running.runs(key) == 1


class TestEntry:
    def test_stop_cuts_nothing(self, running: Running) -> None:
        """A planned stop of an entry would cut the callers it answers."""
        drafts = [running.draft("a-entry") for _ in range(3)]
        wait_for(lambda: running.held("a-letters") == 3, "three drafts at a")
        running.site.signal("a-entry", signal.SIGTERM)
        running.site.wait_for_health("a-entry", 503)
        for draft in drafts:
            assert_whole(draft.result(WAIT))
        assert running.site.wait_for_exit("a-entry") == 0

    def test_idle_stop_does_not_wait_for_a_watch(self, running: Running) -> None:
        """Guards against a process that outlives its stop for a watch."""
        started = time.monotonic()
        running.site.signal("b-orders", signal.SIGTERM)
        assert running.site.wait_for_exit("b-orders") == 0
        assert time.monotonic() - started < WATCH_SECONDS / 2

    def test_kill_never_doubles_an_order(self, running: Running) -> None:
        """Guards against an order that runs again by another entry."""
        key = uuid7()
        order = running.callers.submit(running.order, "a-entry", key, 1.0)
        wait_for(lambda: running.runs(key) == 1, "the order at the service")
        running.site.signal("a-entry", signal.SIGKILL)
        with pytest.raises((OSError, http.client.HTTPException)):
            order.result(WAIT)
        assert running.order("b-entry", key).outcome == "done"
        assert running.runs(key) == 1

    def test_frozen_entry_wakes_with_old_marks(self, running: Running) -> None:
        """Guards against work sent by a frozen entry's old marks."""
        running.site.signal("b-entry", signal.SIGSTOP)
        running.site.publish("marks", 1, "[marks]\ndata centre a = out\n")
        running.site.wait_for_health("a-entry", 503)
        before = running.site.executions("a-letters")["executions"]
        running.site.signal("b-entry", signal.SIGCONT)
        drafts = [running.draft("b-entry") for _ in range(3)]
        for draft in drafts:
            assert_whole(draft.result(WAIT))
        assert running.site.executions("a-letters")["executions"] == before

    def test_mark_ends_admissions_under_load(self, running: Running) -> None:
        """A data centre that is marked out would go on getting new work."""
        drafts = [running.draft("a-entry") for _ in range(3)]
        wait_for(lambda: running.held("a-letters") == 3, "three drafts at a")
        running.site.publish("marks", 1, "[marks]\ndata centre a = out\n")
        marked_at = time.time()
        drafts += [running.draft("b-entry") for _ in range(4)]
        for draft in drafts:
            assert_whole(draft.result(WAIT))
        last = float(show_row(running, "a-letters", "last admission"))
        assert last < marked_at + 3.0

    def test_hang_up_cancels_the_draft(self, running: Running) -> None:
        """An engine would go on writing a letter that nobody waits for."""
        connection = http.client.HTTPConnection(running.site.http["a-entry"])
        body = json.dumps({"tokens": 1000, "pace": 0.02})
        connection.request("POST", "/letters/draft", body, HEADERS)
        connection.getresponse().read1(10)
        assert running.held("a-letters") + running.held("b-letters") == 1
        connection.close()

        def idle() -> bool:
            return running.held("a-letters") + running.held("b-letters") == 0

        wait_for(idle, "the engine's end of the draft")


class TestEngine:
    def test_cold_restart_is_never_overrun(self, running: Running) -> None:
        """Guards against a cold engine that gets a warm engine's load."""
        drafts = [running.draft("a-entry") for _ in range(4)]
        wait_for(lambda: running.held("a-letters") > 0, "drafts at a")
        running.site.signal("a-letters engine", signal.SIGKILL)
        running.site.wait_for_exit("a-letters engine")
        running.site.start_engine("a-letters")
        drafts += [running.draft("a-entry") for _ in range(12)]
        outcomes = {draft.result(WAIT).outcome for draft in drafts}
        assert outcomes <= {"done", "not-run", "ask-again"}
        assert running.site.executions("a-letters")["overruns"] == 0
        assert running.site.executions("b-letters")["overruns"] == 0


class TestPlatform:
    def test_old_text_never_comes_back(self, running: Running) -> None:
        """Guards against an older text from a platform that came back."""
        running.site.publish("fleet", 8, running.site.fleet_text("# newer\n"))
        for name in running.site.addresses:
            wait_for(partial(has_revision, running, name, 8), f"8 at {name}")
        running.site.signal("platform", signal.SIGKILL)
        running.site.wait_for_exit("platform")
        wait_for(lambda: running.status("a-entry") == 200, "service with no platform")
        running.site.start_platform()
        running.site.publish("fleet", 7, running.site.fleet_text())
        running.site.signal("b-entry", signal.SIGKILL)
        running.site.wait_for_exit("b-entry")
        running.site.start_daemon("b-entry")
        running.site.wait_for_health("b-entry", 200)
        assert show_revision(running, "b-entry") == 8
        assert show_revision(running, "a-entry") == 8

    def test_garbage_text_is_refused_and_service_goes_on(
        self, running: Running
    ) -> None:
        running.site.publish("fleet", 9, "[fleet]\nname = \nrubbish")
        wait_for(lambda: "is refused" in running.site.log("a-entry"), "a refusal")
        assert_whole(running.draft("a-entry").result(WAIT))
        assert show_revision(running, "a-entry") == 7


GROUP_SERVICES = """
[service letters]
endpoints = a-1 a-2 a-3

[group letters]
ranks = a-1 a-2 a-3
experts = 8
layers = 2
slots = 3
interval = 1
step = 0.01
pause = 0.02
weight = 0.0001

[workspace counter]
services = letters
"""
RANKS = ("a-1", "a-2", "a-3")


class TestGroup:
    def test_coordinator_that_dies_leaves_one_map(self) -> None:
        """Guards against ranks that step on different maps, or on none."""
        plans = [VmPlan("a-entry", "a", "entry")]
        plans += [VmPlan(n, "a", "endpoint", rank=i) for i, n in enumerate(RANKS)]
        site = Site(plans, GROUP_SERVICES)
        try:
            site.start()
            site.publish("fleet", 1, site.fleet_text())
            wait_for(lambda: maps_of(site) not in ({1}, set()), "a planned map")
            site.signal("a-1", signal.SIGKILL)
            site.wait_for_exit("a-1")
            site.start_daemon("a-1")
            steps = site.executions("a-1")["steps"]
            wait_for(lambda: site.executions("a-1")["steps"] > steps + 50, "steps")
            wait_for(lambda: len(maps_of(site)) == 1, "one map")
            assert site.executions("a-1")["mixed"] == 0
        finally:
            site.stop()


def maps_of(site: Site) -> set[int]:
    """Return the versions of the maps that the ranks have."""
    return {int(site.executions(name)["map"]) for name in RANKS}


def has_revision(running: Running, name: str, revision: int) -> bool:
    """Return whether a daemon follows a revision."""
    return show_revision(running, name) == revision


def show_revision(running: Running, name: str) -> int:
    """Return a daemon's text revision as the tool shows it."""
    return int(show_row(running, name, "text revision"))


def show_row(running: Running, name: str, what: str) -> Any:
    """Return one line of a daemon's status as the tool shows it."""
    output = show_status(running.site.addresses[name]).unwrap()
    rows: dict[Any, Any] = {row[0]: row[1] for row in output.tables[0].rows}
    return rows[what]
