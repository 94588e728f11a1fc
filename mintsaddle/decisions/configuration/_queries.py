"""Queries on the active configuration."""

from mintsaddle.decisions.configuration._state import ConfigurationState
from mintsaddle.fleet import Fleet
from mintsaddle.values import Boot, Stamp, rank_by_score

STARTUP_PEERS = 4
"""Peers that a new daemon queries before it serves."""


def make_stamp(state: ConfigurationState, vm: str, boot: Boot) -> Stamp:
    """Return the stamp included in each message of a daemon."""
    return Stamp(vm, boot, state.text_revision, state.marks_revision)


def must_wait_for_text(state: ConfigurationState, other: Stamp) -> bool:
    """Return whether a message must wait for its sender's configuration.

    A revision that this daemon has refused is not fetched again: the check
    depends only on the text, so every daemon refuses it.
    """
    refused = state.refused_text
    known = max(state.text_revision, refused.revision if refused else 0)
    marks_refused = state.refused_marks
    marks = max(state.marks_revision, marks_refused.revision if marks_refused else 0)
    return other.text_revision > known or other.marks_revision > marks


def is_out(state: ConfigurationState, vm: str) -> bool:
    """Return whether a VM is marked out of service."""
    return state.fleet is not None and state.marks.is_out(state.fleet, vm)


def choose_startup_peers(fleet: Fleet, vm: str, data_centre: str) -> tuple[str, ...]:
    """Return the peers that a new daemon queries, local data centre first.

    Peers of other data centres are included, since all VMs of a data centre
    may restart together with only a stale platform replica to read.
    """
    others = [name for name in rank_by_score(vm, fleet.vm_names()) if name != vm]
    local = [name for name in others if fleet.data_centre_of(name) == data_centre]
    remote = [name for name in others if fleet.data_centre_of(name) != data_centre]
    half = STARTUP_PEERS // 2
    return (*local[:half], *remote[: STARTUP_PEERS - min(half, len(local))])
