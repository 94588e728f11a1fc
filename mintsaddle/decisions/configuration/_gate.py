"""The gate that a new daemon passes before it serves."""

from typing import NamedTuple

from mintsaddle.decisions.configuration._state import ConfigurationState
from mintsaddle.values import Instant


class StartGate(NamedTuple):
    """What a new daemon has asked and heard.

    Guards against a stale platform replica that brings an old text back: a
    daemon that served on it alone would take work that the newer text gives
    to others. Peers hold the newer text, so they are heard first.
    """

    asked: frozenset[str]
    """Peers that were asked for their configuration."""

    heard: frozenset[str] = frozenset()
    """Peers that have answered."""

    silent: frozenset[str] = frozenset()
    """Peers that were found to be unreachable."""

    platform_heard: bool = False
    """Whether the platform has answered since the start."""

    give_up_at: Instant = 0.0
    """When peers that have said nothing count as silent."""


def is_open(gate: StartGate, state: ConfigurationState, now: Instant) -> bool:
    """Return whether a new daemon may serve.

    With neither the platform nor a peer it doesn't; with one of them it does.
    """
    if state.fleet is None:
        return False
    if not gate.heard and not gate.platform_heard:
        return False
    missing = gate.asked - gate.heard - gate.silent
    return not missing or now >= gate.give_up_at
