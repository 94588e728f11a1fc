"""An engine that drains loses the answer of a request that it has run."""

import socket
import struct
import threading
import time
from pathlib import Path
from typing import Any

from scene import (
    DRAIN_SECONDS,
    Engine,
    Scene,
    answer_whole,
    has_trouble,
    run_case,
)

from mintsaddle.platform.tests.standins import make_configuration, stream_events

RUN_SECONDS = 2.4
"""Twelve times the usual 0.2 s to a stream's first event."""

UNTIL_DRAINING_SECONDS = 0.1

STREAMS = 6


class SlowEngine:
    """The work of an engine that is slow for streams from some moment on."""

    def __init__(self) -> None:
        self.is_slow = threading.Event()
        self.slow: set[str] = set()

    def __call__(self, engine: Engine, handler: Any) -> None:
        """Do the work of one request."""
        attempt = handler.headers["X-Mintsaddle-Attempt-Id"]
        if handler.command == "GET":
            answer_whole(engine, handler)
            return
        is_first = self.is_slow.is_set() and attempt not in self.slow
        if is_first:
            self.slow.add(attempt)
            time.sleep(RUN_SECONDS)
            if has_trouble():
                _reset(handler)
                return
        stream_events(1, 4)(engine, handler)


def _reset(handler: Any) -> None:
    """Reset a connection instead of answering."""
    linger = struct.pack("ii", 1, 0)
    handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    handler.close_connection = True
    handler.rfile.close()
    handler.wfile.close = lambda: None
    handler.connection.close()


def play(scene: Scene) -> list[str]:
    """Return a line for each request that reached the engine too late."""
    work = SlowEngine()
    scene.configure(routes=make_routes())
    leaving = scene.add_engine("i-leaving", work)
    scene.add_engine("i-staying", answer_streams)
    scene.start_entries(2)
    # Connections to both engines are kept after these.
    scene.run_clients(4, 0.01, "GET", "/lookup/1")
    time.sleep(1.5)
    scene.stop_clients()
    work.is_slow.set()
    callers = [
        threading.Thread(
            target=scene.call,
            args=(scene.entries[n % 2], "POST", "/letter/1"),
            daemon=True,
        )
        for n in range(STREAMS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(UNTIL_DRAINING_SECONDS)
    acknowledged_at = scene.announce(leaving, state="draining")
    scene.note(f"acknowledged: {leaving.name} is draining", acknowledged_at)
    for caller in callers:
        caller.join(10.0)
    assert work.slow, "no stream went to the engine that leaves"
    return [
        f"{a.attempt} reached {a.engine} {a.at - acknowledged_at:.3f} s after the"
        " acknowledgement that it is draining"
        for a in scene.arrivals
        if a.engine == leaving.name and a.at > acknowledged_at + DRAIN_SECONDS
    ]


def answer_streams(engine: Engine, handler: Any) -> None:
    """Answer streams and other requests at once."""
    if handler.command == "GET":
        answer_whole(engine, handler)
    else:
        stream_events(1, 4)(engine, handler)


def make_routes() -> list[dict[str, Any]]:
    """Return routes whose streams have the time of the small deployments'."""
    routes = make_configuration()["routes"]
    assert isinstance(routes, list)
    for route in routes:
        if route["kind"] == "streaming":
            route["timeout_ms"] = 8000
    return routes


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
