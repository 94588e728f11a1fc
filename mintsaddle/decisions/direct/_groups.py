"""Which rank groups take no work at present.

Load pattern: one rank dies or is cut off, and its whole group stands still for
seconds. Every request that is sent there meanwhile first waits for the stall
and is then refused, and each such arrival counts against the retry budget. So
the first refusal speaks for all ranks, and nothing more is sent until a report
says that the group has formed anew.
"""

import random

from mintsaddle.decisions.direct._calls import DirectCall
from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.direct._urgency import is_late
from mintsaddle.values import Instant

FALSE_ALARM_SECONDS = 0.5
"""Seconds after a refusal from which a report of an open group in the same
epoch counts: reports are up to 0.2 s old."""

LEAST_TIMEOUT = 2.0
"""Seconds without an event after which callers leave a stream at the soonest,
by the platform's page; four objectives or eight pauses may be longer."""

HOLD_MARGIN = 0.25
"""Seconds before that in which a held request has to be on its way: the first
event takes 0.2 s on a calm group."""

RETURN_SPREAD = 0.4
"""Seconds over which late streams that waited for their group are placed once
it is back. Placed at one moment, each of them finds all engines idle."""

RETRY_SHARE_OF_TIME = 1 / 3
"""Share of their remaining time for which callers heed a time to come back."""

_SPREAD = 0.2


class GroupBeliefs:
    """The groups that are believed to be down, and since which epoch."""

    def __init__(self) -> None:
        self._down: dict[str, tuple[int, Instant]] = {}
        self._stalled_at: dict[str, int] = {}

    def is_down(self, group: str) -> bool:
        """Return whether a group takes no work."""
        return group in self._down

    def down_groups(self) -> tuple[str, ...]:
        """Return all groups that take no work."""
        return tuple(self._down)

    def record_refusal(self, group: str, epoch: int, now: Instant) -> None:
        """Note that a rank refused for its group's sake."""
        known_epoch, _ = self._down.get(group, (0, 0.0))
        self._down[group] = (max(epoch, known_epoch), now)

    def record_stall(self, group: str, epoch: int, step: int, now: Instant) -> None:
        """Note that a group with requests has stalled at a step."""
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
        """Note what a rank says of its group now.

        Args:
            group: The group.
            epoch: Its epoch.
            is_open: Whether it says that it takes work.
            now: The present instant.
            step: The last step that it began; None when that isn't told.
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
            goes_on = now - since > FALSE_ALARM_SECONDS
        else:
            # Until its ranks give up, a stalled group calls itself open.
            goes_on = step is not None and step > stalled_at
        if epoch > down_epoch or goes_on:
            del self._down[group]
            self._stalled_at.pop(group, None)

    def takes_work(self, incarnation: Incarnation) -> bool:
        """Return whether an endpoint's group, if it has one, takes work."""
        place = incarnation.place
        return place is None or place.group not in self._down


def hold_until(call: DirectCall) -> Instant:
    """Return until when a request may wait at the entry for its group.

    Longer would be in vain: its caller leaves.
    """
    route = call.route
    timeout = max(LEAST_TIMEOUT, 4 * route.objective, 8 * route.longest_pause)
    waited = call.arrived_at + timeout - HOLD_MARGIN
    return min(waited, call.deadline - HOLD_MARGIN)


def place_at(call: DirectCall, now: Instant, rng: random.Random) -> Instant:
    """Return when a request that has waited for endpoints may be placed.

    Args:
        call: The request; only streams that can't be on time any more wait.
        now: When an endpoint takes work again.
        rng: The source of the spread.
    """
    if not call.route.is_stream or not is_late(call, now):
        return now
    return now + rng.random() * min(RETURN_SPREAD, max(0.0, hold_until(call) - now))


def advise_retry(seconds_left: float, wished: float, rng: random.Random) -> float:
    """Return after how many seconds a refused caller should come back.

    Callers that are refused together must not come back together, so the time
    is spread; and a time that they wouldn't heed is of no use.

    Args:
        seconds_left: How long the caller still waits.
        wished: Seconds after which there will probably be room.
        rng: The source of the spread.
    """
    seconds = min(wished, seconds_left * RETRY_SHARE_OF_TIME)
    return seconds * (1.0 - _SPREAD * rng.random())
