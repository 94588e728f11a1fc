"""Decayed counts of how often each expert is asked for."""

from collections.abc import Sequence

from mintsaddle.decisions.expert_maps._maps import Popularity


class PopularityCounts:
    """Tokens of each expert by layer, older ones counting less."""

    def __init__(self, layers: int, experts: int, keep: float) -> None:
        """Start with nothing counted.

        Args:
            layers: Layers of the model.
            experts: Experts of a layer.
            keep: Share of the old counts that stays at each new counting.
        """
        self._counts = [[0.0] * experts for _ in range(layers)]
        self._keep = keep

    @property
    def counts(self) -> Popularity:
        """The decayed counts; shape (layers, experts)."""
        return self._counts

    def add(self, tokens: Popularity) -> None:
        """Count the tokens of one more interval."""
        self._counts = [
            _blend(counts, new, self._keep)
            for counts, new in zip(self._counts, tokens, strict=True)
        ]


def _blend(old: Sequence[float], new: Sequence[float], keep: float) -> list[float]:
    return [
        keep * before + (1.0 - keep) * now for before, now in zip(old, new, strict=True)
    ]
