"""Checks whether groups that are down have formed again."""

import threading
from functools import partial
from typing import NoReturn

from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._rank_calls import RankCalls
from mintsaddle.process import FailureLog, Supervisor

CHECK_INTERVAL_SECONDS = 0.15
"""Seconds between two checks of a group: a fraction of the 0.6 s that a group
takes to form. Each check costs about as much as a health check."""


_THREAD = "groups"


def start_group_checks(gateway: Gateway, supervisor: Supervisor) -> None:
    """Start a thread that checks groups until the process ends."""
    calls = RankCalls(gateway.settings, gateway.now, gateway.metrics.count)
    supervisor.start(_THREAD, partial(_run, gateway, calls, supervisor.failures))


def _run(gateway: Gateway, calls: RankCalls, failures: FailureLog) -> NoReturn:
    pause = threading.Event()
    while True:
        with gateway.groups_changed:
            while not gateway.groups.down_groups():
                gateway.groups_changed.wait()
            down = gateway.groups.down_groups()
        for group in down:
            with failures.contain(_THREAD):
                _check_group(gateway, calls, group)
        pause.wait(CHECK_INTERVAL_SECONDS)


def _check_group(gateway: Gateway, calls: RankCalls, group: str) -> None:
    """Read the report of a random rank, since some ranks may be cut off."""
    ranks = [
        (endpoint, endpoint.assignment.rank)
        for endpoint in gateway.directory.endpoints.values()
        if endpoint.assignment is not None and endpoint.assignment.group == group
    ]
    if not ranks:
        return
    willing = [rank for rank in ranks if not gateway.waits.is_waiting(rank[0].name)]
    with gateway.lock:
        endpoint, rank = gateway.rng.choice(willing or ranks)
    report = calls.read_report(endpoint.address, rank)
    # A rank without a report may be the lost one; the next check picks again.
    if report is not None:
        gateway.record_group(group, report.epoch, report.is_open, report.step)
