"""The body that an engine answers a request with."""

import hashlib

BODY_BYTES = 800


def make_body(engine: str, attempt: str) -> bytes:
    """Return the whole body of an engine's answer, different for each one."""
    digest = hashlib.sha256(f"{engine}/{attempt}".encode()).hexdigest().encode()
    return (digest * (BODY_BYTES // len(digest) + 1))[:BODY_BYTES]
