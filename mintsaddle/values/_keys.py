"""Idempotency keys of orders, supplied by callers or issued by the system.

A supplied key is a UUIDv7 and an issued one a UUIDv8 (RFC 9562). The layout of
an issued key, from the most significant bit, is: 48 bits timestamp in ms,
4 bits version, the upper 12 bits of the home's tag, 2 bits variant, the lower
2 bits of the tag, 30 bits of the home's boot number, and 30 random bits.
"""

import enum
import random
import uuid
from functools import lru_cache
from typing import NamedTuple

from returns.result import Failure, Result, Success

from mintsaddle.values._hashing import stable_hash
from mintsaddle.values._stamps import Boot
from mintsaddle.values._time import MILLISECONDS, Instant

HOME_BITS = 14
"""Bits of a home's tag in an issued key."""

BOOT_BITS = 30
"""Bits of a boot number; every daemon draws its own from this range."""

_RANDOM_BITS = 30
_TIMESTAMP_SHIFT = 80
_VERSION_SHIFT = 76
_VARIANT_SHIFT = 62
_TAG_HIGH_SHIFT = 64
_TAG_LOW_BITS = 2
_TAG_LOW_SHIFT = BOOT_BITS + _RANDOM_BITS
_RFC_VARIANT = 0b10
_SUPPLIED_VERSION = 7
_ISSUED_VERSION = 8


class KeyOrigin(enum.Enum):
    """Who generated a key."""

    SUPPLIED = "brought"
    """The caller generated it, as a UUIDv7."""

    ISSUED = "issued"
    """The system generated it, as a UUIDv8 that names one run of a home."""


class OrderKey(NamedTuple):
    """A parsed idempotency key."""

    text: str
    """The UUID in canonical form."""

    origin: KeyOrigin
    """Who generated it."""

    date: Instant
    """When it was generated, by the clock of the generator."""

    home_tag: int
    """Tag of the home that may run the order; 0 in a supplied key."""

    boot: Boot
    """Boot number of the home's run that may run the order; 0 in a supplied
    key."""


@lru_cache(maxsize=4096)
def home_tag(vm: str) -> int:
    """Return the tag that identifies a home in an issued key.

    The result is cached, since an entry compares each key with the tags of
    the whole fleet.
    """
    return stable_hash(vm) >> (64 - HOME_BITS)


def issue_key(vm: str, boot: Boot, now: Instant, rng: random.Random) -> OrderKey:
    """Return a new key for an order that only this run of the home may run."""
    date = int(now * MILLISECONDS)
    tag = home_tag(vm)
    number = date << _TIMESTAMP_SHIFT
    number |= _ISSUED_VERSION << _VERSION_SHIFT
    number |= (tag >> _TAG_LOW_BITS) << _TAG_HIGH_SHIFT
    number |= _RFC_VARIANT << _VARIANT_SHIFT
    number |= (tag & (1 << _TAG_LOW_BITS) - 1) << _TAG_LOW_SHIFT
    number |= boot << _RANDOM_BITS
    number |= rng.getrandbits(_RANDOM_BITS)
    text = str(uuid.UUID(int=number))
    return OrderKey(text, KeyOrigin.ISSUED, date / MILLISECONDS, tag, boot)


def parse_key(text: str) -> Result[OrderKey, str]:
    """Parse a key, or return what is wrong with the text."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return Failure(f"'{text}' is not a UUID; bring a UUIDv7 or ask for a key")
    date = (parsed.int >> _TIMESTAMP_SHIFT) / MILLISECONDS
    if parsed.version == _SUPPLIED_VERSION:
        return Success(OrderKey(str(parsed), KeyOrigin.SUPPLIED, date, 0, 0))
    if parsed.version == _ISSUED_VERSION:
        return Success(_decode_issued(parsed, date))
    return Failure(f"'{text}' is UUID version {parsed.version}; version 7 is needed")


def _decode_issued(parsed: uuid.UUID, date: Instant) -> OrderKey:
    high = parsed.int >> _TAG_HIGH_SHIFT & (1 << HOME_BITS - _TAG_LOW_BITS) - 1
    low = parsed.int >> _TAG_LOW_SHIFT & (1 << _TAG_LOW_BITS) - 1
    boot = parsed.int >> _RANDOM_BITS & (1 << BOOT_BITS) - 1
    tag = high << _TAG_LOW_BITS | low
    return OrderKey(str(parsed), KeyOrigin.ISSUED, date, tag, boot)
