"""What a caller is told of a request, and why a daemon refuses one."""

import enum
from typing import NamedTuple

from mintsaddle.values._time import Instant


class Outcome(enum.Enum):
    """The claim that an answer makes; sent as ``Mintsaddle-Outcome``."""

    DONE = "done"
    """The whole answer."""

    NOT_RUN = "not-run"
    """It did not run and never will under this key."""

    ASK_AGAIN = "ask-again"
    """No claim: nothing was decided."""

    IN_DOUBT = "in-doubt"
    """It may have run."""


class Claim(enum.Enum):
    """What a refusing endpoint daemon knows of the request's execution."""

    NEVER = "never"
    """This copy did not run, and the endpoint will not run it later."""

    NONE = "none"
    """Nothing is claimed; the same key may be tried again."""

    MAYBE = "maybe"
    """The request may have run."""


class Reason(enum.Enum):
    """Why a request was refused, for logs, answers and operators."""

    LEAVING = "leaving"
    MARKED_OUT = "marked-out"
    FULL = "full"
    RATE_LIMITED = "rate-limited"
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


class Refusal(NamedTuple):
    """An endpoint daemon's word that it does not run a request."""

    claim: Claim
    """What is known of the execution."""

    reason: Reason
    """Why."""

    retry_at: Instant
    """When coming back is worth while."""
