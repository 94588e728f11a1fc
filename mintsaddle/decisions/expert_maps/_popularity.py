"""Exponentially decayed token counts of each expert."""

from collections.abc import Sequence

from mintsaddle.decisions.expert_maps._maps import Popularity


class PopularityCounts:
    """Exponential moving average of the tokens of each expert, by layer."""

    def __init__(self, layers: int, experts: int, decay: float) -> None:
        """Initialise all counts to zero.

        Args:
            layers: Layers of the model.
            experts: Experts of a layer.
            decay: Weight of the old counts at each update, from 0 to 1.
        """
        self._counts = [[0.0] * experts for _ in range(layers)]
        self._decay = decay

    @property
    def counts(self) -> Popularity:
        """The decayed counts; shape (layers, experts)."""
        return self._counts

    def add(self, tokens: Popularity) -> None:
        """Update the average with the tokens of one interval."""
        self._counts = [
            _blend(counts, new, self._decay)
            for counts, new in zip(self._counts, tokens, strict=True)
        ]


def _blend(old: Sequence[float], new: Sequence[float], decay: float) -> list[float]:
    return [
        decay * old_count + (1.0 - decay) * new_count
        for old_count, new_count in zip(old, new, strict=True)
    ]
