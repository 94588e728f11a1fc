"""A fake model engine, which also serves as a plain order service.

A ``POST`` with ``{"tokens": N, "pace": SECONDS}`` streams N events and an end
event. Any other ``POST`` is an order or a lookup, answered with one JSON
object. Each execution is counted under its ``Request-Id``. ``GET /status``
returns the boot number, and ``GET /executions`` the counts for tests.
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
    """Counts of executions, cancellations, open requests and overruns."""

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
        """Boot number, drawn at random at each start."""
        return self._boot

    def begin(self, request_id: str) -> None:
        """Count the start of an execution; above capacity it is an overrun."""
        with self._lock:
            self._executions[request_id] += 1
            self._held += 1
            capacity = min(self._limit, self._cold_limit + self._served)
            if self._held > capacity:
                self._overruns += 1

    def end(self, *, complete: bool) -> None:
        """Count the end of an execution, completed or cancelled."""
        with self._lock:
            self._held -= 1
            if complete:
                self._served += 1
            else:
                self._cancelled += 1

    def read_counts(self) -> dict[str, Any]:
        """Return all counts, under their names in ``GET /executions``."""
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
                self._send_json(
                    {**record.read_counts(), **(rank.read_counts() if rank else {})}
                )
                return
            self._send_json({"boot": record.boot, "limit": None})

        def do_POST(self) -> None:
            length = int(self.headers.get("Content-Length", "0"))
            body = self.rfile.read(length)
            if rank is not None and self.path.startswith("/group/"):
                act = self.path.rpartition("/")[2]
                self._send_json(rank.execute(act, json.loads(body or b"{}")))
                return
            request_id = self.headers.get("Request-Id", "")
            record.begin(request_id)
            complete = False
            try:
                order = json.loads(body or b"{}")
                if "tokens" in order:
                    self._stream(order, request_id)
                else:
                    time.sleep(order.get("pace", 0.0))
                    self._send_json({"ran": request_id, "path": self.path})
                complete = True
            except OSError:
                self.close_connection = True
            finally:
                record.end(complete=complete)

        def _stream(self, order: dict[str, Any], request_id: str) -> None:
            """Stream tokens that another engine can continue after a break.

            They depend on the request id without the attempt number.
            """
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

        def _send_json(self, content: dict[str, Any]) -> None:
            body = json.dumps(content).encode()
            self.send_response(200)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.send_header("Engine-Boot", str(record.boot))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: object) -> None:
            """Log nothing."""

    return Handler


def main() -> None:
    """Serve until killed; print the port once it is bound."""
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
