"""Decides which ranks of a group a coordinator polls, and for what.

Load pattern: a coordinator polls ten times a second. All ranks run in lockstep
and requests are spread evenly over them, so the ranks in the coordinator's own
data centre show the group's progress and popularity. Each reply from another
data centre crosses an expensive link.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence

from mintsaddle.decisions.expert_maps._armed_state import RankReport
from mintsaddle.values import Instant

REMOTE_POLL_SECONDS = 0.5
"""Seconds between two reports of a rank in another data centre. Shorter than
the stall timeout, so no stall is found from outdated reports alone."""

REMOTE_POLL_ROUNDS = 5
"""Polls over which the reports of remote ranks are spread: as many as begin
within the interval."""

MIN_LOCAL_LOAD_SHARE = 0.5
"""Share of their even part of the requests that local ranks must have for
their counts to show the popularity."""

MIN_LOCAL_RANKS = 3
"""Serving ranks of the own data centre that must answer before remote ranks
are polled less often. With fewer, all may be idle while the group is busy."""


def choose_counted_ranks(
    serving: Sequence[int], local: Collection[int], count: int
) -> list[int]:
    """Return the ranks whose counts are read, local ones first.

    Args:
        serving: Ranks that receive work and can be polled.
        local: Ranks in the coordinator's data centre.
        count: Number of ranks to read.
    """
    nearby = [rank for rank in serving if rank in local]
    remote = [rank for rank in serving if rank not in local]
    chosen = _spread_evenly(nearby, count)
    return sorted(chosen + _spread_evenly(remote, count - len(chosen)))


def have_even_load(
    serving: Collection[int], local: Collection[int], running: Mapping[int, int]
) -> bool:
    """Return whether local ranks have their part of a group's requests.

    Where callers use engines of their own data centre, the ranks of another
    one may be nearly idle and show no popularity.

    Args:
        serving: Ranks that receive work.
        local: Ranks in the coordinator's data centre.
        running: Requests that each rank reported last.
    """
    nearby = [rank for rank in serving if rank in local]
    total = sum(running.get(rank, 0) for rank in serving)
    at_local = sum(running.get(rank, 0) for rank in nearby)
    even_part = total * len(nearby) / max(1, len(serving))
    return at_local >= even_part * MIN_LOCAL_LOAD_SHARE


def choose_polled_ranks(
    ranks: Iterable[int],
    local: Collection[int],
    answering: Collection[int],
    due_at: Mapping[int, Instant],
    now: Instant,
) -> frozenset[int]:
    """Return the ranks whose reports are read in this poll.

    Args:
        ranks: Ranks that can be polled.
        local: Ranks in the coordinator's data centre.
        answering: Serving ranks that answered when they were last polled.
        due_at: When the next report of a remote rank is due.
        now: The current time.
    """
    has_enough_local = sum(rank in local for rank in answering) >= MIN_LOCAL_RANKS
    return frozenset(
        rank
        for rank in ranks
        if rank in local or not has_enough_local or now >= due_at.get(rank, now)
    )


class LastReports:
    """The last reports of one group's ranks, and when remote ones are due."""

    def __init__(self) -> None:
        self._epoch = -1
        self._reports: dict[int, RankReport] = {}
        self._due_at: dict[int, Instant] = {}

    @property
    def running(self) -> dict[int, int]:
        """Requests that each rank reported last."""
        return {rank: report.running for rank, report in self._reports.items()}

    def choose_ranks(
        self,
        ranks: Collection[int],
        local: Collection[int],
        serving: Collection[int],
        now: Instant,
    ) -> frozenset[int]:
        """Return the ranks whose reports are read in this poll.

        Args:
            ranks: Ranks that can be polled.
            local: Ranks in the coordinator's data centre.
            serving: Ranks that receive work.
            now: The current time.
        """
        answering = [rank for rank in serving if rank in self._reports]
        return choose_polled_ranks(ranks, local, answering, self._due_at, now)

    def record(
        self,
        ranks: Collection[int],
        local: Collection[int],
        polled: Collection[int],
        reports: Mapping[int, RankReport],
        now: Instant,
    ) -> dict[int, RankReport]:
        """Record the reports of one poll.

        A rank that didn't answer is due again at once, so that a silent agent
        is noticed as soon as a local one. In a new epoch all ranks are due.

        Args:
            ranks: Ranks that can be polled.
            local: Ranks in the coordinator's data centre.
            polled: Ranks that were polled for their reports.
            reports: The reports that were read.
            now: The current time.

        Returns:
            The last reports of the ranks that weren't polled.
        """
        epoch = max((report.epoch for report in reports.values()), default=self._epoch)
        if epoch != self._epoch:
            self._epoch, self._reports, self._due_at = epoch, {}, {}
        for rank in polled:
            self._reports.pop(rank, None)
            self._due_at.pop(rank, None)
        self._reports.update(
            (rank, report) for rank, report in reports.items() if report.epoch == epoch
        )
        answered = sorted(rank for rank in reports if rank not in local)
        self._due_at.update(_next_due(answered, _count_remote(ranks, local), now))
        self._reports = {r: last for r, last in self._reports.items() if r in ranks}
        return {r: last for r, last in self._reports.items() if r not in reports}


def _next_due(answered: Sequence[int], remote: int, now: Instant) -> dict[int, Instant]:
    """Return when the next reports of remote ranks are due.

    If more have answered at once than one poll's share, the surplus ones are
    due sooner, so that the replies of later polls don't arrive in bursts.

    Args:
        answered: Remote ranks that answered in this poll.
        remote: Number of remote ranks.
        now: The current time.
    """
    share = -(-remote // REMOTE_POLL_ROUNDS)
    return {
        rank: now + REMOTE_POLL_SECONDS * (1 - number // share / REMOTE_POLL_ROUNDS)
        for number, rank in enumerate(answered)
    }


def _count_remote(ranks: Iterable[int], local: Collection[int]) -> int:
    return sum(rank not in local for rank in ranks)


def _spread_evenly(ranks: Sequence[int], count: int) -> list[int]:
    chosen = min(len(ranks), max(0, count))
    return [ranks[number * len(ranks) // chosen] for number in range(chosen)]
