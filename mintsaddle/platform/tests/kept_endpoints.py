"""Answers of the endpoints behind callers that keep their connections."""

import random
import time

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Endpoint

LARGE_BYTES = 1_000_000


def make_responder(seed: int, name: str) -> standins.Responder:
    """Return a responder whose answers end with the id of their request."""
    rng = random.Random(f"{seed} {name}")

    def respond(endpoint: Endpoint, handler: standins._Handler) -> None:
        attempt = handler.headers["X-Mintsaddle-Attempt-Id"].encode()
        time.sleep(rng.choice((0.0, 0.0, 0.01, 0.1, 0.6)))
        standins.begin_head(endpoint, handler)
        if "letter" in handler.path:
            handler.send_header("Content-Type", "text/event-stream")
            handler.send_header("Transfer-Encoding", "chunked")
            handler.end_headers()
            for number in range(1, 6):
                time.sleep(rng.choice((0.0, 0.02, 0.1)))
                event = b"id: %d\ndata: piece\n\n" % number
                standins._send_chunk(handler, event)
            standins._send_chunk(handler, b"id: 6\ndata: " + attempt + b"\n\n")
            handler.wfile.write(b"0\r\n\r\n")
            return
        size = LARGE_BYTES if "slow-read" in handler.path else 200
        handler.send_header("Content-Length", str(size + len(attempt)))
        handler.end_headers()
        handler.wfile.write(b"x" * size + attempt)

    return respond
