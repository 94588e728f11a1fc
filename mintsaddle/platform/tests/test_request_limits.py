"""Single requests to a real entry, within and beyond its limits."""

import contextlib
import hashlib
import signal
import socket
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from threading import Thread

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.hostile_clients import (
    DRIP_SECONDS,
    Request,
    dripping_body,
    dripping_head,
    endless_line,
    in_chunks,
    make_head,
    silent_body,
    silent_head,
    with_length,
)
from mintsaddle.platform.tests.standins import Site, wait_for

BODY_BYTES = 262_144
HEADER_BYTES = 16_384
WHOLE_ANSWER = b"\r\n\r\nwhole answer of e-"
END = b"0\r\n\r\n"
TOO_LARGE = partial(
    with_length,
    announced=BODY_BYTES + 1,
    sent=BODY_BYTES + 1,
    lines=("Connection: close",),
    target="POST /nowhere/1",
)
NOT_RUN = b"X-Mintsaddle-Not-Executed: 1"


def run_site(folder: Path, more_settings: str = "") -> Iterator[Site]:
    running = Site(folder)
    limits = {
        "max_header_bytes": HEADER_BYTES,
        "max_body_bytes": BODY_BYTES,
        "header_timeout_ms": 1_500,
        "idle_timeout_ms": 15_000,
    }
    running.configuration = standins.make_configuration(limits=limits)
    running.more_settings = more_settings
    for site in standins.run(running):
        wait_for(
            lambda: exchange(running, TOO_LARGE)[9:12] == b"413", "limits in force"
        )
        yield site


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    yield from run_site(tmp_path, "[requests]\nbody_timeout_ms = 1500\n")


@pytest.fixture
def patient_site(tmp_path: Path) -> Iterator[Site]:
    """A site that gives bodies their usual time, also on a busy machine."""
    yield from run_site(tmp_path)


def exchange(site: Site, request: Request, answers: int = 1) -> bytes:
    """Send requests; return what comes until all answers or the end."""
    address = ("127.0.0.1", site.entry.front)
    answer = b""
    with socket.create_connection(address, timeout=standins.WAIT_SECONDS) as connection:
        sender = Thread(target=send, args=(connection, request(1)))
        sender.start()
        while answer.count(WHOLE_ANSWER) < answers:
            data = connection.recv(65_536)
            if not data:
                break
            answer += data
        sender.join()
    return answer


def count_refused(site: Site, fault: str) -> int:
    """Return the value of a counter of refusals."""
    values = dict(
        line.rsplit(" ", 1) for line in site.entry.fetch_metrics().splitlines()
    )
    return int(values.get(f"mintsaddle_refused_{fault}", 0))


def send(connection: socket.socket, blocks: Iterator[bytes]) -> None:
    """Send the blocks of a client, until the connection is closed."""
    with contextlib.suppress(OSError):
        for block in blocks:
            if block:
                connection.sendall(block)
            else:
                time.sleep(DRIP_SECONDS)


def digest(size: int) -> str:
    return hashlib.sha256(b"b" * size).hexdigest()


