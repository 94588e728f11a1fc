"""Relay trees that every process derives alike from a ranking."""

from collections.abc import Sequence


def relay_parent(
    ranked: Sequence[str], name: str, *, roots: int, fan_out: int
) -> str | None:
    """Return whom a member of a relay tree hears from.

    A parent always ranks above its children. So members whose rankings differ
    never form a cycle.

    Args:
        ranked: All members, the first ranks highest.
        name: The member that asks.
        roots: Members that hear from no other one.
        fan_out: Children of one member at most.

    Returns:
        The parent's name, or None for a root.
    """
    place = ranked.index(name)
    return None if place < roots else ranked[(place - roots) // fan_out]
