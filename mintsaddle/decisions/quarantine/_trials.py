"""Limits how many requests with a suspected feature run at once.

One entry, the arbiter of a feature, grants trials to all entries. Shares of
them would be useless: with hundreds of entries, any of them may get the next
request. While entries disagree about who is alive, a feature may have two
arbiters, and twice as many trials run.
"""

from collections.abc import Iterable

from mintsaddle.decisions.quarantine._features import Feature
from mintsaddle.values import Instant, rank_by_score


def rank_arbiters(feature: Feature, entries: Iterable[str]) -> tuple[str, ...]:
    """Return the entries in the order in which they are asked for trials."""
    return rank_by_score(f"trials {feature:x}", entries)


class TrialLeases:
    """The trials that an arbiter has granted."""

    def __init__(self) -> None:
        self._expires_at: dict[Feature, dict[str, Instant]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no trial has been granted and not ended."""
        return not self._expires_at

    def request(
        self,
        feature: Feature,
        holder: str,
        max_trials: int,
        until: Instant,
        now: Instant,
    ) -> bool:
        """Grant or deny a trial.

        Args:
            feature: The suspected feature.
            holder: Names the request; one that asks again keeps its trial.
            max_trials: How many trials may run at once.
            until: When the trial ends if nothing is heard of it.
            now: The present instant.
        """
        self._discard_expired(now)
        trials = self._expires_at.get(feature, {})
        if holder not in trials and len(trials) >= max_trials:
            return False
        self._expires_at[feature] = {**trials, holder: until}
        return True

    def end(self, feature: Feature, holder: str) -> None:
        """End a trial, whatever came of it."""
        trials = self._expires_at.get(feature, {})
        trials.pop(holder, None)
        if not trials:
            self._expires_at.pop(feature, None)

    def _discard_expired(self, now: Instant) -> None:
        for feature, trials in list(self._expires_at.items()):
            kept = {holder: at for holder, at in trials.items() if at > now}
            if kept:
                self._expires_at[feature] = kept
            else:
                del self._expires_at[feature]
