"""A rank's daemon: it obeys the highest ballot that it has seen."""

import enum

from mintsaddle.decisions.expert_maps._switch import GroupAct, GroupOrder
from mintsaddle.values import Boot, Instant

ORDER_TIMEOUT = 2.0
"""Seconds after which an order to an engine no longer takes effect."""


class RankVerdict(enum.Enum):
    """What a rank's daemon does with an order."""

    OBEY = "obey"
    """Pass it on to the engine and read back."""

    READ = "read"
    """Only read back."""

    REFUSE = "refuse"
    """Do nothing; the answer tells the higher ballot."""


class RankState:
    """The highest ballot that one run of a rank's daemon has seen."""

    def __init__(self, boot: Boot, boot_at: Instant) -> None:
        self._boot = boot
        self._ready_at = boot_at + ORDER_TIMEOUT
        self._ballot = 0
        self._sequence = 0

    @property
    def boot(self) -> Boot:
        """This run."""
        return self._boot

    @property
    def ready_at(self) -> Instant:
        """Until then an order of the run before may still take effect."""
        return self._ready_at

    @property
    def ballot(self) -> int:
        """The highest ballot seen."""
        return self._ballot

    @property
    def sequence(self) -> int:
        """The highest phase seen within that ballot."""
        return self._sequence

    def put_ballot(self, ballot: int, sequence: int) -> None:
        """Note a ballot and a phase that are no lower."""
        self._ballot = ballot
        self._sequence = sequence


def judge_order(state: RankState, order: GroupOrder, now: Instant) -> RankVerdict:
    """Decide on an order; a higher ballot is noted.

    Guards against a coordinator that was frozen and goes on with an old
    round, which would show as ranks that step on different maps. Its ballot
    is lower, or its order names a run of this daemon that is over. A fresh
    run waits until orders of the run before can't take effect any more, since
    some engines ignore fencing numbers.
    """
    if (order.ballot, order.sequence) < (state.ballot, state.sequence):
        return RankVerdict.REFUSE
    state.put_ballot(order.ballot, order.sequence)
    if order.act is GroupAct.READ:
        return RankVerdict.READ
    if order.boot != state.boot or now < state.ready_at:
        return RankVerdict.REFUSE
    return RankVerdict.OBEY
