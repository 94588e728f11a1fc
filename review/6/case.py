"""Engines break off answers whose length has too many digits."""

import http.client
import itertools
import threading
from pathlib import Path
from typing import Any

from scene import Engine, Scene, begin_head, has_trouble, run_case

BODY = b"%0800d" % 7
"""The whole body of each answer: 800 bytes."""

SENT_BYTES = 400
DIGITS = 5_000
GARBLED_SHARE = 20
"""One answer in so many is garbled."""

REQUESTS = 200


class GarblingEngines:
    """The work of engines that garble some of their answers."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self.garbled: set[str] = set()

    def __call__(self, engine: Engine, handler: Any) -> None:
        """Answer one request."""
        with self._lock:
            is_garbled = next(self._numbers) % GARBLED_SHARE == 0
        begin_head(engine, handler)
        if is_garbled and has_trouble():
            self.garbled.add(handler.headers["X-Mintsaddle-Attempt-Id"])
            length = str(len(BODY)).zfill(DIGITS)
            handler.send_header("Content-Length", length)
            handler.end_headers()
            handler.wfile.write(BODY[:SENT_BYTES])
            handler.close_connection = True
            return
        handler.send_header("Content-Length", str(len(BODY)))
        handler.end_headers()
        handler.wfile.write(BODY)


def play(scene: Scene) -> list[str]:
    """Return a line for each success with a part of the body only."""
    scene.configure()
    work = GarblingEngines()
    for number in range(2):
        scene.add_engine(f"i-{number}", work)
    scene.start_entries(2)
    faults = []
    for number in range(REQUESTS):
        entry = scene.entries[number % 2]
        status, body = scene.call(entry, "GET", "/lookup/1")
        if status == http.client.OK and body != BODY:
            fault = (
                f"{scene.sent[-1].attempt} got 200 with {len(body)} of {len(BODY)} B"
            )
            faults.append(fault)
    scene.note(f"garbled answers: {len(work.garbled)}")
    return faults


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
