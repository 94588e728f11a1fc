"""Sockets that other threads read from, and waits for them."""

import select
import socket

from mintsaddle.values import MILLISECONDS


def shut_down(connection: socket.socket | None) -> None:
    """Shut a connection down, so that the engine stops its work.

    Closing the socket instead would leave a reading thread blocked.
    """
    if connection is None:
        return
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The engine has already closed the connection.
        return


def is_readable(connection: socket.socket, seconds: float) -> bool:
    """Return whether data, an end or an error arrives on a socket in time.

    ``select.select`` fails for descriptors from 1,024 on.
    """
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(max(0.0, seconds) * MILLISECONDS))
