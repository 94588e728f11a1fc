"""An engine goes dark while an answer without a length is on its way."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from bodies import make_body
from site_on_loopback import (
    Answer,
    Engine,
    Site,
    Traffic,
    has_trouble,
    is_success,
    make_configuration,
    run_case,
    wait_for,
)

CALM_SECONDS = 4.0
DARK_SECONDS = 4.5
BETWEEN_SECONDS = 5.0
DISRUPTIONS = 4
PER_SECOND = 24
UNFRAMED_EVERY = 20
WORK_MS = 90


def is_broken(answer: Answer) -> bool:
    """Return whether a success isn't the engine's whole body."""
    if not is_success(answer):
        return False
    engine, _, attempt = answer.stamp.partition(".")
    is_own = bool(engine) and attempt == answer.attempt
    return not is_own or answer.body != make_body(engine, attempt)


def go_dark(site: Site, engine: Engine) -> None:
    """Stop an engine while it sends an answer without a length."""
    before = engine.log().count("half ")
    wait_for(lambda: engine.log().count("half ") > before, "answer without a length")
    site.record.write("dark", engine.name)
    engine.send_signal(signal.SIGSTOP)
    engine.is_silent = True
    time.sleep(DARK_SECONDS)
    engine.send_signal(signal.SIGCONT)
    engine.is_silent = False
    site.record.write("back", engine.name)


def play(site: Site) -> int:
    """Play the case and return the exit status."""
    site.start_engines(
        lambda index: [
            "--work-ms",
            str(WORK_MS),
            "--unframed-every",
            str(UNFRAMED_EVERY if index == 0 else 0),
        ]
    )
    site.store.put("op/config", make_configuration())
    site.start_entries()
    count = len(site.entry_ips)
    wait_for(lambda: len(site.ready_entries()) == count, "entries that are ready")
    traffic = Traffic(site, PER_SECOND)
    traffic.start()
    time.sleep(CALM_SECONDS)
    for _ in range(DISRUPTIONS):
        if has_trouble():
            go_dark(site, site.engines[0])
        else:
            time.sleep(DARK_SECONDS)
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
