"""A stand-in for a model engine or a plain order service.

A ``POST`` with ``{"tokens": N, "pace": SECONDS}`` streams N events and an end
event. Any other ``POST`` is an order or a lookup: it is counted under its
``Request-Id`` and answered as a whole. ``GET /status`` shows the boot and
``GET /executions`` what has run, for tests.
"""

import argparse
import json
import random
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from fakes.ranks import FakeRank, join_group


class EngineRecord:
    """What a stand-in has run, and the most it held at one time."""

    def __init__(self, cold_limit: int, limit: int) -> None:
        self._lock = threading.Lock()
        self._executions: Counter[str] = Counter()
        self._cancelled = 0
        self._held = 0
        self._served = 0
        self._overruns = 0
        self._cold_limit = cold_limit
        self._limit = limit
        self._boot = random.getrandbits(30)

    @property
    def boot(self) -> int:
        """This run."""
        return self._boot

    def begin(self, request_id: str) -> None:
        """Count an execution; one above what it bears is an overrun."""
        with self._lock:
            self._executions[request_id] += 1
            self._held += 1
            bears = min(self._limit, self._cold_limit + self._served)
            if self._held > bears:
                self._overruns += 1

    def end(self, *, whole: bool) -> None:
        """Count an end."""
        with self._lock:
            self._held -= 1
            if whole:
                self._served += 1
            else:
                self._cancelled += 1

    def show(self) -> dict[str, Any]:
        """Return all counts."""
        with self._lock:
            return {
                "executions": dict(self._executions),
                "cancelled": self._cancelled,
                "held": self._held,
                "overruns": self._overruns,
            }


def make_handler(
    record: EngineRecord, rank: "FakeRank | None"
) -> type[BaseHTTPRequestHandler]:
    """Return the HTTP handler of one engine."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:
            if self.path == "/executions":
                self._answer({**record.show(), **(rank.show() if rank else {})})
                return
            self._answer({"boot": record.boot, "limit": None})

        def do_POST(self) -> None:
            length = int(self.headers.get("Content-Length", "0"))
            body = self.rfile.read(length)
            if rank is not None and self.path.startswith("/group/"):
                act = self.path.rpartition("/")[2]
                self._answer(rank.obey(act, json.loads(body or b"{}")))
                return
            request_id = self.headers.get("Request-Id", "")
            record.begin(request_id)
            whole = False
            try:
                order = json.loads(body or b"{}")
                if "tokens" in order:
                    self._stream(order, request_id)
                else:
                    time.sleep(order.get("pace", 0.0))
                    self._answer({"ran": request_id, "path": self.path})
                whole = True
            except OSError:
                self.close_connection = True
            finally:
                record.end(whole=whole)

        def _stream(self, order: dict[str, Any], request_id: str) -> None:
            """Stream tokens that any engine could go on with."""
            self.send_response(200)
            self.send_header("Content-Type", "text/event-stream")
            self.send_header("Engine-Boot", str(record.boot))
            self.send_header("Connection", "close")
            self.end_headers()
            first = int(self.headers.get("Resume-After", "0")) + 1
            seed = request_id.partition(".")[0][:8]
            count = order["tokens"]
            for number in range(first, count + 1):
                time.sleep(order.get("pace", 0.0))
                event = f"data: {order.get('word', 'w')}-{seed}-{number}\n\n"
                self.wfile.write(event.encode())
            self.wfile.write(f'event: end\ndata: {{"count": {count}}}\n\n'.encode())
            self.close_connection = True

        def _answer(self, answer: dict[str, Any]) -> None:
            body = json.dumps(answer).encode()
            self.send_response(200)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.send_header("Engine-Boot", str(record.boot))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: object) -> None:
            """Keep quiet."""

    return Handler


def main() -> None:
    """Serve until killed; print the port once it is open."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--cold-limit", type=int, default=1000)
    parser.add_argument("--limit", type=int, default=1000)
    parser.add_argument(
        "--group", default="", help="HUB,RANK,RANKS,EXPERTS,LAYERS,SLOTS"
    )
    options = parser.parse_args()
    record = EngineRecord(options.cold_limit, options.limit)
    rank = join_group(options.group) if options.group else None
    host, _, port = options.address.rpartition(":")
    server = ThreadingHTTPServer((host, int(port)), make_handler(record, rank))
    server.daemon_threads = True
    print(server.server_address[1], flush=True)
    server.serve_forever()


if __name__ == "__main__":
    main()
