"""Stand-in for the platform's store: reads and watches over HTTP."""

import base64
import http.server
import json
import threading
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500


class Store:
    """All items by key, one revision counter, and the events so far."""

    def __init__(self, host: str) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 100
        self._changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_: object) -> None:
                pass

            def do_GET(self) -> None:
                url = urlsplit(self.path)
                query = {name: one[0] for name, one in parse_qs(url.query).items()}
                status, values = store.answer(url.path, query)
                body = json.dumps(values).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_: object) -> None:
                pass

        self._server = Server((host, 0), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """IP and port."""
        host, port = self._server.server_address[:2]
        return f"{host!s}:{port}"

    def put(self, key: str, value: object) -> None:
        """Write an item; bytes as they are, all else as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self._revision += 1
            before = self._items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(raw).decode(),
                "revision": self._revision,
                "created_at": before["created_at"] if before else self._revision,
                "lease": 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def delete(self, key: str) -> None:
        """Remove an item, if it is there."""
        with self._changed:
            if self._items.pop(key, None) is None:
                return
            self._revision += 1
            event = {"key": key, "revision": self._revision, "tombstoned": True}
            self._events.append(event)
            self._changed.notify_all()

    def answer(self, path: str, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Return status and body of the answer to a call."""
        match path.rpartition("/")[2]:
            case "kv-range":
                return self._range(query.get("prefix", ""), query.get("after", ""))
            case "kv-watch":
                wait = int(query.get("wait_ms", "0")) / 1000
                after = int(query.get("after", "0"))
                return self._watch(query.get("prefix", ""), after, wait)
            case "kv-key":
                with self._changed:
                    item = self._items.get(query.get("key", ""))
                    at = self._revision
                return (200, {**item, "at": at}) if item else (404, {"at": at})
        return 404, {}

    def _range(self, prefix: str, after: str) -> tuple[int, dict[str, Any]]:
        with self._changed:
            keys = sorted(
                key for key in self._items if key.startswith(prefix) and key > after
            )
            items = [self._items[key] for key in keys[:PAGE_ITEMS]]
            has_more = len(keys) > PAGE_ITEMS
            return 200, {"items": items, "has_more": has_more, "at": self._revision}

    def _watch(
        self, prefix: str, after: int, wait: float
    ) -> tuple[int, dict[str, Any]]:
        until = time.monotonic() + wait
        with self._changed:
            while True:
                events = [
                    event
                    for event in self._events
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self._revision}
                self._changed.wait(left)
