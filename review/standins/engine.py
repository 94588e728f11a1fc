"""Stand-in for an engine of a plain service, run as a process of its own.

It answers one request at a time on a connection, in `SLOTS` slots. Of its
answers, each one in `--unframed-every` has no length and ends with its
connection; such a body is sent in two halves while the work is done. All
others have a length and are sent when the work is done.

While the file of `--slow-file` is there, its work takes `--slow-factor` times
as long. It stops work at the deadline that it receives.

Its process ends as it begins to run a request to `--crash-path`, which it
reports as `crash ID`.

Each line on standard output is one event with the time of the steady clock:
`run ID` as the work begins, `half ID` once the first half of a body without a
length has been sent, `done ID`, `late ID` when the deadline ended the work.
"""

import argparse
import http.server
import itertools
import os
import socket
import struct
import threading
import time
from pathlib import Path
from typing import Any

from bodies import make_body

SLOTS = 6
QUEUE = 24
IDLE_SECONDS = 5

_lock = threading.Lock()


def report(event: str, attempt: str) -> None:
    """Write one event to standard output."""
    with _lock:
        print(event, attempt, f"{time.monotonic():.3f}", flush=True)


def is_there(path: str) -> bool:
    """Return whether a file is there."""
    return bool(path) and Path(path).exists()


def sleep_until_deadline(seconds: float, deadline: float) -> bool:
    """Work for some seconds; return whether that ended before the deadline."""
    left = deadline - time.monotonic()
    time.sleep(max(0.0, min(seconds, left)))
    return seconds <= left


class Engine(http.server.ThreadingHTTPServer):
    """The server; holds what its handlers share."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, options: argparse.Namespace) -> None:
        host, _, port = options.address.rpartition(":")
        super().__init__((host, int(port)), Handler)
        self.options = options
        self.slots = threading.BoundedSemaphore(SLOTS)
        self.places = threading.BoundedSemaphore(SLOTS + QUEUE)
        self.answers = itertools.count(1)

    def handle_error(self, *_: object) -> None:
        """Ignore connections that the caller has closed."""


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: Engine
    timeout = IDLE_SECONDS

    def log_message(self, *_: object) -> None:
        """Log nothing; events are written to standard output."""

    def do_GET(self) -> None:
        """Answer a request."""
        length = int(self.headers.get("Content-Length") or 0)
        self.rfile.read(length)
        options = self.server.options
        attempt = self.headers.get("X-Mintsaddle-Attempt-Id", "")
        if self.path == "/health":
            self._send(200, b"", X_Mintsaddle_Instance_Id=options.name)
            return
        if self.headers.get("X-Mintsaddle-Expect-Instance", "") != options.name:
            self._send(421, b"", X_Mintsaddle_Instance_Id=options.name)
            return
        if not attempt:
            self._send(400, b"", X_Mintsaddle_Not_Executed="1")
            return
        if not self.server.places.acquire(blocking=False):
            self._send(503, b"", X_Mintsaddle_Not_Executed="1")
            return
        left_ms = float(self.headers.get("X-Mintsaddle-Deadline-Ms") or 10_000)
        deadline = time.monotonic() + left_ms / 1000
        try:
            with self.server.slots:
                self._run(attempt, deadline)
        finally:
            self.server.places.release()

    do_POST = do_GET  # noqa: N815 - named by the base class

    def _run(self, attempt: str, deadline: float) -> None:
        if time.monotonic() >= deadline:
            self._send(503, b"", X_Mintsaddle_Not_Executed="1")
            return
        options = self.server.options
        if options.crash_path and self.path == options.crash_path:
            report("crash", attempt)
            os._exit(1)
        report("run", attempt)
        body = make_body(options.name, attempt)
        every = options.unframed_every
        is_unframed = bool(every) and next(self.server.answers) % every == 0
        seconds = options.work_ms / 1000
        if is_there(options.slow_file):
            seconds *= options.slow_factor
        if is_unframed:
            self._answer_without_length(attempt, body, seconds, deadline)
        elif sleep_until_deadline(seconds, deadline):
            self._send_head(200, attempt, Content_Length=str(len(body)))
            self.wfile.write(body)
            report("done", attempt)
        else:
            self._send_head(504, attempt, Content_Length="0")
            report("late", attempt)

    def _answer_without_length(
        self, attempt: str, body: bytes, seconds: float, deadline: float
    ) -> None:
        """Send one half after a third of the work and the other at the end."""
        half = len(body) // 2
        time.sleep(seconds / 3)
        self._send_head(200, attempt)
        self.wfile.write(body[:half])
        report("half", attempt)
        self.close_connection = True
        if sleep_until_deadline(2 * seconds / 3, deadline):
            self.wfile.write(body[half:])
            report("done", attempt)
            return
        report("late", attempt)
        linger = struct.pack("ii", 1, 0)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.connection.close()

    def _send_head(self, status: int, attempt: str, **headers: str) -> None:
        self.send_response(status)
        self.send_header("X-Mintsaddle-Attempt-Id", attempt)
        stamp = f"{self.server.options.name}.{attempt}"
        self.send_header("X-Mintsaddle-Response-Stamp", stamp)
        self.send_header("Keep-Alive", f"timeout={IDLE_SECONDS}")
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.end_headers()

    def _send(self, status: int, body: bytes, **headers: Any) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--work-ms", type=float, default=90.0)
    parser.add_argument("--unframed-every", type=int, default=0)
    parser.add_argument("--slow-file", default="")
    parser.add_argument("--slow-factor", type=float, default=1.0)
    parser.add_argument("--crash-path", default="")
    Engine(parser.parse_args()).serve_forever()


if __name__ == "__main__":
    main()
