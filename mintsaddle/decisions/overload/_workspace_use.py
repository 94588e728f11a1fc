"""Fair shares of the capacity among workspaces while it is insufficient.

Each entry sees a part of a workspace's calls, so entries report their largest
uses to each other. Use is work that was admitted. What a workspace wants is
estimated from its use and from how many calls of those within their shares
weren't admitted; the shares are max-min fair for these demands. As long as
such calls are refused, the workspaces with the largest use are over share, and
what all others leave unused stays theirs.
"""

import heapq
import math
from collections.abc import Iterable
from typing import NamedTuple

from mintsaddle.decisions.overload._fair_share import FairUse, find_fair_use
from mintsaddle.values import Instant

USE_DECAY_SECONDS = 5.0
"""Time constant of the decay of recorded work; long enough to average over
the calls of a workspace, and short enough to follow its demand."""

IDLE_SECONDS = 10.0
"""Seconds without admitted work after which a workspace is forgotten. The
remainder of its use would still count as competition for the others."""

PEER_USE_SECONDS = 10.0
"""Seconds for which a peer's report counts. Each round of gossip reaches few
peers, so a given one reports every few seconds."""

OVERLOAD_WINDOW_SECONDS = 3.0
"""Seconds after a call wasn't admitted for which the entry counts as
overloaded. Longer than the interval between two gossip rounds, so that peers
are told while calls are refused now and then."""

SHARE_UPDATE_SECONDS = 1.0
"""Minimum interval between two computations of the shares, and of the report
to peers. Reports of peers arrive about this often, and for thousands of
workspaces each computation takes some milliseconds."""

MAX_DEMAND_FACTOR = 2.0
"""Largest multiple of its use that a workspace is assumed to want. Callers
that retry immediately would otherwise appear to want many times as much."""

MAX_REPORTED_USES = 16
"""Workspaces in one report; the others of an entry use little."""

MAX_NAME_LENGTH = 128
"""Characters in the name of a peer or workspace; longer ones are ignored."""

MAX_REPORTED_RATE = 1e9
"""Largest rate that a report is taken to state, in work per second."""

MAX_REPORTING_PEERS = 1024
"""Peers whose reports are kept; three times the expected number of entries."""

_NEVER: Instant = float("-inf")


class _DecayedSum(NamedTuple):
    """Sum of what was recorded up to an instant; older parts count less."""

    value: float = 0.0
    recorded_at: Instant = 0.0

    def at(self, now: Instant) -> float:
        """Return the sum at an instant."""
        age = max(0.0, now - self.recorded_at)
        return self.value * math.exp(-age / USE_DECAY_SECONDS)

    def add(self, value: float, now: Instant) -> "_DecayedSum":
        """Return the sum with a value that is recorded now."""
        return _DecayedSum(self.at(now) + value, now)


class _PeerReport(NamedTuple):
    """The largest uses of a peer, by workspace, in work per second."""

    rates: dict[str, float]
    received_at: Instant


