"""Connections to other daemons, one for each address."""

from grpclib.client import Channel


class ChannelPool:
    """The open channels of one daemon; used in its loop only."""

    def __init__(self) -> None:
        self._channels: dict[str, Channel] = {}

    def open(self, address: str) -> Channel:
        """Return the channel to an ``IP:PORT``; it connects on first use."""
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host.strip("[]"), int(port))
            self._channels[address] = channel
        return channel

    def drop(self, address: str) -> None:
        """Close a channel that was found broken or silent.

        Guards against a peer that was replaced or frozen: writes into its old
        connection would look sent for minutes.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in tuple(self._channels):
            self.drop(address)
