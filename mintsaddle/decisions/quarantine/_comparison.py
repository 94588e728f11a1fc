"""Compares features under which the same engines have ended.

Requests that end engines also hold features of sound ones. Among features with
the same ends, the one with the fewest survivors explains these ends. Features
that can't be told apart yet are only known to end engines together.
"""

from collections.abc import Mapping
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
    feature: Feature
    ended: frozenset[int]
    survivors: int


class Comparison:
    """The features that may explain ends, at one moment."""

    def __init__(self, records: Mapping[Feature, Outcomes]) -> None:
        explanations = (
            _Explanation(
                feature, frozenset(ended_engines(outcomes)), count_survivors(outcomes)
            )
            for feature, outcomes in records.items()
            if is_implicated(outcomes)
        )
        self._explanations = [
            explanation
            for explanation in explanations
            if len(explanation.ended) >= MIN_EXPLAINING_ENDS
        ]
        ended = (explanation.ended for explanation in self._explanations)
        self._explained = frozenset[int]().union(*ended)

    @property
    def explained(self) -> frozenset[int]:
        """Engines whose end some feature explains."""
        return self._explained

    def unexplained(self, feature: Feature, outcomes: Outcomes) -> Outcomes:
        """Return a record without the ends that others explain better."""
        survivors = count_survivors(outcomes)
        explained: set[int] = set()
        for other in self._explanations:
            if other.feature != feature and other.survivors < survivors:
                explained |= other.ended
        return without_engines(outcomes, explained) if explained else outcomes

    def rivals(self, feature: Feature, outcomes: Outcomes) -> set[Feature]:
        """Return the features that explain all ends of a feature as well."""
        ended = ended_engines(outcomes)
        survivors = count_survivors(outcomes)
        return {
            other.feature
            for other in self._explanations
            if other.feature != feature
            and other.survivors == survivors
            and other.ended >= ended
        }
