"""Requests that are late because the process was stopped."""

import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.hostile_clients import make_head
from mintsaddle.platform.tests.standins import Site, wait_for

HEADER_SECONDS = 1.5
IN_FORCE = f"header_seconds={HEADER_SECONDS:.3f}"
STOPPED_SECONDS = 4.0


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    running = Site(tmp_path)
    limits = standins.make_configuration()["limits"]
    assert isinstance(limits, dict)
    limits["header_timeout_ms"] = int(1_000 * HEADER_SECONDS)
    running.configuration = standins.make_configuration(limits=limits)
    for site in standins.run(running):
        wait_for(lambda: IN_FORCE in running.entry.log(), "limits in force")
        yield site


class TestStoppedProcess:
    def test_what_arrived_meanwhile_is_read_first(self, site: Site) -> None:
        """Guards against sound requests refused as late after a freeze."""
        head = make_head(1, target="GET /lookup/1")
        with socket.create_connection(("127.0.0.1", site.entry.front)) as connection:
            connection.settimeout(standins.WAIT_SECONDS)
            connection.sendall(head[:40])
            time.sleep(0.2)
            site.entry.freeze()
            connection.sendall(head[40:])
            time.sleep(STOPPED_SECONDS)
            site.entry.process.send_signal(signal.SIGCONT)
            assert connection.recv(65_536).startswith(b"HTTP/1.1 200")
