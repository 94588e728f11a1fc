"""gRPC channels to other daemons, one per address."""

from grpclib.client import Channel


class ChannelPool:
    """The open channels of one daemon; used only in its event loop."""

    def __init__(self) -> None:
        self._channels: dict[str, Channel] = {}

    def open(self, address: str) -> Channel:
        """Return a channel to an ``IP:PORT`` that connects on first use."""
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host.strip("[]"), int(port))
            self._channels[address] = channel
        return channel

    def drop(self, address: str) -> None:
        """Close a channel whose peer is unreachable or doesn't respond.

        Writes to the old connection of a replaced or frozen peer would appear
        to succeed for minutes.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in tuple(self._channels):
            self.drop(address)
