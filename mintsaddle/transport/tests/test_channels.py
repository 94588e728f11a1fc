"""Tests of the channels between daemons."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from mintsaddle.transport import ChannelPool

PREFACE_BYTES = 65_536
EMPTY_SETTINGS_FRAME = b"\0\0\0\x04\0\0\0\0\0"


class TestConnect:
    @pytest.fixture
    def listener(self) -> socket.socket:
        return socket.create_server(("127.0.0.1", 0))

    def run(
        self,
        listener: socket.socket,
        scenario: Callable[[ChannelPool, str], Awaitable[None]],
    ) -> None:
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        async def run() -> None:
            pool = ChannelPool()
            try:
                await scenario(pool, address)
            finally:
                pool.close()

        with listener:
            asyncio.run(run())

    def test_open_connection_is_reused(self, listener: socket.socket) -> None:
        """Guards against a connection for each request."""

        async def scenario(pool: ChannelPool, address: str) -> None:
            channel = await pool.connect(address)
            protocol = await channel.__connect__()
            assert await pool.connect(address) is channel
            assert await channel.__connect__() is protocol

        self.run(listener, scenario)

    def test_closed_connection_is_replaced_once(self, listener: socket.socket) -> None:
        """Guards against requests that close each other's new connection."""

        async def scenario(pool: ChannelPool, address: str) -> None:
            ended = await pool.connect(address)
            with listener.accept()[0] as connection:
                connection.recv(PREFACE_BYTES)
            first, second = await asyncio.gather(
                pool.connect(address), pool.connect(address)
            )
            assert first is second
            assert first is not ended
            assert not (await first.__connect__()).processor.connection.is_closing()

        self.run(listener, scenario)

    @pytest.mark.parametrize(
        "last_message", [b"", EMPTY_SETTINGS_FRAME], ids=["close", "message and close"]
    )
    def test_ended_peer_is_reported(
        self, listener: socket.socket, last_message: bytes
    ) -> None:
        """Guards against a channel to a peer that has ended."""

        async def scenario(pool: ChannelPool, address: str) -> None:
            await pool.connect(address)
            with listener.accept()[0] as connection:
                connection.recv(PREFACE_BYTES)
                connection.sendall(last_message)
            listener.close()
            with pytest.raises(ConnectionRefusedError):
                await pool.connect(address)

        self.run(listener, scenario)
