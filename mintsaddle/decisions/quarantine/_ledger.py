"""One entry's records of features, merged with those of its peers.

Load pattern: thousands of requests a second share callers, first parts and
sessions. A few of them, no two alike and at any of several hundred entries,
have a feature that ends each engine that begins to write, and with it a whole
rank group for seconds. Each end is seen by the few entries with requests on
that engine; none of them sees enough to tell that feature from the others
there. Engines also end for reasons of their own, many at the same moment.

The ledger remembers survivors for the features that were last in use, so that
one which most requests share is never suspected for an end that it was there
for. Ends are passed on to the peers, and their survivors come back.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Final, NamedTuple

from mintsaddle.decisions.quarantine._comparison import Comparison
from mintsaddle.decisions.quarantine._features import Feature, RequestFeatures
from mintsaddle.decisions.quarantine._records import (
    EVIDENCE_SECONDS,
    Outcome,
    Outcomes,
    Verdict,
    count_recent,
    drop_expired,
    ended_engines,
    judge_outcomes,
    merge_outcomes,
    needed_ends,
    quarantined_until,
)
from mintsaddle.values import Instant

MAX_SURVIVED: Final = 1_024
"""Features without an end whose survivors are kept, those last in use."""

MAX_IMPLICATED: Final = 256
"""Features with an end that are kept."""

MAX_ENDED_ENGINES: Final = 1_024
"""Engines whose ends are kept; more than a large site has."""

MAX_REPORTED: Final = 8
"""Features in one gossip message. Each is several hundred bytes, and few are
there at the same time."""

SURVIVAL_REFRESH_SECONDS: Final = 10.0
"""Seconds for which a survivor isn't recorded again."""


class Judgement(NamedTuple):
    """How a request is to be treated."""

    verdict: Verdict
    suspects: tuple[Feature, ...] = ()
    """Features that the request may be sent with only as a trial."""

    quarantined_until: Instant | None = None
    """Until when it is refused; None if it isn't quarantined."""


class FeatureReport(NamedTuple):
    """The record of a feature, as entries pass it on."""

    feature: Feature
    outcomes: Outcomes


_CLEAR = Judgement(Verdict.CLEAR)


