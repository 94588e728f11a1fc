"""Stable and rendezvous hashes, the same in all processes on all machines."""

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8


def stable_hash(text: str) -> int:
    """Return a 64-bit hash of a text (BLAKE2b)."""
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def hash_score(subject: str, candidate: str) -> int:
    """Return the rendezvous score of a candidate for a subject."""
    return stable_hash(f"{subject}\x00{candidate}")


def rank_by_score(subject: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Return the candidates in descending order of rendezvous score.

    If a candidate is removed, only the subjects that were assigned to it move
    (rendezvous hashing, Thaler and Ravishankar).
    """
    scored = ((hash_score(subject, name), name) for name in candidates)
    return tuple(name for _, name in sorted(scored, reverse=True))