ALLOWED = {
    "length": partial(with_length, announced=BODY_BYTES, sent=BODY_BYTES),
    "pieces": partial(with_length, announced=BODY_BYTES, sent=BODY_BYTES, block=4_096),
    "one-chunk": partial(in_chunks, chunk=BODY_BYTES, count=1, end=END),
    "two-chunks": partial(in_chunks, chunk=BODY_BYTES // 2, count=2, end=END),
    "kilobytes": partial(in_chunks, chunk=1_024, count=BODY_BYTES // 1_024, end=END),
    "bytes": partial(in_chunks, chunk=1, count=BODY_BYTES, end=END),
    "extension": partial(
        in_chunks, chunk=BODY_BYTES // 2, count=2, end=END, extension=b";a=b"
    ),
    "trailer": partial(
        in_chunks, chunk=BODY_BYTES // 2, count=2, end=b"0\r\nNote: n\r\n\r\n"
    ),
    "continue": partial(
        with_length,
        announced=BODY_BYTES,
        sent=BODY_BYTES,
        lines=("Expect: 100-continue",),
    ),
}


class TestLargestBodies:
    @pytest.mark.parametrize("request_of", ALLOWED.values(), ids=ALLOWED)
    def test_one_of_the_largest_size_is_served(
        self, patient_site: Site, request_of: Request
    ) -> None:
        """Guards against a limit that counts framing, or excludes itself."""
        answer = exchange(patient_site, request_of)
        assert b"HTTP/1.1 200 " in answer
        digests = [one for e in patient_site.endpoints for one in e.body_digests]
        assert digests == [digest(BODY_BYTES)]

    def test_kept_connections_send_one_after_another(self, site: Site) -> None:
        """Guards against memory that isn't released after an answer."""

        def several(number: int) -> Iterator[bytes]:
            for index in range(200):
                yield from with_length(index, announced=BODY_BYTES, sent=BODY_BYTES)

        site.entry.fetch_metrics()
        answer = exchange(site, several, answers=200)
        assert answer.count(b"HTTP/1.1 200 ") == 200
        wait_for(
            lambda: "mintsaddle_request_bytes 0" in site.entry.fetch_metrics(),
            "release of the memory",
        )

    def test_pipelined_requests_are_answered_in_order(self, site: Site) -> None:
        """Guards against requests that are lost or mixed while they wait."""

        def several(number: int) -> Iterator[bytes]:
            heads = [make_head(index, target="GET /lookup/1") for index in range(300)]
            yield b"".join(heads)

        answer = exchange(site, several, answers=300)
        ids = [
            line.split()[1]
            for line in answer.splitlines()
            if line.startswith(b"X-Mintsaddle-Attempt-Id:")
        ]
        assert ids == [b"hostile-%d" % index for index in range(300)]


LARGE = BODY_BYTES + 1
REFUSED = {
    "announced": (partial(with_length, announced=LARGE, sent=LARGE), 413, "large-body"),
    "far-announced": (
        partial(with_length, announced=10**15, sent=1_000_000),
        413,
        "large-body",
    ),
    "chunks": (partial(in_chunks, chunk=LARGE, count=4, end=END), 413, "large-body"),
    "framing": (
        partial(
            in_chunks, chunk=1, count=100_000, end=END, extension=b";a=" + 50 * b"e"
        ),
        413,
        "framing",
    ),
    "chunk-size-line": (
        partial(endless_line, before=b"", size=100_000),
        400,
        "malformed",
    ),
    "chunk-extension": (
        partial(endless_line, before=b"1;a=", size=100_000),
        400,
        "malformed",
    ),
    "trailer": (
        partial(endless_line, before=b"0\r\nNote: ", size=100_000),
        400,
        "malformed",
    ),
    "no-chunk": (
        partial(endless_line, before=b"no chunk\r\n", size=100_000),
        400,
        "malformed",
    ),
    "head": (
        partial(
            with_length, announced=1, sent=1, lines=("Note: " + HEADER_BYTES * "n",)
        ),
        431,
        "large-head",
    ),
    "many-digits": (
        partial(with_length, announced=int("9" * 4_200), sent=1),
        413,
        "large-body",
    ),
    "no-length": (
        partial(with_length, announced=-1, sent=100_000),
        400,
        "malformed",
    ),
    "encoding": (
        partial(with_length, announced=1, sent=1, lines=("Transfer-Encoding: gzip",)),
        501,
        "unsupported",
    ),
    "slow-head": (silent_head, 408, "slow-head"),
    "dripping-head": (dripping_head, 408, "slow-head"),
    "slow-body": (partial(silent_body, announced=BODY_BYTES), 408, "slow-body"),
    "dripping-body": (partial(dripping_body, announced=BODY_BYTES), 408, "slow-body"),
}


class TestRefusals:
    @pytest.mark.parametrize(
        ("request_of", "status", "fault"), REFUSED.values(), ids=REFUSED
    )
    def test_the_caller_reads_it_and_the_operator_sees_it(
        self, site: Site, request_of: Request, status: int, fault: str
    ) -> None:
        """Guards against resets, and refusals without a trace."""
        before = count_refused(site, fault)
        answer = exchange(site, request_of)
        assert answer[9:12] == str(status).encode()
        assert answer.count(b"HTTP/1.") == 1
        assert NOT_RUN in answer
        assert not site.requests()
        wait_for(lambda: f"reason={fault}" in site.entry.log(), "line of the log")
        assert count_refused(site, fault) == before + 1
        assert "Traceback" not in site.entry.log()

    def test_a_length_that_is_no_number_is_refused(self, site: Site) -> None:
        """Guards against a connection that is closed without an answer."""

        def many_digits(number: int) -> Iterator[bytes]:
            yield make_head(number, "Content-Length: " + "9" * 5_000)

        assert exchange(site, many_digits)[9:12] == b"400"
        assert "Traceback" not in site.entry.log()

    @pytest.mark.parametrize(
        ("line", "target", "status"),
        [
            ("Api-Key: wrong", "POST /order/1", b"401"),
            ("Note: none", "POST /nowhere/1", b"404"),
        ],
        ids=["key", "route"],
    )
    def test_what_is_denied_is_not_read_first(
        self, site: Site, line: str, target: str, status: bytes
    ) -> None:
        """Guards against bodies that are stored for callers without a key."""
        with socket.create_connection(("127.0.0.1", site.entry.front)) as connection:
            connection.settimeout(standins.WAIT_SECONDS)
            length = f"Content-Length: {BODY_BYTES}"
            connection.sendall(make_head(1, length, line, target=target))
            assert connection.recv(65_536)[9:12] == status

    def test_expectations_are_not_met_for_what_is_denied(self, site: Site) -> None:
        """Guards against a body that is asked for and then denied."""
        with socket.create_connection(("127.0.0.1", site.entry.front)) as connection:
            connection.settimeout(standins.WAIT_SECONDS)
            lines = (f"Content-Length: {BODY_BYTES}", "Expect: 100-continue")
            connection.sendall(make_head(1, *lines, target="POST /nowhere/1"))
            assert connection.recv(65_536)[9:12] == b"404"


class TestSettings:
    def test_limits_in_force_are_shown(self, site: Site) -> None:
        log = site.entry.log()
        assert "body_seconds=1.5" in log
        metrics = site.entry.fetch_metrics()
        for name in (
            "request_bytes_limit",
            "unfinished_requests_limit",
            "caller_connections_limit",
        ):
            assert f"mintsaddle_{name} " in metrics

    def test_they_are_reloaded(self, site: Site) -> None:
        """Guards against limits that stay as they were at the start."""
        site.entry.change_settings("body_timeout_ms = 1500", "body_timeout_ms = 2500")
        site.entry.process.send_signal(signal.SIGHUP)
        wait_for(lambda: "body_seconds=2.5" in site.entry.log(), "new limit")
