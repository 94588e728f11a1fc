"""Tests of real daemon processes that are killed, frozen or restarted."""

import http.client
import json
import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from typing import Any

import pytest

from fakes.demo import fill_bootstrap_date, uuid7
from fakes.site import Response, Site, VmPlan
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
WAIT_SECONDS = 15.0


def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Poll a condition until it holds; fail after ``WAIT_SECONDS`` seconds."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for {what}"
        time.sleep(0.01)


class RunningSite:
    """A running site and a thread pool that calls it."""

    def __init__(self) -> None:
        self.site = Site(PLANS, fill_bootstrap_date(SERVICES))
        self.callers = ThreadPoolExecutor(16)

    def start(self) -> None:
        """Start the site and wait until both homes run orders."""
        self.site.start()
        self.site.publish("fleet", 7, self.site.fleet_text())
        self.site.wait_until_serving()
        wait_for(self.have_both_homes_run, "both homes to run orders")

    def have_both_homes_run(self) -> bool:
        """Place an order and return whether each home has run at least one."""
        self.order("a-entry", uuid7())
        homes = ("a-orders", "b-orders")
        return all(self.site.executions(home)["executions"] for home in homes)

    def draft(self, entry: str) -> "Future[Response]":
        """Start a streamed draft."""
        return self.callers.submit(
            self.site.call, entry, "POST", "/letters/draft", DRAFT, HEADERS
        )

    def order(self, entry: str, key: str, pace: float = 0.0) -> Response:
        """Place an order with a key."""
        headers = {**HEADERS, "Idempotency-Key": key}
        body = {"pace": pace}
        return self.site.call(entry, "POST", "/redirections/new", body, headers)

    def in_flight(self, endpoint: str) -> int:
        """Return the number of requests that an engine is running."""
        return int(self.site.executions(endpoint)["held"])

    def execution_count(self, key: str) -> int:
        """Return how many times an order has run."""
        names = ("a-orders", "b-orders")
        return sum(self.site.executions(n)["executions"].get(key, 0) for n in names)

    def status(self, entry: str) -> int:
        """Return the HTTP status of an entry's health check."""
        return self.site.call(entry, "GET", "/health").status


@pytest.fixture
def running() -> Iterator[RunningSite]:
    """Provide a running site and stop it after the test."""
    running_site = RunningSite()
    try:
        running_site.start()
        yield running_site
    finally:
        running_site.callers.shutdown(wait=False)
        running_site.site.stop()


def assert_complete(response: Response) -> None:
    """Check that a draft has each token once, in order, and the count."""
    numbers = [int(event.rpartition("-")[2]) for event in response.events]
    end_event = response.end_event
    details = (response.outcome, numbers, end_event)
    assert response.outcome == "done", details
    assert numbers == list(range(1, TOKENS + 1)), details
    assert end_event is not None, details
    assert end_event["count"] == TOKENS, details


class TestEndpointDaemon:
    @pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
    def test_drafts_continue_on_another_endpoint(
        self, running: RunningSite, signal_number: signal.Signals
    ) -> None:
        """Guards against streams that end with a killed or frozen daemon."""
        drafts = [running.draft("a-entry") for _ in range(3)]
        wait_for(
            lambda: running.in_flight("a-letters") == 3, "three drafts at a-letters"
        )
        running.site.signal("a-letters", signal_number)
        for draft in drafts:
            assert_complete(draft.result(WAIT_SECONDS))
        running.site.signal("a-letters", signal.SIGCONT)

    def test_stop_interrupts_no_draft(self, running: RunningSite) -> None:
        """Guards against streams that a planned stop interrupts."""
        drafts = [running.draft("a-entry") for _ in range(3)]
        wait_for(
            lambda: running.in_flight("a-letters") == 3, "three drafts at a-letters"
        )
        running.site.signal("a-letters", signal.SIGTERM)
        later = [running.draft("a-entry") for _ in range(3)]
        for draft in drafts + later:
            assert_complete(draft.result(WAIT_SECONDS))
        assert running.site.wait_for_exit("a-letters") == 0
        assert running.site.executions("a-letters")["cancelled"] == 0

    def test_order_is_answered_after_a_planned_restart(
        self, running: RunningSite
    ) -> None:
        """Guards against a planned restart that loses the ledger."""
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

        def is_answered() -> bool:
            outcomes.append(running.order("b-entry", key))
            return outcomes[-1].outcome not in ("ask-again", "not-run")

        wait_for(is_answered, "an answer of the restarted home")
        assert (outcomes[-1].outcome, running.execution_count(key)) == ("done", 1)
        assert outcomes[-1].body == first.body

    def test_killed_home_answers_in_doubt_and_never_reruns(
        self, running: RunningSite
    ) -> None:
        """Guards against a home that loses its memory and reruns an order."""
        key = uuid7()
        order = running.callers.submit(running.order, "a-entry", key, 1.0)
        wait_for(lambda: running.execution_count(key) == 1, "the order to run")
        home = "a-orders" if running.in_flight("a-orders") else "b-orders"
        running.site.signal(home, signal.SIGKILL)
        assert order.result(WAIT_SECONDS).outcome == "in-doubt"
        running.site.start_daemon(home)

        def is_in_doubt() -> bool:
            return running.order("b-entry", key).outcome == "in-doubt"

        wait_for(is_in_doubt, "in-doubt from the restarted home")
        assert running.execution_count(key) == 1


