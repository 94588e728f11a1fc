"""What the server for callers holds, as lines of the metrics page."""

from mintsaddle.callers import CallerServer
from mintsaddle.decisions.direct import CallerLimits
from mintsaddle.observe import fields
from mintsaddle.process import FailureLog
from mintsaddle.settings import RequestLimits


def render_server(server: CallerServer) -> list[str]:
    """Return connections, unfinished requests and memory, with limits."""
    load = server.load
    values = {
        "caller_connections": load.connections,
        "caller_connections_limit": server.max_connections,
        "unfinished_requests": load.arriving,
        "unfinished_requests_limit": server.max_unfinished,
        "request_bytes": server.request_bytes,
        "request_bytes_limit": server.request_bytes_limit,
    }
    return [f"mintsaddle_{name} {value}" for name, value in values.items()]


def render_failures(failures: FailureLog) -> list[str]:
    """Return how many exceptions each loop of the process has survived."""
    return [
        f'mintsaddle_failures{{loop="{name}"}} {count}'
        for name, count in failures.counts.items()
    ]


def render_limits(
    server: CallerServer, limits: CallerLimits, requests: RequestLimits
) -> str:
    """Return the limits in force, as ``key=value`` pairs for the log."""
    return fields(
        **limits._asdict(),
        body_seconds=requests.body_seconds,
        framing_factor=requests.framing_factor,
        request_bytes=server.request_bytes_limit,
        unfinished_requests=server.max_unfinished,
        connections=server.max_connections,
    )
