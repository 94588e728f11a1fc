"""Processor time of an entry for each request of a well-behaved caller.

Run as ``python -m benchmarks.caller_requests``; prints one row for each kind
of request, sent one after another on a kept connection.
"""

import os
import socket
import tempfile
from collections.abc import Iterator
from pathlib import Path

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Site, make_caller_headers

_ROUNDS = 5
_REQUESTS = 400
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_ANSWER = b"whole answer of e-1"
"""Has the same length at each endpoint."""


def _make_request(method: str, *lines: str, body: bytes = b"") -> bytes:
    headers = [
        f"{name}: {value}" for name, value in make_caller_headers("plain").items()
    ]
    head = "\r\n".join([f"{method} /lookup/1 HTTP/1.1", *headers, *lines, "", ""])
    return head.encode() + body


def _make_requests() -> dict[str, bytes]:
    requests = {"without a body": _make_request("GET")}
    for size in (2_000, 64_000, 1_000_000):
        length = f"Content-Length: {size}"
        requests[f"{size} bytes"] = _make_request("POST", length, body=b"b" * size)
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (size, b"b" * size)
        requests[f"{size} bytes in a chunk"] = _make_request(
            "POST", "Transfer-Encoding: chunked", body=chunk
        )
    return requests


def read_processor_seconds(process: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def _send(site: Site, request: bytes, count: int) -> None:
    address = ("127.0.0.1", site.entry.front)
    with socket.create_connection(address, timeout=10.0) as connection:
        for _ in range(count):
            connection.sendall(request)
            answer = b""
            while _ANSWER[:-1] not in answer or not answer.endswith((b"1", b"2")):
                data = connection.recv(65_536)
                if not data:
                    raise ConnectionError(answer)
                answer += data


def measure(site: Site) -> Iterator[tuple[str, float]]:
    """Yield milliseconds of processor time for each kind of request."""
    process = site.entry.process.pid
    for name, request in _make_requests().items():
        seconds = []
        _send(site, request, 20)
        for _ in range(_ROUNDS):
            before = read_processor_seconds(process)
            _send(site, request, _REQUESTS)
            seconds.append((read_processor_seconds(process) - before) / _REQUESTS)
        yield name, 1_000 * sorted(seconds)[_ROUNDS // 2]


def main() -> None:
    """Print the table."""
    with tempfile.TemporaryDirectory() as folder:
        for site in standins.run_site(Path(folder)):
            for name, milliseconds in measure(site):
                print(f"{name:28} {milliseconds:6.2f} ms")


if __name__ == "__main__":
    main()