class WorkspaceUse:
    """Use of the capacity by workspace, as far as one entry knows it."""

    def __init__(self) -> None:
        self._own: dict[str, _DecayedSum] = {}
        self._reports: dict[str, _PeerReport] = {}
        self._entry_count = 1
        self._admitted_calls = _DecayedSum()
        self._refused_calls = _DecayedSum()
        self._not_admitted_at: Instant = _NEVER
        self._drop_idle_at: Instant = _NEVER
        self._update_at: Instant = _NEVER
        self._report_at: Instant = _NEVER
        self._report: list[tuple[str, float]] = []
        self._fair_use = FairUse()
        self._over_share: frozenset[str] = frozenset()

    @property
    def share(self) -> float:
        """Largest fair share at the last overload, in work per second.

        Infinite if nobody had to leave capacity to others.
        """
        return self._fair_use.share

    @property
    def shares_updated_at(self) -> Instant | None:
        """When the shares were computed last; None if they never were."""
        updated_at = self._update_at - SHARE_UPDATE_SECONDS
        return None if updated_at == _NEVER else updated_at

    def set_entry_count(self, number: int) -> None:
        """Set how many entries there are, including this one."""
        self._entry_count = number

    def record(self, workspace: str, work: float, now: Instant) -> None:
        """Record a call that was admitted.

        Args:
            workspace: The holder of its key; an empty string without one.
            work: The work of the call, as returned by call_work.
            now: The present instant.
        """
        if now >= self._drop_idle_at:
            self._drop_idle(now)
        if not self.is_over_share(workspace, now):
            self._admitted_calls = self._admitted_calls.add(1.0, now)
        own = self._own.get(workspace, _DecayedSum())
        self._own[workspace] = own.add(work, now)

    def record_not_admitted(self, now: Instant, workspace: str | None = None) -> None:
        """Record that a call wasn't admitted for lack of capacity.

        Args:
            now: The present instant.
            workspace: The holder of its key; None if unknown, in which case
                it counts as within its share.
        """
        self._not_admitted_at = max(self._not_admitted_at, now)
        if workspace is None or not self.is_over_share(workspace, now):
            self._refused_calls = self._refused_calls.add(1.0, now)

    def is_overloaded(self, now: Instant) -> bool:
        """Return whether a call wasn't admitted recently."""
        return now - self._not_admitted_at <= OVERLOAD_WINDOW_SECONDS

    def record_peer(
        self, vm: str, uses: Iterable[tuple[str, float]], now: Instant
    ) -> None:
        """Replace what a peer has reported; invalid uses are left out.

        Args:
            vm: Name of the peer.
            uses: Its largest uses, in work per second; none if it isn't
                overloaded.
            now: When the report was sent or received. A report older than
                the known one is ignored.
        """
        known = self._reports.get(vm)
        if known is not None and now < known.received_at:
            return
        if len(vm) > MAX_NAME_LENGTH:
            return
        rates = {
            name: min(rate, MAX_REPORTED_RATE)
            for name, rate in list(uses)[:MAX_REPORTED_USES]
            if len(name) <= MAX_NAME_LENGTH and rate > 0
        }
        if known is None:
            self._drop_expired(now)
            if not rates or len(self._reports) >= MAX_REPORTING_PEERS:
                return
        self._reports[vm] = _PeerReport(rates, now)

    def top(self, now: Instant, limit: int) -> list[tuple[str, float]]:
        """Return the workspaces that use most of this entry.

        Args:
            now: The present instant.
            limit: Maximum number of workspaces.

        Returns:
            Names and work per second, the largest first.
        """
        rates = self._own_rates(now).items()
        return heapq.nlargest(limit, rates, key=lambda item: item[1])

    def largest(self, now: Instant, limit: int) -> list[tuple[str, float, bool]]:
        """Return the workspaces that use most of all entries under overload.

        Returns:
            Names, estimated work per second, the largest first, and whether
            each was over its share when the shares were computed last.
        """
        if not self.is_overloaded(now):
            return []
        rates = self._known_rates(now).items()
        largest = heapq.nlargest(limit, rates, key=lambda item: item[1])
        return [(name, rate, name in self._over_share) for name, rate in largest]

    def make_report(self, now: Instant) -> list[tuple[str, float]]:
        """Return the uses to send to peers; none without overload."""
        if not self.is_overloaded(now):
            return []
        if now >= self._report_at:
            self._report_at = now + SHARE_UPDATE_SECONDS
            self._report = self.top(now, MAX_REPORTED_USES)
        return self._report

    def is_over_share(self, workspace: str, now: Instant) -> bool:
        """Return whether a workspace uses more than its share under overload.

        Args:
            workspace: Its name; an empty string for calls without one.
            now: The present instant.
        """
        if not self.is_overloaded(now):
            self._over_share = frozenset()
            return False
        if now >= self._update_at:
            self._update_at = now + SHARE_UPDATE_SECONDS
            self._update_shares(now)
        return workspace in self._over_share

    def _update_shares(self, now: Instant) -> None:
        self._drop_expired(now)
        known = self._known_rates(now)
        self._fair_use = find_fair_use(known.values(), self._demand_factor(now))
        _, regained, tolerated = self._fair_use
        self._over_share = frozenset(
            name
            for name, rate in known.items()
            if rate > (regained if name in self._over_share else tolerated)
        )

    def _own_rates(self, now: Instant) -> dict[str, float]:
        # Computed without calls of methods, which take most of the time for
        # thousands of workspaces.
        exp, oldest, decay = math.exp, now - IDLE_SECONDS, USE_DECAY_SECONDS
        return {
            name: value * exp((recorded_at - now) / decay) / decay
            for name, (value, recorded_at) in self._own.items()
            if recorded_at >= oldest
        }

    def _demand_factor(self, now: Instant) -> float:
        """Return what those within their shares want, relative to their use.

        Calls of workspaces over their share don't count: they want more
        whatever the others get.
        """
        admitted = self._admitted_calls.at(now)
        refused = self._refused_calls.at(now)
        if refused >= admitted * (MAX_DEMAND_FACTOR - 1.0):
            return MAX_DEMAND_FACTOR
        return 1.0 + refused / admitted

    def _known_rates(self, now: Instant) -> dict[str, float]:
        """Return the estimated use of all entries by workspace.

        Peers that reported nothing recently are assumed to have the median of
        the reported uses. Without that, the own part of a workspace that
        calls few entries would appear too large among several hundred
        entries. The mean would multiply a use that few peers have.
        """
        reported: dict[str, list[float]] = {}
        for report in self._reports.values():
            for name, rate in report.rates.items():
                reported.setdefault(name, []).append(rate)
        heard = sum(bool(report.rates) for report in self._reports.values())
        silent = max(0, self._entry_count - 1 - heard)
        known = self._own_rates(now)
        for name, rates in reported.items():
            # All peers that don't list the workspace count as 0.
            middle = heard // 2
            is_common = len(rates) > middle
            median = sorted(rates, reverse=True)[middle] if is_common else 0.0
            known[name] = known.get(name, 0.0) + sum(rates) + silent * median
        return known

    def _drop_idle(self, now: Instant) -> None:
        self._drop_idle_at = now + IDLE_SECONDS
        self._own = {
            name: use
            for name, use in self._own.items()
            if now - use.recorded_at <= IDLE_SECONDS
        }

    def _drop_expired(self, now: Instant) -> None:
        self._reports = {
            vm: report
            for vm, report in self._reports.items()
            if now - report.received_at <= PEER_USE_SECONDS
        }
