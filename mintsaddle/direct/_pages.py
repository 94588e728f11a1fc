"""Small pages, such as readiness and metrics."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from waitress.server import create_server


def serve_pages(
    addresses: Iterable[str], pages: dict[str, Callable[[], tuple[str, str]]]
) -> None:
    """Serve small pages, such as readiness, in a separate thread.

    Args:
        addresses: IP and port of each listener.
        pages: For each path, a function that returns status line and text.
    """

    def app(environ: dict[str, Any], start: Any) -> list[bytes]:
        page = pages.get(environ["PATH_INFO"])
        status, text = page() if page else ("404 Not Found", "no such page\n")
        start(status, [("Content-Type", "text/plain; charset=utf-8")])
        return [text.encode()]

    server = create_server(app, listen=" ".join(addresses), threads=1, ident=None)
    threading.Thread(target=server.run, name="pages", daemon=True).start()
