"""gRPC channels to other daemons, one per address."""

import asyncio

from grpclib.client import Channel

_LOOP_PASSES = 3
"""Event loop passes that read a peer's last message and its close after it."""


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

    async def connect(self, address: str) -> Channel:
        """Return a connected channel whose peer hasn't closed the connection.

        A close that has arrived but isn't read yet is read first. Otherwise a
        request would be lost on the connection to a peer that has ended, and
        its sender couldn't tell whether it was received.

        Raises:
            OSError: No connection can be opened.
        """
        channel = self.open(address)
        protocol = await channel.__connect__()
        for _ in range(_LOOP_PASSES):
            await asyncio.sleep(0)
        if not protocol.processor.connection.is_closing():
            return channel
        # Another caller may have replaced the channel during the passes.
        if self._channels.get(address) is channel:
            self.drop(address)
        channel = self.open(address)
        await channel.__connect__()
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
