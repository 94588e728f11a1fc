"""A stand-in of a rank's engine, as far as agents and their tests need it."""

import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from mintsaddle.rank_agent import RankCall


class Engine:
    """An engine that notes calls; breaks or closes connections when told."""

    def __init__(self, show: Callable[[str], Any] | None = None) -> None:
        """Serve on a port of its own.

        Args:
            show: Returns what a call to a path is answered with; the number of
                calls so far if there is none.
        """
        self.calls: list[RankCall] = []
        self.connections = 0
        self.is_closing = False
        self.is_breaking = False
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
                if engine.is_breaking:
                    self.close_connection = True
                    return
                shown = show(self.path) if show else {"step": len(engine.calls)}
                body = json.dumps(shown).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)
                # Without notice, as engines close idle connections.
                self.close_connection = engine.is_closing

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_address[1]}"

    def stop(self) -> None:
        self._server.shutdown()
        self._server.server_close()
