"""Real entries and requests that end the engines that begin to write."""

import contextlib
import itertools
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from mintsaddle.platform.tests.crashing_engines import (
    CRASHING_PART,
    CRASHING_TARGET,
    SHARED_PART,
    CrashingSite,
    run_crashing_site,
)
from mintsaddle.platform.tests.standins import Entry, wait_for

ENTRIES = 3
MAX_ENDS = 5
"""Engines that may end before requests with a part have to be kept away."""

MAX_LATER_ARRIVALS = 3
"""Requests with that part that may reach engines afterwards."""

MAX_WHOLE_ENDS = 3
"""The same for a whole request that comes again unchanged."""

LEARNING_SECONDS = 3.0
"""Seconds after a disruption by when an entry has to know the verdict."""

_numbers = itertools.count(1)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[CrashingSite]:
    yield from run_crashing_site(tmp_path, ENTRIES)


def send(entry: Entry, *parts: str) -> int:
    """Send a request with the parts and one of its own; return the status."""
    number = next(_numbers)
    prompt = ",".join(f"{part}:40" for part in (*parts, f"{number:08x}"))
    try:
        status, _, body = entry.call(
            "POST",
            "/letter/1",
            X_Mintsaddle_Prompt_Prefix=prompt,
            X_Mintsaddle_Attempt_Id=f"attempt-{number}",
        )
    except OSError:
        return 0
    return status if body.endswith(b"\n\n") or status != 200 else 0


def send_crashing(site: CrashingSite, count: int) -> None:
    """Send requests that end engines, at the first two entries in turn."""
    for number in range(count):
        send(site.entries[number % 2], SHARED_PART, CRASHING_PART)
        send(site.entries[number % 2], SHARED_PART)


class TestCrashingPart:
    def test_few_requests_with_the_part_reach_engines_after_five_have_ended(
        self, site: CrashingSite
    ) -> None:
        """Guards against a part of a prompt that ends engine after engine."""
        served = 0
        for number in range(24):
            entry = site.entries[number % ENTRIES]
            site.await_engines()
            send(entry, SHARED_PART, "b1", CRASHING_PART)
            served += send(entry, SHARED_PART, "b1") == 200
        assert site.crashing_arrivals() <= MAX_ENDS + MAX_LATER_ARRIVALS
        assert served >= 24 / 2

    def test_the_caller_learns_that_the_request_has_not_run(
        self, site: CrashingSite
    ) -> None:
        """Guards against refusals that callers can't tell from a failure."""
        send_crashing(site, 8)
        arrivals = site.crashing_arrivals()
        prompt = f"{SHARED_PART}:40,{CRASHING_PART}:40,feed:40"
        started_at = time.monotonic()
        status, headers, _ = site.entries[0].call(
            "POST", "/letter/1", X_Mintsaddle_Prompt_Prefix=prompt
        )
        assert (status, site.crashing_arrivals()) == (503, arrivals)
        assert time.monotonic() - started_at < 0.5
        assert float(headers["Retry-After"]) > 60.0
        metrics = site.entries[0].fetch_metrics()
        assert 'mintsaddle_features{verdict="quarantined"} 1' in metrics
        assert "mintsaddle_given_up_quarantined" in metrics


class TestEntries:
    def test_one_that_starts_later_learns_of_the_verdict(
        self, site: CrashingSite
    ) -> None:
        """Guards against engines ended again by each new entry."""
        send_crashing(site, 8)
        new = site.add_entry()
        time.sleep(LEARNING_SECONDS)
        arrivals = site.crashing_arrivals()
        statuses = [send(new, SHARED_PART, CRASHING_PART) for _ in range(4)]
        assert (statuses, site.crashing_arrivals()) == ([503] * 4, arrivals)
        assert send(new, SHARED_PART) == 200

    def test_one_that_was_frozen_learns_of_the_verdict(
        self, site: CrashingSite
    ) -> None:
        """Guards against engines ended again by an entry that missed it."""
        frozen = site.entries[2]
        frozen.process.send_signal(signal.SIGSTOP)
        send_crashing(site, 8)
        assert site.crashing_arrivals() <= MAX_ENDS + MAX_LATER_ARRIVALS
        frozen.process.send_signal(signal.SIGCONT)
        time.sleep(LEARNING_SECONDS)
        arrivals = site.crashing_arrivals()
        statuses = [send(frozen, SHARED_PART, CRASHING_PART) for _ in range(4)]
        assert (statuses, site.crashing_arrivals()) == ([503] * 4, arrivals)


class TestWholeRequest:
    def test_one_that_comes_again_unchanged_is_kept_away(
        self, site: CrashingSite
    ) -> None:
        """Guards against a lookup that ends one engine after the other."""
        for number in range(12):
            site.await_engines()
            with contextlib.suppress(OSError):
                site.entries[number % ENTRIES].call("GET", CRASHING_TARGET)
        assert site.crashing_arrivals() <= MAX_WHOLE_ENDS + MAX_LATER_ARRIVALS


class TestQueuedRequest:
    def test_it_is_withdrawn_once_its_part_is_quarantined(
        self, site: CrashingSite
    ) -> None:
        """Guards against an engine ended by a request in its queue."""
        for engine in site.engines:
            engine.holds_requests = True
        prompt = f"{SHARED_PART}:40,{CRASHING_PART}:40,feed:40"
        queued = site.entries[0].open(
            "POST", "/letter/1", X_Mintsaddle_Prompt_Prefix=prompt
        )
        wait_for(lambda: site.crashing_arrivals() == 1, "queued request")
        for engine in site.engines:
            engine.holds_requests = False
            if engine.requests:
                # The others end by later requests; this one gets none.
                site.store.delete(f"servers/{engine.name}")
        wait_for(
            lambda: all("endpoints=3" in entry.log() for entry in site.entries[:2]),
            "removed engine",
        )
        send_crashing(site, 8)
        response = queued.getresponse()
        assert response.status == 502
        assert site.crashing_arrivals() <= 1 + MAX_ENDS + MAX_LATER_ARRIVALS
        wait_for(
            lambda: "ending=withdrawn" in site.entries[0].log(), "log line of its end"
        )
