"""From whom a daemon hears of a new configuration.

In each data centre the VMs are ranked by rendezvous score. The first few read
the platform; each other one has a parent above it, as in a heap. So platform
calls grow with data centres and a daemon serves a bounded number of others,
with no election: two readers too many only cost reads.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from mintsaddle.fleet import Fleet
from mintsaddle.values import rank_by_score, relay_parent

READERS = 3
"""VMs of a data centre that read the platform themselves."""

FAN_OUT = 6
"""VMs that hear from one parent."""


class SourceKind(enum.Enum):
    """Where to ask next."""

    PLATFORM = "platform"
    PEER = "peer"


class Source(NamedTuple):
    """One place to ask for a newer configuration."""

    kind: SourceKind
    vm: str = ""
    """Name of the peer; empty for the platform."""


PLATFORM = Source(SourceKind.PLATFORM)
"""The platform's own service."""


def choose_sources(
    fleet: Fleet | None, vm: str, data_centre: str, absent: Iterable[str] = ()
) -> tuple[Source, ...]:
    """Return where a daemon asks, best first.

    Args:
        fleet: The text in force, or None before the first.
        vm: The asking VM.
        data_centre: Its data centre.
        absent: VMs that were found to be unreachable a moment ago.

    Returns:
        For a reader the platform and one reader of another data centre, which
        still hears when this data centre is cut off from the platform. For
        any other VM its parent, then readers, then the platform.
    """
    if fleet is None:
        return (PLATFORM,)
    away = frozenset(absent) - {vm}
    names = [name for name in fleet.vm_names() if name not in away]
    near = [name for name in names if fleet.data_centre_of(name) == data_centre]
    if vm not in near:
        near.append(vm)
    ranked = rank_by_score(f"relay {data_centre}", near)
    parent = relay_parent(ranked, vm, roots=READERS, fan_out=FAN_OUT)
    if parent is None:
        far = [name for name in names if fleet.data_centre_of(name) != data_centre]
        return (PLATFORM, *_first_peer(rank_by_score(f"relay {vm}", far)))
    readers = [name for name in ranked[:READERS] if name != parent]
    peers = [Source(SourceKind.PEER, name) for name in (parent, *readers)]
    return (*peers, PLATFORM)


def _first_peer(names: tuple[str, ...]) -> tuple[Source, ...]:
    return tuple(Source(SourceKind.PEER, name) for name in names[:1])
