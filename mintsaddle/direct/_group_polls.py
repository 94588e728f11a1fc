"""Polls of rank groups by their coordinators and by successors."""

from collections.abc import Callable

from mintsaddle.decisions.expert_maps import (
    LastReports,
    RankReport,
    choose_counted_ranks,
    choose_sampled_ranks,
    have_even_load,
)
from mintsaddle.direct._rank_calls import GroupPoll, RankCalls
from mintsaddle.direct._rank_groups import RankGroup
from mintsaddle.values import Instant

SAMPLE_RANKS = 2
"""Ranks whose counts are read in a poll over the network. Requests are spread
evenly over the ranks, so two of twelve show the hot experts; each reading
costs a pause."""

MIN_REACHABLE_SHARE = 0.5
"""Share of the serving ranks whose agents must be reachable for polls through
agents. The other ranks are left out, since all ranks run in step."""

MAX_AGENT_COUNTS = 16_000
"""Most expert counts read in a poll through agents. Bounds the coordinator's
use of a link and of a core regardless of the group's size."""

SLOWNESS_RANKS = 3
"""Ranks whose slowness is read in a poll over the network; covers twelve ranks
within 2 s."""

WATCHDOG_RANKS = 3
"""Ranks that each successor polls; several, since some may have no requests
while the group is busy."""


class GroupPoller:
    """Polls groups; for use by one thread only."""

    def __init__(
        self, rank_calls: RankCalls, data_centre: str, now: Callable[[], Instant]
    ) -> None:
        """Initialise without any reports.

        Args:
            rank_calls: Makes the calls to ranks.
            data_centre: This entry's data centre.
            now: Returns the current time.
        """
        self._rank_calls = rank_calls
        self._data_centre = data_centre
        self._now = now
        self._poll_count = 0
        self._last_reports: dict[str, LastReports] = {}

    def is_reachable(self, group: RankGroup) -> bool:
        """Return whether the agents of enough serving ranks are reachable."""
        reachable = self._rank_calls.reachable_ranks(group).intersection(group.serving)
        return len(reachable) >= len(group.serving) * MIN_REACHABLE_SHARE

    def poll(self, group: RankGroup) -> GroupPoll:
        """Poll the ranks; over the network only a few, which vary by poll."""
        if self.is_reachable(group):
            return self._poll_agents(group)
        self.forget(group)
        ranks = len(group.ranks)
        self._poll_count += 1
        first = self._poll_count * SLOWNESS_RANKS
        polled_ranks = {(first + offset) % ranks for offset in range(SLOWNESS_RANKS)}
        counted_ranks = choose_sampled_ranks(group.serving, SAMPLE_RANKS)
        progress_rank = self._progress_order(group)[0]
        return self._rank_calls.poll(
            group, polled_ranks | {progress_rank, *counted_ranks}, counted_ranks
        )

    def poll_sample(self, group: RankGroup) -> GroupPoll:
        """Poll a few serving ranks, local ones if there are enough."""
        reachable = self._rank_calls.reachable_ranks(group)
        serving = [rank for rank in group.serving if rank in reachable]
        local = self._local_ranks(group)
        nearby = [rank for rank in serving if rank in local]
        if len(nearby) < WATCHDOG_RANKS:
            sampled = choose_sampled_ranks(serving, WATCHDOG_RANKS)
            return self._rank_calls.poll(group, sampled)
        # Requests may all be at ranks of another data centre.
        remote = [rank for rank in serving if rank not in local]
        sampled = choose_sampled_ranks(nearby, WATCHDOG_RANKS)
        return self._rank_calls.poll(group, [*sampled, *remote[:1]])

    def progress_report(self, group: RankGroup, poll: GroupPoll) -> RankReport | None:
        """Return the report to take the group's progress from."""
        return poll.first_report(self._progress_order(group))

    def forget(self, group: RankGroup) -> None:
        """Discard the reports of a group that this entry doesn't manage."""
        self._last_reports.pop(group.name, None)

    def _poll_agents(self, group: RankGroup) -> GroupPoll:
        reachable = self._rank_calls.reachable_ranks(group)
        local = self._local_ranks(group)
        serving = [rank for rank in group.serving if rank in reachable]
        counts_per_rank = group.layout.layers * group.layout.experts
        count = max(1, MAX_AGENT_COUNTS // counts_per_rank)
        last_reports = self._last_reports.setdefault(group.name, LastReports())
        is_even = have_even_load(serving, local, last_reports.running)
        counted_ranks = choose_counted_ranks(serving, local if is_even else (), count)
        now = self._now()
        polled_ranks = last_reports.choose_ranks(reachable, local, serving, now)
        poll = self._rank_calls.poll(group, polled_ranks, counted_ranks)
        earlier = last_reports.record(reachable, local, polled_ranks, poll.reports, now)
        return poll._replace(earlier=earlier)

    def _progress_order(self, group: RankGroup) -> list[int]:
        """Return the serving ranks, local ones first.

        The first one is read in every poll, since the steps that different
        ranks report may differ.
        """
        local = self._local_ranks(group)
        return sorted(group.serving, key=lambda rank: rank not in local)

    def _local_ranks(self, group: RankGroup) -> frozenset[int]:
        return frozenset(
            rank
            for rank, endpoint in enumerate(group.ranks)
            if endpoint.data_centre == self._data_centre
        )