class TestEntry:
    def test_stop_interrupts_no_draft(self, running: RunningSite) -> None:
        """Guards against a planned stop that interrupts an entry's callers."""
        drafts = [running.draft("a-entry") for _ in range(3)]
        wait_for(
            lambda: running.in_flight("a-letters") == 3, "three drafts at a-letters"
        )
        running.site.signal("a-entry", signal.SIGTERM)
        running.site.wait_for_health("a-entry", 503)
        for draft in drafts:
            assert_complete(draft.result(WAIT_SECONDS))
        assert running.site.wait_for_exit("a-entry") == 0

    def test_idle_stop_does_not_wait_for_a_watch(self, running: RunningSite) -> None:
        """Guards against a stop that waits for an open watch to return."""
        started = time.monotonic()
        running.site.signal("b-orders", signal.SIGTERM)
        assert running.site.wait_for_exit("b-orders") == 0
        assert time.monotonic() - started < WATCH_SECONDS / 2

    def test_stop_answers_a_request_that_is_arriving(
        self, running: RunningSite
    ) -> None:
        """Guards against an entry that exits while a body arrives."""
        connection = http.client.HTTPConnection(running.site.http["a-entry"])
        connection.putrequest("POST", "/redirections/new")
        for name, value in {**HEADERS, "Content-Length": "12"}.items():
            connection.putheader(name, value)
        connection.endheaders()
        connection.send(b'{"pace"')
        running.site.signal("a-entry", signal.SIGTERM)
        time.sleep(1.5)
        connection.send(b": 0} ")
        assert connection.getresponse().status == 503
        assert running.site.wait_for_exit("a-entry") == 0

    def test_kill_never_runs_an_order_twice(self, running: RunningSite) -> None:
        """Guards against an order that another entry runs a second time."""
        key = uuid7()
        order = running.callers.submit(running.order, "a-entry", key, 1.0)
        wait_for(lambda: running.execution_count(key) == 1, "the order to run")
        running.site.signal("a-entry", signal.SIGKILL)
        with pytest.raises((OSError, http.client.HTTPException)):
            order.result(WAIT_SECONDS)
        assert running.order("b-entry", key).outcome == "done"
        assert running.execution_count(key) == 1

    def test_resumed_entry_does_not_use_old_marks(self, running: RunningSite) -> None:
        """Guards against an entry that uses old marks after it was frozen."""
        running.site.signal("b-entry", signal.SIGSTOP)
        running.site.publish("marks", 1, "[marks]\ndata centre a = out\n")
        running.site.wait_for_health("a-entry", 503)
        before = running.site.executions("a-letters")["executions"]
        running.site.signal("b-entry", signal.SIGCONT)
        drafts = [running.draft("b-entry") for _ in range(3)]
        for draft in drafts:
            assert_complete(draft.result(WAIT_SECONDS))
        assert running.site.executions("a-letters")["executions"] == before

    def test_mark_ends_admissions_under_load(self, running: RunningSite) -> None:
        """Guards against new work for a data centre that is marked out."""
        drafts = [running.draft("a-entry") for _ in range(3)]
        wait_for(
            lambda: running.in_flight("a-letters") == 3, "three drafts at a-letters"
        )
        running.site.publish("marks", 1, "[marks]\ndata centre a = out\n")
        marked_at = time.time()
        drafts += [running.draft("b-entry") for _ in range(4)]
        for draft in drafts:
            assert_complete(draft.result(WAIT_SECONDS))
        last = float(read_status_row(running, "a-letters", "last admission"))
        assert last < marked_at + 3.0

    def test_hang_up_cancels_the_draft(self, running: RunningSite) -> None:
        """Guards against an engine that decodes for a disconnected caller."""
        connection = http.client.HTTPConnection(running.site.http["a-entry"])
        body = json.dumps({"tokens": 1000, "pace": 0.02})
        connection.request("POST", "/letters/draft", body, HEADERS)
        connection.getresponse().read1(10)
        assert running.in_flight("a-letters") + running.in_flight("b-letters") == 1
        connection.close()

        def is_idle() -> bool:
            return running.in_flight("a-letters") + running.in_flight("b-letters") == 0

        wait_for(is_idle, "the engine to end the draft")


