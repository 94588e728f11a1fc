"""A fake of the platform's configuration service.

Values are read and watched under ``/v1/values/NAME``. Operators publish by
``PUT /operator/NAME?revision=N``, which daemons never call.
"""

import argparse
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse


class PublishedValues:
    """Published values, with a count of the reads and watches."""

    def __init__(self) -> None:
        self._values: dict[str, tuple[int, str]] = {}
        self._changed = threading.Condition()
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of reads and watches so far."""
        return self._calls

    def publish(self, name: str, revision: int, value: str) -> None:
        """Publish a value; an older revision replaces a newer one too."""
        with self._changed:
            self._values[name] = (revision, value)
            self._changed.notify_all()

    def watch(self, name: str, after: int, wait: float) -> tuple[int, str] | None:
        """Wait for a revision newer than ``after``; None on timeout."""
        deadline = time.monotonic() + wait
        with self._changed:
            self._calls += 1
            while True:
                revision, value = self._values.get(name, (0, ""))
                if revision > after:
                    return revision, value
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    return None
                self._changed.wait(remaining)


def make_handler(published: PublishedValues) -> type[BaseHTTPRequestHandler]:
    """Return the HTTP handler that serves published values."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:
            url = urlparse(self.path)
            if url.path == "/operator/calls":
                self._respond(200, json.dumps({"calls": published.calls}).encode())
                return
            query = parse_qs(url.query)
            after = int(query.get("after", ["0"])[0])
            wait = float(query.get("wait", ["0"])[0])
            found = published.watch(url.path.rpartition("/")[2], after, wait)
            if found is None:
                self._respond(304, b"")
                return
            body = json.dumps({"revision": found[0], "value": found[1]})
            self._respond(200, body.encode())

        def do_PUT(self) -> None:
            url = urlparse(self.path)
            length = int(self.headers.get("Content-Length", "0"))
            value = self.rfile.read(length).decode()
            revision = int(parse_qs(url.query)["revision"][0])
            published.publish(url.path.rpartition("/")[2], revision, value)
            self._respond(200, b"")

        def _respond(self, status: int, body: bytes) -> None:
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: object) -> None:
            """Log nothing."""

    return Handler


def main() -> None:
    """Serve until killed; print the port once it is bound."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", default="127.0.0.1:0")
    options = parser.parse_args()
    handler = make_handler(PublishedValues())
    host, _, port = options.address.rpartition(":")
    server = ThreadingHTTPServer((host, int(port)), handler)
    server.daemon_threads = True
    print(server.server_address[1], flush=True)
    server.serve_forever()


if __name__ == "__main__":
    main()
