"""Records of features that end engines, shared by the entry's threads."""

import itertools
import logging
import random
import threading
from collections.abc import Callable, Iterable

from mintsaddle.decisions.quarantine import (
    CrashLedger,
    Feature,
    FeatureReport,
    Judgement,
    RequestFeatures,
    Verdict,
    digest_engine,
)
from mintsaddle.direct._metrics import Metrics
from mintsaddle.observe import fields, make_logger
from mintsaddle.values import Clock, Instant

_log = make_logger("quarantine")


class FeatureQuarantine:
    """The ledger, guarded by the entry's lock, and trials of features."""

    def __init__(
        self,
        vm: str,
        lock: threading.RLock,
        now: Clock,
        metrics: Metrics,
        notify_waiting: Callable[[], None],
    ) -> None:
        """Start without any record.

        Args:
            vm: Name of this entry's VM.
            lock: The lock that guards the entry's shared state.
            now: The clock.
            metrics: Counters of this entry.
            notify_waiting: Wakes calls that wait, under the lock.
        """
        self._lock = lock
        self._now = now
        self._metrics = metrics
        self._notify_waiting = notify_waiting
        self._ledger = CrashLedger()
        self._run = f"{vm}/{random.getrandbits(32):08x}"
        self._holders = itertools.count(1)
        self._request_trial: Callable[[Feature, str, Instant], bool] = (
            lambda feature, holder, until: True
        )
        self._end_trial: Callable[[Feature, str], None] = lambda feature, holder: None
        self._publish: Callable[[list[Feature]], None] = lambda features: None

    @property
    def is_empty(self) -> bool:
        """Whether no engine has ended under any feature."""
        return self._ledger.is_empty

    def set_callbacks(
        self,
        request_trial: Callable[[Feature, str, Instant], bool],
        end_trial: Callable[[Feature, str], None],
        publish: Callable[[list[Feature]], None],
    ) -> None:
        """Set the functions that reach other entries.

        Args:
            request_trial: Returns whether a request may be sent with a
                suspected feature; blocks.
            end_trial: Ends a trial.
            publish: Sends the records of features to other entries.
        """
        self._request_trial = request_trial
        self._end_trial = end_trial
        self._publish = publish

    def judge(self, features: RequestFeatures) -> Judgement:
        """Return how a request is to be treated."""
        with self._lock:
            return self._ledger.judge(features, self._now())

    def is_quarantined(self, features: RequestFeatures) -> bool:
        """Return whether a request is to be refused."""
        if self.is_empty:
            return False
        return self.judge(features).verdict is Verdict.QUARANTINED

    def next_holder(self) -> str:
        """Return a name for a request, unique among those of all entries.

        Callers choose request ids, which may repeat.
        """
        return f"{self._run}/{next(self._holders)}"

    def max_trials(self, feature: Feature) -> int:
        """Return how many requests with a suspect may run at once."""
        with self._lock:
            return self._ledger.max_trials(feature, self._now())

    def request_trial(self, feature: Feature, holder: str, until: Instant) -> bool:
        """Ask for a trial; the lock must not be held.

        Args:
            feature: The suspected feature.
            holder: Names the request among those of all entries.
            until: When the trial ends if no end of it is reported.
        """
        return self._request_trial(feature, holder, until)

    def end_trial(self, feature: Feature, holder: str) -> None:
        """End a trial, whatever came of it."""
        self._end_trial(feature, holder)

    def record_survived(self, features: RequestFeatures, endpoint: str) -> None:
        """Record that an endpoint has continued after it began a request."""
        engine = digest_engine(endpoint)
        with self._lock:
            changed = self._ledger.record_survived(features, engine, self._now())
            self._record_changes(changed)
        if changed:
            self._publish(changed)

    def record_ended(self, features: RequestFeatures, endpoint: str) -> None:
        """Record that an endpoint has ended at the beginning of a request."""
        engine = digest_engine(endpoint)
        with self._lock:
            implicated = self._ledger.record_ended(features, engine, self._now())
            self._record_changes(implicated)
        if not implicated:
            self._metrics.count("engine_ended_unexplained")
        else:
            self._metrics.count("engine_ended_under_suspects")
            self._publish(implicated)

    def merge(self, reports: Iterable[FeatureReport]) -> bool:
        """Merge a peer's records; return whether a verdict has changed."""
        with self._lock:
            changed = self._ledger.merge(reports, self._now())
            self._record_changes(changed)
        return bool(changed)

    def report(self) -> list[FeatureReport]:
        """Return the records for a gossip message."""
        if self.is_empty:
            return []
        with self._lock:
            return self._ledger.report(self._now())

    def report_on(self, features: Iterable[Feature]) -> list[FeatureReport]:
        """Return the records of some features, as far as they are known."""
        with self._lock:
            return self._ledger.report_on(features)

    def discard_expired(self) -> None:
        """Discard what doesn't count any more."""
        if not self.is_empty:
            with self._lock:
                self._ledger.discard_expired(self._now())

    def render(self) -> list[str]:
        """Return the lines of the metrics page."""
        with self._lock:
            counts = self._ledger.count(self._now())
        return [
            f'mintsaddle_features{{verdict="{verdict.name.lower()}"}} {count}'
            for verdict, count in counts.items()
        ]

    def _record_changes(self, changed: Iterable[Feature]) -> None:
        """Log and count verdicts that may have changed; requires the lock."""
        now = self._now()
        for feature in changed:
            verdict = self._ledger.verdict(feature, now)
            outcomes = self._ledger.outcomes(feature)
            ends = sum(outcome.has_ended for outcome in outcomes.values())
            name = verdict.name.lower()
            self._metrics.count(f"feature_{name}")
            _log.log(
                logging.WARNING if verdict is Verdict.QUARANTINED else logging.INFO,
                "Feature judged %s.",
                fields(
                    feature=f"{feature:016x}",
                    verdict=name,
                    ended=ends,
                    survived=len(outcomes) - ends,
                ),
            )
        if changed:
            self._notify_waiting()
