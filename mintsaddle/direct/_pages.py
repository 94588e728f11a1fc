"""Small pages, such as readiness and metrics."""

from collections.abc import Callable, Mapping
from typing import Any

from mintsaddle.callers import CallerServer
from mintsaddle.decisions.direct import CallerLimits
from mintsaddle.process import Supervisor

PAGE_CONNECTIONS = 48
"""Connections for pages at each address. The balancer and the collector of
metrics need a few."""

_PAGE_LIMITS = CallerLimits(
    header_bytes=8_192, body_bytes=1_024, header_seconds=3.0, idle_seconds=15.0
)
_PAGE_MEMORY_MEGABYTES = 4.0


def serve_pages(
    addresses: Mapping[str, str],
    pages: dict[str, Callable[[], tuple[str, str]]],
    supervisor: Supervisor,
) -> None:
    """Serve small pages, such as readiness, in threads of their own.

    Args:
        addresses: IP and port of each listener, by the name of its thread.
        pages: For each path, a function that returns status line and text.
        supervisor: Starts the threads.
    """

    def app(environ: dict[str, Any], start: Any) -> list[bytes]:
        page = pages.get(environ["PATH_INFO"])
        status, text = page() if page else ("404 Not Found", "no such page\n")
        start(status, [("Content-Type", "text/plain; charset=utf-8")])
        return [text.encode()]

    for name, address in addresses.items():
        server = CallerServer(
            app,
            address,
            should_close_connections=lambda: False,
            max_callers=1,
            max_connections=PAGE_CONNECTIONS,
            record_cut=lambda _: None,
            memory_megabytes=_PAGE_MEMORY_MEGABYTES,
            failures=supervisor.failures,
            name=name,
        )
        server.set_limits(_PAGE_LIMITS)
        server.start(supervisor)
