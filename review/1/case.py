"""Answers without a length that an entry gives up on at its own time limit.

The disruption is named by the variable DISRUPTION: `dark` (the default), an
engine that is silent for some seconds from the middle of such an answer, or
`slow`, one that works more slowly.
"""

import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from bodies import make_body
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

CALM_SECONDS = 4.0
BETWEEN_SECONDS = 5.0
DISRUPTIONS = 4
DISRUPTED_SECONDS = {"slow": 9.0, "dark": 4.5}
SLOW_FACTOR = 8
PER_SECOND = 24
LOOKUPS = 0.5
UNFRAMED_EVERY = 20
WORK_MS = 90


def is_broken(answer: Answer) -> bool:
    """Return whether a success isn't the engine's whole body."""
    if not is_success(answer):
        return False
    engine, _, attempt = answer.stamp.partition(".")
    is_own = bool(engine) and attempt == answer.attempt
    return not is_own or answer.body != make_body(engine, attempt)


def disrupt(site: Site, slow_file: Path, how: str) -> None:
    """Make the first engine slow or dark for a while."""
    engine = site.engines[0]
    if how == "dark":
        before = engine.log().count("half ")
        is_on_its_way = "answer without a length"
        wait_for(lambda: engine.log().count("half ") > before, is_on_its_way)
        engine.send_signal(signal.SIGSTOP)
        engine.is_silent = True
    else:
        slow_file.touch()
    site.record.write(how, engine.name)
    time.sleep(DISRUPTED_SECONDS[how])
    slow_file.unlink(missing_ok=True)
    engine.send_signal(signal.SIGCONT)
    engine.is_silent = False
    site.record.write("as before", engine.name)


def play(site: Site) -> int:
    """Play the case and return the exit status."""
    how = os.environ.get("DISRUPTION", "dark")
    slow_file = site.logs / "slow"
    slow = ["--slow-file", str(slow_file), "--slow-factor", str(SLOW_FACTOR)]
    unframed = ["--unframed-every", str(UNFRAMED_EVERY)]
    first = [*slow, *unframed]
    site.start_engines(
        lambda index: ["--work-ms", str(WORK_MS), *([] if index else first)]
    )
    site.store.put("op/config", make_configuration())
    site.start_entries()
    count = len(site.entry_ips)
    wait_for(lambda: len(site.ready_entries()) == count, "entries that are ready")
    traffic = Traffic(site, PER_SECOND, LOOKUPS)
    traffic.start()
    time.sleep(CALM_SECONDS)
    for _ in range(DISRUPTIONS):
        if has_trouble():
            disrupt(site, slow_file, how)
        else:
            time.sleep(DISRUPTED_SECONDS[how])
        time.sleep(BETWEEN_SECONDS)
    traffic.stop()
    answers = [answer for _, answer in traffic.answers]
    broken = [answer for answer in answers if is_broken(answer)]
    for answer in broken:
        site.record.write("BROKEN", answer.attempt, answer.status, len(answer.body))
    served = sum(map(is_success, answers))
    total = len(answers)
    verdict = f"{len(broken)} of {served} successes aren't whole; {total} requests"
    site.record.write("verdict", verdict)
    print(verdict)
    if served < total / 2:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(play, str(Path(__file__).resolve().parent)))
