"""Compares features under which the same engines have ended.

Requests that end engines also hold features of sound ones. Among features with
the same ends, the one with the fewest survivors explains these ends. Features
that can't be distinguished yet are only known to end engines together.
"""

from typing import Final, NamedTuple

from mintsaddle.decisions.quarantine._features import Feature
from mintsaddle.decisions.quarantine._records import (
    Outcomes,
    count_survivors,
    ended_engines,
    is_implicated,
    without_engines,
)

MIN_EXPLAINING_ENDS: Final = 2
"""Ends from which a feature explains those of others. Each engine ends under
the features of all requests that have just begun there, most of them once."""


class _Explanation(NamedTuple):
    ended: frozenset[int]
    survivors: int


class Comparison:
    """The features that may explain ends, kept up to date with their records.

    Most records have one end and are skipped, so each change is cheap.
    """

    def __init__(self) -> None:
        self._explanations: dict[Feature, _Explanation] = {}
        self._explained: frozenset[int] = frozenset()

    @property
    def explained(self) -> frozenset[int]:
        """Engines whose end some feature explains."""
        return self._explained

    def update(self, feature: Feature, outcomes: Outcomes) -> None:
        """Take over a feature's record; an empty one if it was discarded."""
        ended = frozenset(ended_engines(outcomes))
        if len(ended) >= MIN_EXPLAINING_ENDS and is_implicated(outcomes):
            explanation = _Explanation(ended, count_survivors(outcomes))
            self._explanations[feature] = explanation
        elif self._explanations.pop(feature, None) is None:
            return
        sets = (explanation.ended for explanation in self._explanations.values())
        self._explained = frozenset[int]().union(*sets)

    def unexplained(self, feature: Feature, outcomes: Outcomes) -> Outcomes:
        """Return a record without the ends that others explain better."""
        survivors = count_survivors(outcomes)
        explained: set[int] = set()
        for other, explanation in self._explanations.items():
            if other != feature and explanation.survivors < survivors:
                explained |= explanation.ended
        return without_engines(outcomes, explained) if explained else outcomes

    def rivals(self, feature: Feature, outcomes: Outcomes) -> set[Feature]:
        """Return the features that explain all ends of a feature as well."""
        ended = ended_engines(outcomes)
        survivors = count_survivors(outcomes)
        return {
            other
            for other, explanation in self._explanations.items()
            if other != feature
            and explanation.survivors == survivors
            and explanation.ended >= ended
        }
