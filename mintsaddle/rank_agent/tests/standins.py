"""A fake rank engine with the HTTP behaviour that agents depend on."""

import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from mintsaddle.rank_agent import RankCall


class FakeEngine:
    """Records calls; can withhold responses and close connections."""

    def __init__(self, make_body: Callable[[str], Any] | None = None) -> None:
        """Start serving on a free port.

        Args:
            make_body: Returns the JSON content of the response for a path. By
                default, it holds the number of calls so far.
        """
        self.calls: list[RankCall] = []
        self.connections = 0
        self.closes_connections = False
        self.withholds_responses = False
        engine = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self) -> None:
                engine.connections += 1
                super().setup()

            def log_message(self, *_: object) -> None:
                """Keep the test's output quiet."""

            def do_GET(self) -> None:
                self.answer()

            def do_POST(self) -> None:
                self.answer()

            def answer(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                text = self.rfile.read(length).decode()
                engine.calls.append(RankCall(self.command, self.path, text))
                if engine.withholds_responses:
                    self.close_connection = True
                    return
                content = (
                    make_body(self.path) if make_body else {"step": len(engine.calls)}
                )
                body = json.dumps(content).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)
                # Without a ``Connection: close`` header, as engines close
                # idle connections.
                self.close_connection = engine.closes_connections

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_address[1]}"

    def stop(self) -> None:
        self._server.shutdown()
        self._server.server_close()
