"""Immutable value types that all other packages share."""

from mintsaddle.values._decoding import DECODING_ERRORS
from mintsaddle.values._digits import read_digits
from mintsaddle.values._findings import Finding, Findings, render_findings
from mintsaddle.values._hashing import hash_score, rank_by_score, stable_hash
from mintsaddle.values._json import load_json, read_finite
from mintsaddle.values._keys import (
    BOOT_BITS,
    HOME_BITS,
    KeyOrigin,
    OrderKey,
    home_tag,
    issue_key,
    parse_key,
)
from mintsaddle.values._outcomes import Claim, Outcome, Reason, Refusal
from mintsaddle.values._stamps import Boot, Load, Stamp
from mintsaddle.values._time import MILLISECONDS, Clock, Instant
from mintsaddle.values._trees import relay_parent

__all__ = [
    "BOOT_BITS",
    "DECODING_ERRORS",
    "HOME_BITS",
    "MILLISECONDS",
    "Boot",
    "Claim",
    "Clock",
    "Finding",
    "Findings",
    "Instant",
    "KeyOrigin",
    "Load",
    "OrderKey",
    "Outcome",
    "Reason",
    "Refusal",
    "Stamp",
    "hash_score",
    "home_tag",
    "issue_key",
    "load_json",
    "parse_key",
    "rank_by_score",
    "read_digits",
    "read_finite",
    "relay_parent",
    "render_findings",
    "stable_hash",
]
