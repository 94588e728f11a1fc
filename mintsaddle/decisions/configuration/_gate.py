"""Readiness check of a new daemon."""

from typing import NamedTuple

from mintsaddle.decisions.configuration._state import ConfigurationState
from mintsaddle.values import Instant


class ReadinessGate(NamedTuple):
    """Configuration queries of a new daemon and their results.

    A stale platform replica may return an old text. A daemon that relied on
    it alone would accept work that the newer text assigns to others, so the
    peers, which hold the newer text, are queried before serving.
    """

    asked: frozenset[str]
    """Peers that were asked for their configuration."""

    answered: frozenset[str] = frozenset()
    """Peers that have answered."""

    unreachable: frozenset[str] = frozenset()
    """Peers that could not be reached."""

    platform_answered: bool = False
    """Whether the platform has answered since the start."""

    give_up_at: Instant = 0.0
    """Time from which peers that have not answered count as unreachable."""


def is_open(gate: ReadinessGate, state: ConfigurationState, now: Instant) -> bool:
    """Return whether a new daemon may serve.

    It needs an active text and an answer from the platform or a peer. Until
    the timeout, every queried peer must have answered or be unreachable.
    """
    if state.fleet is None:
        return False
    if not gate.answered and not gate.platform_answered:
        return False
    missing = gate.asked - gate.answered - gate.unreachable
    return not missing or now >= gate.give_up_at
