"""Idempotency keys of orders: brought by callers, or issued by the system.

A brought key is a UUIDv7 and an issued one a UUIDv8 (RFC 9562). An issued key
holds, from the highest bit: 48 bits date in ms, 4 bits version, 12 bits of
the home's tag, 2 bits variant, 2 bits more of the tag, 30 bits of the home's
boot and 30 random bits.
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
"""Bits of a boot number; every daemon draws its boot from this range."""

_RANDOM_BITS = 30
_DATE_SHIFT = 80
_VERSION_SHIFT = 76
_VARIANT_SHIFT = 62
_TAG_HIGH_SHIFT = 64
_TAG_LOW_BITS = 2
_TAG_LOW_SHIFT = BOOT_BITS + _RANDOM_BITS
_RFC_VARIANT = 0b10
_BROUGHT_VERSION = 7
_ISSUED_VERSION = 8


class KeyOrigin(enum.Enum):
    """Who drew a key."""

    BROUGHT = "brought"
    """The caller; a UUIDv7."""

    ISSUED = "issued"
    """The system; a UUIDv8 that names one run of one home."""


class OrderKey(NamedTuple):
    """A parsed idempotency key."""

    text: str
    """Canonical text of the UUID."""

    origin: KeyOrigin
    """Who drew it."""

    date: Instant
    """When it was drawn, on the drawer's clock."""

    home_tag: int
    """Tag of the home that may run it; 0 in a brought key."""

    boot: Boot
    """The home's run that may run it; 0 in a brought key."""


@lru_cache(maxsize=4096)
def home_tag(vm: str) -> int:
    """Return the tag by which an issued key names its home.

    Cached: an entry compares a key with the tags of the whole fleet.
    """
    return stable_hash(vm) >> (64 - HOME_BITS)


def issue_key(vm: str, boot: Boot, now: Instant, rng: random.Random) -> OrderKey:
    """Return a fresh key that only this run of this home may execute."""
    date = int(now * MILLISECONDS)
    tag = home_tag(vm)
    number = date << _DATE_SHIFT
    number |= _ISSUED_VERSION << _VERSION_SHIFT
    number |= (tag >> _TAG_LOW_BITS) << _TAG_HIGH_SHIFT
    number |= _RFC_VARIANT << _VARIANT_SHIFT
    number |= (tag & (1 << _TAG_LOW_BITS) - 1) << _TAG_LOW_SHIFT
    number |= boot << _RANDOM_BITS
    number |= rng.getrandbits(_RANDOM_BITS)
    text = str(uuid.UUID(int=number))
    return OrderKey(text, KeyOrigin.ISSUED, date / MILLISECONDS, tag, boot)


def parse_key(text: str) -> Result[OrderKey, str]:
    """Return the key that a text holds, or what is wrong with it."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return Failure(f"'{text}' is not a UUID; bring a UUIDv7 or ask for a key")
    date = (parsed.int >> _DATE_SHIFT) / MILLISECONDS
    if parsed.version == _BROUGHT_VERSION:
        return Success(OrderKey(str(parsed), KeyOrigin.BROUGHT, date, 0, 0))
    if parsed.version == _ISSUED_VERSION:
        return Success(_read_issued(parsed, date))
    return Failure(f"'{text}' is UUID version {parsed.version}; version 7 is needed")


def _read_issued(parsed: uuid.UUID, date: Instant) -> OrderKey:
    high = parsed.int >> _TAG_HIGH_SHIFT & (1 << HOME_BITS - _TAG_LOW_BITS) - 1
    low = parsed.int >> _TAG_LOW_SHIFT & (1 << _TAG_LOW_BITS) - 1
    boot = parsed.int >> _RANDOM_BITS & (1 << BOOT_BITS) - 1
    tag = high << _TAG_LOW_BITS | low
    return OrderKey(str(parsed), KeyOrigin.ISSUED, date, tag, boot)
