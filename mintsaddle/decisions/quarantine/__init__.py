"""Quarantine of features of requests that end engines. Free of I/O."""

from mintsaddle.decisions.quarantine._features import (
    NO_FEATURES,
    Feature,
    RequestFeatures,
    digest_engine,
    extract_features,
)
from mintsaddle.decisions.quarantine._ledger import (
    MAX_REPORTED,
    CrashLedger,
    FeatureReport,
    Judgement,
)
from mintsaddle.decisions.quarantine._records import (
    SURVIVAL_SECONDS,
    Outcome,
    Verdict,
)
from mintsaddle.decisions.quarantine._trials import TrialLeases, rank_arbiters

__all__ = [
    "MAX_REPORTED",
    "NO_FEATURES",
    "SURVIVAL_SECONDS",
    "CrashLedger",
    "Feature",
    "FeatureReport",
    "Judgement",
    "Outcome",
    "RequestFeatures",
    "TrialLeases",
    "Verdict",
    "digest_engine",
    "extract_features",
    "rank_arbiters",
]
