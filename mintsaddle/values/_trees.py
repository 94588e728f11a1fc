"""Relay trees, which all processes derive from the same ranking."""

from collections.abc import Sequence


def relay_parent(
    ranked: Sequence[str], name: str, *, roots: int, fan_out: int
) -> str | None:
    """Return the parent of a member in a relay tree.

    A parent always ranks above its children, so that no cycle forms even if
    members rank each other differently.

    Args:
        ranked: All members, the highest-ranking first.
        name: The member whose parent is returned.
        roots: Number of members without a parent.
        fan_out: Maximum number of children per member.

    Returns:
        The parent's name, or None for a root.
    """
    rank = ranked.index(name)
    return None if rank < roots else ranked[(rank - roots) // fan_out]
