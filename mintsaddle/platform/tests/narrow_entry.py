"""Runs an entry whose host holds few unsent bytes of each connection.

A link with a small window takes an answer as slowly as its caller does;
loopback takes megabytes of it at once.
"""

import socket

from mintsaddle.direct import run_settings_file
from mintsaddle.platform import settings_path

SEND_BUFFER_BYTES = 32_768

_listen = socket.socket.listen


def _listen_narrowly(listener: socket.socket, backlog: int) -> None:
    # Accepted connections inherit the size.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    _listen(listener, backlog)


if __name__ == "__main__":
    socket.socket.listen = _listen_narrowly  # type: ignore[assignment, method-assign]
    run_settings_file(settings_path())
