"""Values that tests of overload share."""

from mintsaddle.decisions.direct import (
    CallerLimits,
    Destination,
    DirectCall,
    Incarnation,
    KeyHolder,
    RankAssignment,
    Repeat,
    RoutingTable,
)
from mintsaddle.decisions.direct.tests.samples import ROUTE
from mintsaddle.values import Instant

PAUSE = 0.12
OBJECTIVE = 0.5
STREAM_ROUTE = ROUTE._replace(
    repeat=Repeat.RESUMABLE,
    is_stream=True,
    longest_pause=PAUSE,
    objective=OBJECTIVE,
    destinations=(Destination("s", 1.0),),
)


def make_table(
    route_priorities: tuple[int, ...], *holders: KeyHolder, is_stream: bool = True
) -> RoutingTable:
    routes = tuple(
        STREAM_ROUTE._replace(priority=priority, is_stream=is_stream)
        for priority in route_priorities
    )
    keys = {f"key-{number}": holder for number, holder in enumerate(holders)}
    limits = CallerLimits(8192, 8192, 1.0, 1.0)
    return RoutingTable(1, {"host": routes}, {}, limits, keys or None)


def make_call(
    now: Instant, workspace: int | None, route: int, *, late: bool = False
) -> DirectCall:
    return DirectCall(
        "id",
        STREAM_ROUTE._replace(priority=route),
        "s",
        "n",
        now,
        now + 8.0,
        due_at=now - 1.0 if late else now + OBJECTIVE,
        workspace_priority=workspace,
    )


def make_engine(rank: int, slots: int, ranks: int = 32) -> Incarnation:
    assignment = RankAssignment("g", 1, rank, ranks, is_open=True)
    return Incarnation(
        f"i-{rank}", "s", f"{rank}:1", "a", slots, False, 0.0, 1, assignment
    )
