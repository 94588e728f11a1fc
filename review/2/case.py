"""All processes are killed while the store has an unreadable entry."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from site_on_loopback import (
    Answer,
    Site,
    Traffic,
    has_trouble,
    is_success,
    make_configuration,
    run_case,
    wait_for,
)

CALM_SECONDS = 5.0
DOWN_SECONDS = 1.2
RECOVERY_SECONDS = 12.0
JUDGED_SECONDS = 10.0
PER_SECOND = 12
UNREADABLE = b"[" * 20_000
"""Bytes of another writer that aren't JSON: brackets without an end."""


def share_served(answers: list[Answer]) -> float:
    """Return the share of requests that were answered with success."""
    return sum(map(is_success, answers)) / max(1, len(answers))


def play(site: Site) -> int:
    """Play the case and return the exit status."""
    site.start_engines(lambda index: [])
    site.store.put("op/config", make_configuration())
    site.start_entries()
    count = len(site.entry_ips)
    wait_for(lambda: len(site.ready_entries()) == count, "entries that are ready")
    traffic = Traffic(site, PER_SECOND)
    traffic.start()
    time.sleep(CALM_SECONDS)
    if has_trouble():
        site.record.write("written servers/i-000000 with unreadable bytes")
        site.store.put("servers/i-000000", UNREADABLE)
    time.sleep(CALM_SECONDS)
    killed_at = time.monotonic()
    site.record.write("killed all entries")
    for entry in site.entries:
        entry.kill()
    time.sleep(DOWN_SECONDS)
    for entry in site.entries:
        entry.start()
    back_at = time.monotonic()
    site.record.write("started all entries")
    time.sleep(RECOVERY_SECONDS + JUDGED_SECONDS)
    traffic.stop()
    judged_from = back_at + RECOVERY_SECONDS
    before = [answer for at, answer in traffic.answers if at < killed_at]
    after = [answer for at, answer in traffic.answers if at > judged_from]
    ready = len(site.ready_entries())
    verdict = (
        f"served before: {share_served(before):.2f} of {len(before)}; later than"
        f" recovery_s after: {share_served(after):.2f} of {len(after)};"
        f" ready: {ready} of {count}"
    )
    site.record.write("verdict", verdict)
    print(verdict)
    if share_served(before) < 0.25:
        return 2
    return 1 if share_served(after) < 0.25 else 0


if __name__ == "__main__":
    sys.exit(run_case(play, str(Path(__file__).resolve().parent)))
