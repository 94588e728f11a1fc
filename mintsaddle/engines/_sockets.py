"""Ending a connection that another thread reads from."""

import socket


def shut_down(connection: socket.socket | None) -> None:
    """Break a connection, which tells the engine to stop.

    Closing it instead would leave a thread that reads from it waiting.
    """
    if connection is None:
        return
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The engine has closed it already: nothing is left to stop.
        return
