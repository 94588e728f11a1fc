"""Features of a request that may be what ends an engine."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple, NewType

from mintsaddle.values import stable_hash

Feature = NewType("Feature", int)
"""A 64-bit digest of a kind and a value, the same at all entries."""


class RequestFeatures(NamedTuple):
    """The features of one request."""

    shared: tuple[Feature, ...]
    """Those that requests of many callers may have, such as parts of a
    prompt."""

    whole: Feature | None
    """That of the whole request, for one that comes again unchanged; None if
    it isn't known."""

    @property
    def all(self) -> tuple[Feature, ...]:
        """All features."""
        return self.shared if self.whole is None else (*self.shared, self.whole)


NO_FEATURES = RequestFeatures((), None)
"""Stands for the features of a request that isn't known yet."""


def extract_features(
    parts: Iterable[str],
    workspace: str,
    method: str,
    target: str,
    body: Iterable[bytes | bytearray | memoryview],
) -> RequestFeatures:
    """Return the features of a request.

    Services aren't part of them: a route may move to another service whose
    engines run the same software.

    Args:
        parts: Ids of the parts of its prompt that other requests may share.
        workspace: The workspace of its caller.
        method: Its method.
        target: Its path and query.
        body: Its body, in parts.
    """
    shared = tuple(Feature(stable_hash(f"part\x00{part}")) for part in parts)
    content = hashlib.blake2b(digest_size=16)
    for part in body:
        content.update(part)
    names = ("request", workspace, method, target, content.hexdigest())
    whole = stable_hash("\x00".join(names))
    return RequestFeatures(shared, Feature(whole))


def digest_engine(name: str) -> int:
    """Return the digest of the name of an engine's run."""
    return stable_hash(f"engine\x00{name}")