class TestEngine:
    def test_cold_restart_is_never_overrun(self, running: RunningSite) -> None:
        """Guards against a cold engine that gets a warm engine's load."""
        drafts = [running.draft("a-entry") for _ in range(4)]
        wait_for(lambda: running.in_flight("a-letters") > 0, "drafts at a-letters")
        running.site.signal("a-letters engine", signal.SIGKILL)
        running.site.wait_for_exit("a-letters engine")
        running.site.start_engine("a-letters")
        drafts += [running.draft("a-entry") for _ in range(12)]
        outcomes = {draft.result(WAIT_SECONDS).outcome for draft in drafts}
        assert outcomes <= {"done", "not-run", "ask-again"}
        assert running.site.executions("a-letters")["overruns"] == 0
        assert running.site.executions("b-letters")["overruns"] == 0


class TestPlatform:
    def test_old_text_is_never_restored(self, running: RunningSite) -> None:
        """Guards against an older text from a restarted platform."""
        running.site.publish("fleet", 8, running.site.fleet_text("# newer\n"))
        for name in running.site.addresses:
            wait_for(partial(has_revision, running, name, 8), f"revision 8 at {name}")
        running.site.signal("platform", signal.SIGKILL)
        running.site.wait_for_exit("platform")
        wait_for(
            lambda: running.status("a-entry") == 200,
            "the entry to serve without the platform",
        )
        running.site.start_platform()
        running.site.publish("fleet", 7, running.site.fleet_text())
        running.site.signal("b-entry", signal.SIGKILL)
        running.site.wait_for_exit("b-entry")
        running.site.start_daemon("b-entry")
        running.site.wait_for_health("b-entry", 200)
        assert read_text_revision(running, "b-entry") == 8
        assert read_text_revision(running, "a-entry") == 8

    def test_garbage_text_is_refused_and_service_goes_on(
        self, running: RunningSite
    ) -> None:
        running.site.publish("fleet", 9, "[fleet]\nname = \nrubbish")
        wait_for(
            lambda: "is refused" in running.site.log("a-entry"),
            "the refusal of the text",
        )
        assert_complete(running.draft("a-entry").result(WAIT_SECONDS))
        assert read_text_revision(running, "a-entry") == 7


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
        """Guards against ranks that step with different maps or with none."""
        plans = [VmPlan("a-entry", "a", "entry")]
        plans += [VmPlan(n, "a", "endpoint", rank=i) for i, n in enumerate(RANKS)]
        site = Site(plans, GROUP_SERVICES)
        try:
            site.start()
            site.publish("fleet", 1, site.fleet_text())
            wait_for(lambda: map_versions(site) not in ({1}, set()), "a planned map")
            site.signal("a-1", signal.SIGKILL)
            site.wait_for_exit("a-1")
            site.start_daemon("a-1")
            steps = site.executions("a-1")["steps"]
            wait_for(
                lambda: site.executions("a-1")["steps"] > steps + 50, "50 more steps"
            )
            wait_for(lambda: len(map_versions(site)) == 1, "one map")
            assert site.executions("a-1")["mixed"] == 0
        finally:
            site.stop()


def map_versions(site: Site) -> set[int]:
    """Return the distinct map versions of the ranks."""
    return {int(site.executions(name)["map"]) for name in RANKS}


def has_revision(running: RunningSite, name: str, revision: int) -> bool:
    """Return whether a daemon uses a text revision."""
    return read_text_revision(running, name) == revision


def read_text_revision(running: RunningSite, name: str) -> int:
    """Return a daemon's text revision from its status output."""
    return int(read_status_row(running, name, "text revision"))


def read_status_row(running: RunningSite, name: str, what: str) -> Any:
    """Return one value of a daemon's status output."""
    output = show_status(running.site.addresses[name]).unwrap()
    rows: dict[Any, Any] = {row[0]: row[1] for row in output.tables[0].rows}
    return rows[what]
