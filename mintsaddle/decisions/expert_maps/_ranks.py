"""Order checks in a rank's daemon, which obeys only the highest ballot."""

import enum

from mintsaddle.decisions.expert_maps._switch import GroupAct, GroupOrder
from mintsaddle.values import Boot, Instant

ORDER_TIMEOUT = 2.0
"""Seconds after which an order to an engine no longer takes effect."""


class OrderDecision(enum.Enum):
    """How a rank's daemon handles an order."""

    OBEY = "obey"
    """Forward the order to the engine and read the state back."""

    READ = "read"
    """Only read the state back."""

    REFUSE = "refuse"
    """Do nothing; the answer contains the higher ballot."""


class RankState:
    """Highest ballot seen by one run of a rank's daemon."""

    def __init__(self, boot: Boot, boot_at: Instant) -> None:
        self._boot = boot
        self._ready_at = boot_at + ORDER_TIMEOUT
        self._ballot = 0
        self._sequence = 0

    @property
    def boot(self) -> Boot:
        """Identifier of this run."""
        return self._boot

    @property
    def ready_at(self) -> Instant:
        """When orders of the previous run can no longer take effect."""
        return self._ready_at

    @property
    def ballot(self) -> int:
        """The highest ballot seen."""
        return self._ballot

    @property
    def sequence(self) -> int:
        """The highest sequence number seen for that ballot."""
        return self._sequence

    def record_ballot(self, ballot: int, sequence: int) -> None:
        """Record a ballot and sequence number that are no lower."""
        self._ballot = ballot
        self._sequence = sequence


def check_order(state: RankState, order: GroupOrder, now: Instant) -> OrderDecision:
    """Return how to handle an order, and record its ballot if it is higher.

    Guards against a frozen coordinator that resumes an old round: ranks would
    run a step with different maps. Its orders have a lower ballot or name an
    earlier run of this daemon. A new run refuses orders until those of the
    previous run can no longer take effect, since some engines ignore fencing
    numbers.
    """
    if (order.ballot, order.sequence) < (state.ballot, state.sequence):
        return OrderDecision.REFUSE
    state.record_ballot(order.ballot, order.sequence)
    if order.act is GroupAct.READ:
        return OrderDecision.READ
    if order.boot != state.boot or now < state.ready_at:
        return OrderDecision.REFUSE
    return OrderDecision.OBEY
