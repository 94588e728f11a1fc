"""Names of HTTP headers that requests and responses share."""

from typing import Final

REQUEST_ID: Final = "X-Mintsaddle-Attempt-Id"
RETRY_AFTER: Final = "Retry-After"

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
