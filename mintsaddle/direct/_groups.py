"""Asking groups that are down whether they have formed anew."""

import threading

from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._rank_calls import RankCalls

ASK_SECONDS = 0.15
"""Seconds between two questions: a fraction of the 0.6 s that a group takes to
form, for about the price of a health check each."""


def start_asking(gateway: Gateway) -> None:
    """Ask in a thread of its own, for the process's life."""
    threading.Thread(target=_run, args=(gateway,), name="groups", daemon=True).start()


def _run(gateway: Gateway) -> None:
    pause = threading.Event()
    calls = RankCalls(gateway.settings, gateway.now, gateway.metrics.count)
    while True:
        with gateway.groups_changed:
            while not gateway.groups.down_groups():
                gateway.groups_changed.wait()
            down = gateway.groups.down_groups()
        for group in down:
            _ask(gateway, calls, group)
        pause.wait(ASK_SECONDS)


def _ask(gateway: Gateway, calls: RankCalls, group: str) -> None:
    """Ask one rank, another one each time: some may be cut off."""
    places = {
        one.address: one.place
        for one in gateway.directory.endpoints.values()
        if one.place is not None and one.place.group == group
    }
    if not places:
        return
    with gateway.lock:
        address = gateway.rng.choice(list(places))
    report = calls.read_report(address, places[address].rank)
    # A rank that can't be asked may be the very one that is lost; another one
    # is asked next.
    if report is not None:
        gateway.record_group(group, report.epoch, report.is_open, report.step)
