"""Shutdown of a connection that another thread reads from."""

import socket


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
