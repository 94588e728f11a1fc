"""Sockets that other threads read from, and waits for them."""

import errno
import fcntl
import select
import socket
import struct
import termios

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


def check_sound_end(connection: socket.socket) -> None:
    """Check that a connection, whose end has been read, wasn't broken off.

    The end of a connection reads the same if the peer ended it after a whole
    answer, and if a reset followed. A peer that didn't receive all that was
    sent to it ended the connection before it had read the request.

    Raises:
        OSError: The connection has an error, or the peer didn't receive all
            that was sent to it.
    """
    error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if not error and _count_unacknowledged(connection):
        error = errno.ECONNRESET
    if error:
        raise OSError(error, "connection broken off")


def _count_unacknowledged(connection: socket.socket) -> int:
    """Return how many bytes the peer's host hasn't acknowledged."""
    count = struct.pack("i", 0)
    (unacknowledged,) = struct.unpack(
        "i", fcntl.ioctl(connection, termios.TIOCOUTQ, count)
    )
    return int(unacknowledged)
