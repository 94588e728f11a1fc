"""Relay tree that distributes new configurations to daemons.

In each data centre the VMs are ranked by rendezvous score. The first few read
from the platform; every other VM has a parent of higher rank, as in a heap.
The number of platform calls thus grows only with the number of data centres,
and a daemon serves a bounded number of others. No election is needed: if VMs
disagree on the readers, a few extra reads are the only cost.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from mintsaddle.fleet import Fleet
from mintsaddle.values import rank_by_score, relay_parent

READERS_PER_DATA_CENTRE = 3
"""VMs in each data centre that read directly from the platform."""

FAN_OUT = 6
"""Maximum VMs that one parent serves."""


class SourceKind(enum.Enum):
    """Kind of configuration source."""

    PLATFORM = "platform"
    PEER = "peer"


class Source(NamedTuple):
    """A source of newer configurations."""

    kind: SourceKind
    vm: str = ""
    """Name of the peer; empty for the platform."""


PLATFORM = Source(SourceKind.PLATFORM)
"""The configuration service of the platform."""


def choose_sources(
    fleet: Fleet | None, vm: str, data_centre: str, unreachable: Iterable[str] = ()
) -> tuple[Source, ...]:
    """Return the sources that a daemon queries, in order of preference.

    Args:
        fleet: The active fleet, or None before the first text.
        vm: Name of the querying VM.
        data_centre: Its data centre.
        unreachable: VMs that recently could not be reached.

    Returns:
        For a reader, the platform and one VM of another data centre, which
        may still receive updates if this data centre is cut off from the
        platform. For any other VM its parent, then readers, then the platform.
    """
    if fleet is None:
        return (PLATFORM,)
    excluded = frozenset(unreachable) - {vm}
    names = [name for name in fleet.vm_names() if name not in excluded]
    local = [name for name in names if fleet.data_centre_of(name) == data_centre]
    if vm not in local:
        local.append(vm)
    ranked = rank_by_score(f"relay {data_centre}", local)
    parent = relay_parent(ranked, vm, roots=READERS_PER_DATA_CENTRE, fan_out=FAN_OUT)
    if parent is None:
        remote = [name for name in names if fleet.data_centre_of(name) != data_centre]
        return (PLATFORM, *_first_as_source(rank_by_score(f"relay {vm}", remote)))
    readers = [name for name in ranked[:READERS_PER_DATA_CENTRE] if name != parent]
    peers = [Source(SourceKind.PEER, name) for name in (parent, *readers)]
    return (*peers, PLATFORM)


def _first_as_source(names: tuple[str, ...]) -> tuple[Source, ...]:
    return tuple(Source(SourceKind.PEER, name) for name in names[:1])
