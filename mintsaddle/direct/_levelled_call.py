"""A call of a service with priority levels, as it is admitted."""

from typing import NamedTuple

from mintsaddle.decisions.direct import DirectCall
from mintsaddle.decisions.overload import CallPriority, PriorityLevels
from mintsaddle.values import Instant


class WaitState:
    """Whether a call has begun to wait."""

    def __init__(self) -> None:
        self._has_begun = False

    @property
    def has_begun(self) -> bool:
        """Whether the call waits or has waited."""
        return self._has_begun

    def begin(self) -> bool:
        """Record that the call waits.

        Returns:
            Whether it didn't before.
        """
        is_first = not self._has_begun
        self._has_begun = True
        return is_first


class LevelledCall(NamedTuple):
    """A call as it is admitted: a workspace over its share changes it."""

    call: DirectCall
    levels: PriorityLevels
    level: int
    is_over_share: bool
    """Whether its workspace is over its share, so that the call counts as one
    level lower, or as late."""

    is_protected: bool
    """Whether it belongs to the minimum share of its level."""

    wait_until: Instant

    ticket: str
    """Its id in the queue. Callers choose request ids, which may repeat."""

    wait_state: WaitState

    @property
    def priority(self) -> CallPriority:
        """Its published priority, with the default of its workspace."""
        workspace = self.call.workspace_priority
        if workspace is None:
            workspace = self.levels.default_workspace
        return CallPriority(workspace, self.call.route.priority)
