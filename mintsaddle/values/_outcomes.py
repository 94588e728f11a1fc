"""Outcomes reported to callers, and refusals by endpoint daemons."""

import enum
from typing import NamedTuple

from mintsaddle.values._time import Instant


class Outcome(enum.Enum):
    """The outcome stated in an answer; sent as ``Mintsaddle-Outcome``."""

    DONE = "done"
    """The request ran, and this is its complete answer."""

    NOT_RUN = "not-run"
    """The request did not run and never will under this key."""

    ASK_AGAIN = "ask-again"
    """Nothing was decided, and nothing is stated about the execution."""

    IN_DOUBT = "in-doubt"
    """The request may have run."""


class Claim(enum.Enum):
    """What a refusing endpoint daemon knows about the request's execution."""

    NEVER = "never"
    """This copy of the request did not run, and the endpoint won't run it."""

    NONE = "none"
    """Nothing is known; the same key may be tried again."""

    MAYBE = "maybe"
    """The request may have run."""


class Reason(enum.Enum):
    """Why a request was refused; shown in logs, answers and to operators."""

    LEAVING = "leaving"
    MARKED_OUT = "marked-out"
    FULL = "full"
    RATE_LIMITED = "rate-limited"
    ASKED_TO_WAIT = "asked-to-wait"
    TOO_LATE = "too-late"
    ENGINE_DOWN = "engine-down"
    ENGINE_FAILED = "engine-failed"
    NO_ENDPOINT = "no-endpoint"
    GROUP_DOWN = "group-down"
    SILENT = "silent"
    BEHIND = "behind"
    NOT_SERVED = "not-served"
    WRONG_HOME = "wrong-home"
    HOME_UNCONFIRMED = "home-unconfirmed"
    MEMORY_LOST = "memory-lost"
    KEY_TOO_OLD = "key-too-old"
    KEY_IN_FUTURE = "key-in-future"
    TOMBSTONE = "tombstone"
    CALLER_GONE = "caller-gone"
    CUT_OFF = "cut-off"
    UNREACHABLE = "unreachable"
    ISOLATED = "isolated"
    QUARANTINED = "quarantined"
    ON_TRIAL = "on-trial"


class Refusal(NamedTuple):
    """An endpoint daemon's refusal to run a request."""

    claim: Claim
    """What is known about the execution."""

    reason: Reason

    retry_at: Instant
    """When a retry may succeed."""