class CrashLedger:
    """Records of features, and the verdicts that follow from them."""

    def __init__(self) -> None:
        self._implicated: dict[Feature, Outcomes] = {}
        self._survived: OrderedDict[Feature, Outcomes] = OrderedDict()
        self._ended_at: dict[int, Instant] = {}
        self._comparison = Comparison()

    @property
    def is_empty(self) -> bool:
        """Whether no engine has ended under any feature."""
        return not self._implicated

    @property
    def size(self) -> int:
        """Number of features that are kept."""
        return len(self._implicated) + len(self._survived)

    def verdict(self, feature: Feature, now: Instant) -> Verdict:
        """Return the verdict on a feature by itself."""
        outcomes = self._implicated.get(feature)
        if outcomes is None:
            return Verdict.CLEAR
        unexplained = self._comparison.unexplained(feature, outcomes)
        return judge_outcomes(unexplained, self._other_ends(outcomes), now)

    def judge(self, features: RequestFeatures, now: Instant) -> Judgement:
        """Return how a request with some features is to be treated."""
        if not self._implicated:
            return _CLEAR
        suspects = []
        ends_at: list[Instant] = []
        for feature in features.all:
            verdict = self.verdict(feature, now)
            if verdict is Verdict.QUARANTINED:
                rivals = self._comparison.rivals(feature, self._implicated[feature])
                if rivals.issubset(features.all):
                    ends_at.append(quarantined_until(self._implicated[feature]))
                    continue
            if verdict is not Verdict.CLEAR:
                suspects.append(feature)
        if ends_at:
            return Judgement(Verdict.QUARANTINED, quarantined_until=max(ends_at))
        if suspects:
            return Judgement(Verdict.SUSPECT, tuple(sorted(suspects)))
        return _CLEAR

    def outcomes(self, feature: Feature) -> Outcomes:
        """Return the record of a feature; an empty one if it has none."""
        return self._implicated.get(feature) or self._survived.get(feature) or {}

    def max_trials(self, feature: Feature, now: Instant) -> int:
        """Return how many requests with a suspected feature may run at once.

        They are as many as ends are missing for a verdict: fewer would only
        make it come later.
        """
        outcomes = self._implicated.get(feature, {})
        needed = needed_ends(count_recent(self._other_ends(outcomes), now))
        return max(1, needed - len(ended_engines(outcomes)))

    def record_survived(
        self, features: RequestFeatures, engine: int, now: Instant
    ) -> list[Feature]:
        """Record that an engine has continued after it began a request.

        Args:
            features: The features of the request.
            engine: Digest of the engine's run.
            now: The present instant.

        Returns:
            The features whose verdict has changed.
        """
        changed = []
        for feature in features.all:
            if feature in self._implicated:
                changed += self._add(feature, engine, Outcome(False, now), now)
        for feature in features.shared:
            if feature not in self._implicated:
                self._remember_survivor(feature, engine, now)
        return changed

    def record_ended(
        self, features: RequestFeatures, engine: int, now: Instant
    ) -> list[Feature]:
        """Record that an engine has ended at the beginning of a request.

        Args:
            features: The features of the request.
            engine: Digest of the engine's run.
            now: The present instant.

        Returns:
            The features that are suspected or quarantined now.
        """
        self._record_engine(engine, now)
        for feature in features.all:
            self._add(feature, engine, Outcome(True, now), now)
        self._discard_excess(now)
        return [
            feature
            for feature in features.all
            if self.verdict(feature, now) is not Verdict.CLEAR
        ]

    def merge(self, reports: Iterable[FeatureReport], now: Instant) -> list[Feature]:
        """Merge the records that a peer reports.

        Returns:
            The features whose verdict has changed.
        """
        changed = []
        for feature, outcomes in reports:
            current = drop_expired(outcomes, now)
            ended = ended_engines(current)
            if not ended and feature not in self._implicated:
                continue
            for engine in ended:
                self._record_engine(engine, current[engine].at)
            changed += self._update(feature, partial(merge_outcomes, news=current), now)
        self._discard_excess(now)
        return changed

    def report(self, now: Instant) -> list[FeatureReport]:
        """Return the records for a gossip message, the gravest first."""
        graded = [
            (self.verdict(feature, now), len(ended_engines(outcomes)), feature)
            for feature, outcomes in self._implicated.items()
        ]
        grave = sorted(item for item in graded if item[0] is not Verdict.CLEAR)
        return self.report_on([item[2] for item in grave[-MAX_REPORTED:][::-1]])

    def report_on(self, features: Iterable[Feature]) -> list[FeatureReport]:
        """Return the records of some features, as far as they are known."""
        reports = (FeatureReport(one, self.outcomes(one)) for one in features)
        return [report for report in reports if report.outcomes]

    def count(self, now: Instant) -> dict[Verdict, int]:
        """Return the number of features with each verdict but CLEAR."""
        verdicts = [self.verdict(feature, now) for feature in self._implicated]
        return {
            verdict: verdicts.count(verdict)
            for verdict in (Verdict.SUSPECT, Verdict.QUARANTINED)
        }

    def discard_expired(self, now: Instant) -> None:
        """Discard outcomes that don't count any more."""
        for feature, outcomes in list(self._implicated.items()):
            kept = drop_expired(outcomes, now)
            if kept == outcomes:
                continue
            if ended_engines(kept):
                self._implicated[feature] = kept
                self._comparison.update(feature, kept)
            else:
                self._discard(feature)
        self._ended_at = {
            engine: at
            for engine, at in self._ended_at.items()
            if now - at < EVIDENCE_SECONDS
        }

    def _add(
        self, feature: Feature, engine: int, outcome: Outcome, now: Instant
    ) -> list[Feature]:
        change = partial(merge_outcomes, news={engine: outcome})
        return self._update(feature, change, now)

    def _update(
        self,
        feature: Feature,
        change: Callable[[Outcomes], Outcomes],
        now: Instant,
    ) -> list[Feature]:
        """Change a record; return the feature if its verdict has changed."""
        known = self._implicated.get(feature)
        changed = change(self._survived.pop(feature, {}) if known is None else known)
        if changed == known:
            return []
        before = self.verdict(feature, now)
        self._implicated[feature] = changed
        self._comparison.update(feature, changed)
        return [feature] if self.verdict(feature, now) is not before else []

    def _remember_survivor(self, feature: Feature, engine: int, now: Instant) -> None:
        known = self._survived.get(feature, {})
        last = known.get(engine)
        if last is None or now - last.at > SURVIVAL_REFRESH_SECONDS:
            outcome = Outcome(False, now)
            self._survived[feature] = merge_outcomes(known, {engine: outcome})
        self._survived.move_to_end(feature)
        if len(self._survived) > MAX_SURVIVED:
            self._survived.popitem(last=False)

    def _record_engine(self, engine: int, at: Instant) -> None:
        self._ended_at.setdefault(engine, at)
        if len(self._ended_at) > MAX_ENDED_ENGINES:
            oldest = min(self._ended_at, key=self._ended_at.__getitem__)
            del self._ended_at[oldest]

    def _other_ends(self, outcomes: Outcomes) -> Iterator[Instant]:
        """Return when engines have ended that no feature explains so far."""
        explained = ended_engines(outcomes) | self._comparison.explained
        return (at for engine, at in self._ended_at.items() if engine not in explained)

    def _discard_excess(self, now: Instant) -> None:
        """Discard the features that matter least if there are too many."""
        excess = len(self._implicated) - MAX_IMPLICATED
        if excess <= 0:
            return

        def importance(feature: Feature) -> tuple[Verdict, int, Instant]:
            outcomes = self._implicated[feature]
            newest = max(outcome.at for outcome in outcomes.values())
            return self.verdict(feature, now), len(ended_engines(outcomes)), newest

        for feature in sorted(self._implicated, key=importance)[:excess]:
            self._discard(feature)

    def _discard(self, feature: Feature) -> None:
        del self._implicated[feature]
        self._comparison.update(feature, {})
