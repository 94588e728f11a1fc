"""Predicted bound on the requests of a rank group's engines.

Load pattern: popularity changes every few seconds. Until the next expert map
is in force, all steps of the group take longer, and with full engines longer
than the pause that callers accept; all streams of the group are then late at
once. By the time that steps are seen to be long it is too late to refuse.

So an entry remembers how much longer than published the group's longest steps
were, whatever the load at that time, and predicts from the published model
how many requests the group can hold during the next such steps. The steps are
observed as pauses of the entry's own streams: all ranks run in lockstep, so a
long step lengthens the pause of each stream, and a pause of only one stream
has another cause, such as a lost packet.
"""

from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from mintsaddle.decisions.direct import StepModel
from mintsaddle.values import Instant

SKEW_SECONDS = 8.0
"""Seconds for which the longest step is remembered: at least two changes of
popularity."""

SAME_STEP_SECONDS = 0.15
"""Largest interval between the ends of pauses that one step causes."""

SAME_STEP_SHARE = 0.9
"""Share of a pause from which another stream's pause confirms it."""

BOUND_PAUSE_SHARE = 0.95
"""Share of the longest accepted pause that a predicted step may take."""

MIN_BOUND_SHARE = 0.5
"""Share of the slots that stays available whatever the skew. With fewer
requests the fixed part of each step dominates, and late streams are better
than idle slots."""


class _Pause(NamedTuple):
    ended_at: Instant
    stream: str
    seconds: float


class _Skew(NamedTuple):
    observed_at: Instant
    skew: float


class StepSkews:
    """The largest skew of the recent steps of each group."""

    def __init__(self) -> None:
        self._pauses: dict[str, deque[_Pause]] = {}
        self._skews: dict[str, deque[_Skew]] = {}

    def record_pause(
        self, group: str, stream: str, seconds: float, expected: float, now: Instant
    ) -> None:
        """Record the pause between two events of a stream.

        Args:
            group: The group that generates the stream.
            stream: Id of the stream.
            seconds: The pause.
            expected: Seconds that a step of the group's present load takes
                with equal work for all experts.
            now: When the pause ended.
        """
        pauses = self._pauses.setdefault(group, deque())
        while pauses and now - pauses[0].ended_at > SAME_STEP_SECONDS:
            pauses.popleft()
        others = [pause.seconds for pause in pauses if pause.stream != stream]
        pauses.append(_Pause(now, stream, seconds))
        confirmed = min(seconds, max(others, default=0.0))
        if confirmed < seconds * SAME_STEP_SHARE or expected <= 0:
            return
        skews = self._skews.setdefault(group, deque())
        skew = confirmed / expected
        # Only skews that are the largest from their instant on are kept.
        while skews and skews[-1].skew <= skew:
            skews.pop()
        skews.append(_Skew(now, skew))

    def largest_skew(self, group: str, now: Instant) -> float:
        """Return the largest recent skew of a group; 0 if unknown."""
        skews = self._skews.get(group, deque())
        while skews and now - skews[0].observed_at > SKEW_SECONDS:
            skews.popleft()
        return skews[0].skew if skews else 0.0

    def keep_only(self, groups: Collection[str]) -> None:
        """Discard groups that no longer exist."""
        self._pauses = {k: v for k, v in self._pauses.items() if k in groups}
        self._skews = {k: v for k, v in self._skews.items() if k in groups}


def bound_requests(
    steps: StepModel, skew: float, longest_pause: float, slots: float
) -> float:
    """Return how many requests an engine can hold while steps are longest.

    Args:
        steps: The published model of its step times.
        skew: How many times longer the longest steps take; 0 if unknown.
        longest_pause: Longest time between two events of a stream that is on
            time, in seconds; 0 if the route sets none.
        slots: Its slots.
    """
    if skew <= 0 or longest_pause <= 0 or steps.request_seconds <= 0:
        return slots
    step_seconds = longest_pause * BOUND_PAUSE_SHARE / skew
    per_token = step_seconds / steps.tokens - steps.token_seconds
    bound = per_token / steps.request_seconds
    return min(slots, max(bound, slots * MIN_BOUND_SHARE))
