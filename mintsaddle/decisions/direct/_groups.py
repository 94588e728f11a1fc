"""Availability of rank groups, as one entry observes it.

When one rank dies or is cut off, its whole group stalls for seconds. Each
request sent there meanwhile first waits for the stall, is then refused, and
uses up retry budget. So a refusal by one rank marks the whole group as down,
and nothing more is sent there until a report shows that the group has formed
again.
"""

import random

from mintsaddle.decisions.direct._calls import DirectCall
from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.direct._urgency import is_late
from mintsaddle.values import Instant

FALSE_ALARM_SECONDS = 0.5
"""Seconds after a refusal from which a report of an open group in the same
epoch overrides it. Reports are up to 0.2 s old, so an earlier one may predate
the refusal."""

MIN_CALLER_TIMEOUT_SECONDS = 2.0
"""Shortest time without an event after which callers abandon a stream, as the
platform documents it. Four objectives or eight pauses may be longer."""

HOLD_MARGIN_SECONDS = 0.25
"""Seconds before that timeout by which a held request must be sent. The first
event takes 0.2 s on an idle group."""

RECOVERY_JITTER_SECONDS = 0.4
"""Seconds over which waiting late streams are placed when their group is back.
If all were placed at once, each would see all engines idle."""

MAX_RETRY_DELAY_SHARE = 1 / 3
"""Share of a caller's remaining time up to which it respects an advised retry
delay."""

_RETRY_JITTER_SHARE = 0.2


class GroupAvailability:
    """The groups that count as down, and the epoch in which they went down."""

    def __init__(self) -> None:
        self._down: dict[str, tuple[int, Instant]] = {}
        self._stalled_at: dict[str, int] = {}

    def is_down(self, group: str) -> bool:
        """Return whether a group accepts no work."""
        return group in self._down

    def down_groups(self) -> tuple[str, ...]:
        """Return all groups that accept no work."""
        return tuple(self._down)

    def record_refusal(self, group: str, epoch: int, now: Instant) -> None:
        """Record that a rank refused a request because its group is down."""
        known_epoch, _ = self._down.get(group, (0, 0.0))
        self._down[group] = (max(epoch, known_epoch), now)

    def record_stall(self, group: str, epoch: int, step: int, now: Instant) -> None:
        """Record that a group with requests has stalled at a step."""
        self.record_refusal(group, epoch, now)
        self._stalled_at[group] = step

    def record_report(
        self,
        group: str,
        epoch: int,
        is_open: bool,
        now: Instant,
        step: int | None = None,
    ) -> None:
        """Record a rank's report on its group.

        Args:
            group: The group.
            epoch: Its epoch.
            is_open: Whether the rank reports that the group accepts work.
            now: The present instant.
            step: The last step that the group began; None if not reported.
        """
        if not is_open:
            self._down.setdefault(group, (epoch, now))
            return
        down = self._down.get(group)
        if down is None:
            return
        down_epoch, since = down
        stalled_at = self._stalled_at.get(group)
        if stalled_at is None:
            has_recovered = now - since > FALSE_ALARM_SECONDS
        else:
            # A stalled group reports itself open until its ranks time out.
            has_recovered = step is not None and step > stalled_at
        if epoch > down_epoch or has_recovered:
            del self._down[group]
            self._stalled_at.pop(group, None)

    def takes_work(self, incarnation: Incarnation) -> bool:
        """Return whether an endpoint's group, if it has one, accepts work."""
        assignment = incarnation.assignment
        return assignment is None or assignment.group not in self._down


def hold_until(call: DirectCall) -> Instant:
    """Return until when a request may wait at the entry for its group.

    Its caller would time out if it waited longer.
    """
    route = call.route
    timeout = max(
        MIN_CALLER_TIMEOUT_SECONDS, 4 * route.objective, 8 * route.longest_pause
    )
    hold_end = call.arrived_at + timeout - HOLD_MARGIN_SECONDS
    return min(hold_end, call.deadline - HOLD_MARGIN_SECONDS)


def place_at(call: DirectCall, now: Instant, rng: random.Random) -> Instant:
    """Return when a request that has waited for endpoints may be placed.

    Args:
        call: The request. Only late streams are delayed.
        now: When an endpoint accepts work again.
        rng: The random number generator for the jitter.
    """
    if not call.route.is_stream or not is_late(call, now):
        return now
    return now + rng.random() * min(
        RECOVERY_JITTER_SECONDS, max(0.0, hold_until(call) - now)
    )


def advise_retry(
    seconds_left: float,
    preferred_seconds: float,
    rng: random.Random,
    *,
    is_minimum: bool = False,
) -> float:
    """Return after how many seconds a refused caller should retry.

    The delay has jitter, so that callers refused together don't retry
    together, and it is capped, since callers ignore a delay that takes too
    much of their remaining time.

    Args:
        seconds_left: How long the caller still waits.
        preferred_seconds: Seconds after which there will probably be capacity.
        rng: The random number generator for the jitter.
        is_minimum: Whether there certainly is no capacity before, so that the
            jitter is added.
    """
    longest = seconds_left * MAX_RETRY_DELAY_SHARE
    jitter = _RETRY_JITTER_SHARE * rng.random()
    if is_minimum:
        return min(preferred_seconds * (1.0 + jitter), longest)
    return min(preferred_seconds, longest) * (1.0 - jitter)
