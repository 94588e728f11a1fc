"""Rank groups formed by the announced endpoints."""

from typing import NamedTuple

from mintsaddle.decisions.direct import Directory, ExpertLayout, Incarnation


class RankGroup(NamedTuple):
    """A rank group whose ranks are all announced."""

    name: str
    service: str
    ranks: tuple[Incarnation, ...]
    layout: ExpertLayout
    serving: tuple[int, ...]
    """Ranks that get work, which excludes those in evacuated data centres."""


def find_rank_groups(directory: Directory) -> list[RankGroup]:
    """Return the groups with all ranks announced and at least one serving."""
    if directory.table is None:
        return []
    ranks_by_group: dict[str, dict[int, Incarnation]] = {}
    for endpoint in directory.endpoints.values():
        if endpoint.assignment is not None:
            ranks_by_group.setdefault(endpoint.assignment.group, {})[
                endpoint.assignment.rank
            ] = endpoint
    groups = []
    for name, ranks in ranks_by_group.items():
        service = directory.table.services.get(next(iter(ranks.values())).service)
        layout = service.experts if service else None
        assignments = [
            endpoint.assignment
            for endpoint in ranks.values()
            if endpoint.assignment is not None
        ]
        size = assignments[0].size
        is_whole = len(ranks) == size and sorted(ranks) == list(range(size))
        if layout is not None and is_whole:
            ordered = tuple(ranks[rank] for rank in sorted(ranks))
            serving = tuple(
                rank
                for rank, endpoint in enumerate(ordered)
                if endpoint.data_centre not in directory.evacuated
            )
            if serving:
                service_name = ordered[0].service
                groups.append(RankGroup(name, service_name, ordered, layout, serving))
    return groups
