"""Asking groups that are down whether they have formed anew."""

import threading

from returns.result import Success

from mintsaddle.direct._gateway import Gateway
from mintsaddle.platform import read_rank_report

ASK_SECONDS = 0.15
"""Seconds between two questions: a fraction of the 0.6 s that a group takes to
form, for about the price of a health check each."""


def start_asking(gateway: Gateway) -> None:
    """Ask in a thread of its own, for the process's life."""
    threading.Thread(target=_run, args=(gateway,), name="groups", daemon=True).start()


def _run(gateway: Gateway) -> None:
    pause = threading.Event()
    while True:
        with gateway.groups_changed:
            while not gateway.groups.down_groups():
                gateway.groups_changed.wait()
            down = gateway.groups.down_groups()
        for group in down:
            _ask(gateway, group)
        pause.wait(ASK_SECONDS)


def _ask(gateway: Gateway, group: str) -> None:
    """Ask one rank, another one each time: some may be cut off."""
    ranks = [
        one
        for one in gateway.directory.endpoints.values()
        if one.place is not None and one.place.group == group
    ]
    if not ranks:
        return
    with gateway.lock:
        chosen = gateway.rng.choice(ranks)
    match read_rank_report(chosen.address, 0):
        case Success(report):
            gateway.note_group(group, report.epoch, report.is_open)
        case _:
            # A rank that can't be asked may be the very one that is lost;
            # another one is asked next.
            return
