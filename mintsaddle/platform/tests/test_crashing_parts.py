"""Real entries and requests that end the engines that begin to write."""

import itertools
from collections.abc import Iterator
from pathlib import Path

import pytest

from mintsaddle.platform.tests.crashing_engines import (
    CRASHING_PART,
    SHARED_PART,
    CrashingSite,
    run_crashing_site,
)
from mintsaddle.platform.tests.standins import Entry

ENTRIES = 3
MAX_ENDS = 5
"""Engines that may end before requests with a part have to be kept away."""

MAX_LATER_ARRIVALS = 3
"""Requests with that part that may reach engines afterwards."""

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


class TestCrashingPart:
    def test_few_requests_with_the_part_reach_engines_after_five_have_ended(
        self, site: CrashingSite
    ) -> None:
        """Guards against a part of a prompt that ends engine after engine."""
        served = 0
        for number in range(24):
            entry = site.entries[number % ENTRIES]
            send(entry, SHARED_PART, "b1", CRASHING_PART)
            served += send(entry, SHARED_PART, "b1") == 200
        assert site.crashing_arrivals() <= MAX_ENDS + MAX_LATER_ARRIVALS
        assert served >= 24 / 2
