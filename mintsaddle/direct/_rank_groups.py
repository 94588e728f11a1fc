"""Rank groups formed by the announced endpoints."""

from typing import NamedTuple

from mintsaddle.decisions.direct import Directory, ExpertLayout, Incarnation


class RankGroup(NamedTuple):
    """A rank group whose ranks are all announced."""

    name: str
    service: str
    ranks: tuple[Incarnation, ...]
    model: ExpertLayout
    serving: tuple[int, ...]
    """Ranks that get work, which excludes those in evacuated data centres."""


def find_rank_groups(directory: Directory) -> list[RankGroup]:
    """Return the groups with all ranks announced and at least one serving."""
    if directory.table is None:
        return []
    found: dict[str, dict[int, Incarnation]] = {}
    for one in directory.endpoints.values():
        if one.place is not None:
            found.setdefault(one.place.group, {})[one.place.rank] = one
    groups = []
    for name, ranks in found.items():
        service = directory.table.services.get(next(iter(ranks.values())).service)
        model = service.experts if service else None
        places = [one.place for one in ranks.values() if one.place is not None]
        is_whole = sorted(ranks) == list(range(places[0].size))
        if model is not None and is_whole:
            ordered = tuple(ranks[rank] for rank in sorted(ranks))
            serving = tuple(
                rank
                for rank, one in enumerate(ordered)
                if one.data_centre not in directory.evacuated
            )
            if serving:
                service_name = ordered[0].service
                groups.append(RankGroup(name, service_name, ordered, model, serving))
    return groups
