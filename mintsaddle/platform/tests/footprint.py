"""What a process holds, and whether it still answers."""

import os
import time
from collections.abc import Callable
from pathlib import Path

from mintsaddle.platform.tests.standins import Entry, ProcessLimits, Site

ANSWER_SECONDS = 20.0
"""Seconds for which an ordinary request is repeated until it is answered."""

RETRY_SECONDS = 0.5
BODY_BYTES = 4_194_304
SMALL_VM = ProcessLimits(memory_mb=150, max_fds=1_100)
"""Limits that a small crowd would exceed."""

MORE_THAN_ALL_CONNECTIONS = 400
"""Connections, more than an entry on a small VM accepts."""


def peak_megabytes(process: int) -> float:
    """Return the largest resident memory that a process has had."""
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    (line,) = (line for line in lines if line.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


def open_descriptors(process: int) -> int:
    """Return the number of descriptors that a process has open."""
    return len(os.listdir(f"/proc/{process}/fd"))


def is_answered_in_time(ask: Callable[[], bool]) -> bool:
    """Return whether an ordinary request is answered, repeated if needed."""
    deadline = time.monotonic() + ANSWER_SECONDS
    while True:
        try:
            if ask():
                return True
        except OSError:
            pass
        if time.monotonic() > deadline:
            return False
        time.sleep(RETRY_SECONDS)


def asks(entry: Entry) -> Callable[[], bool]:
    """Return a function that sends an ordinary request to an entry."""

    def ask() -> bool:
        return entry.call("GET", "/lookup/1")[0] == 200

    return ask


def check_footprint(site: Site) -> None:
    """Check that each entry lives, and stays within its limits."""
    for entry in site.entries:
        assert entry.process.poll() is None
        peak = peak_megabytes(entry.process.pid)
        assert peak <= site.limits.memory_mb
        assert open_descriptors(entry.process.pid) <= site.limits.max_fds
        assert "Traceback" not in entry.log()
