"""Questions to the configuration in force."""

from mintsaddle.decisions.configuration._state import ConfigurationState
from mintsaddle.fleet import Fleet
from mintsaddle.values import Boot, Stamp, rank_by_score

FIRST_PEERS = 4
"""Peers that a new daemon asks before it serves."""


def make_stamp(state: ConfigurationState, vm: str, boot: Boot) -> Stamp:
    """Return the stamp that rides on each message of a daemon."""
    return Stamp(vm, boot, state.text_revision, state.marks_revision)


def must_wait_for_text(state: ConfigurationState, other: Stamp) -> bool:
    """Return whether a message has to wait until its sender was asked.

    A revision that this daemon has already refused is known to be bad for
    every daemon, since the check reads nothing but the text.
    """
    refused = state.refused_text
    known = max(state.text_revision, refused.revision if refused else 0)
    marks_refused = state.refused_marks
    marks = max(state.marks_revision, marks_refused.revision if marks_refused else 0)
    return other.text_revision > known or other.marks_revision > marks


def is_out(state: ConfigurationState, vm: str) -> bool:
    """Return whether the marks take a VM out of service."""
    return state.fleet is not None and state.marks.is_out(state.fleet, vm)


def choose_first_peers(fleet: Fleet, vm: str, data_centre: str) -> tuple[str, ...]:
    """Return the peers that a new daemon asks, its own data centre first.

    One more from elsewhere goes with them: a whole data centre may have come
    back together, with nothing but a stale platform replica to read.
    """
    others = [name for name in rank_by_score(vm, fleet.vm_names()) if name != vm]
    near = [name for name in others if fleet.data_centre_of(name) == data_centre]
    far = [name for name in others if fleet.data_centre_of(name) != data_centre]
    half = FIRST_PEERS // 2
    return (*near[:half], *far[: FIRST_PEERS - min(half, len(near))])
