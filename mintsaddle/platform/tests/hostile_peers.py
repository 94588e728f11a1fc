"""Peers that send large or unfinished gRPC messages, as frames of HTTP/2."""

import struct
from collections.abc import Iterator
from functools import partial

from hpack import Encoder
from hyperframe.frame import DataFrame, HeadersFrame, PingFrame, SettingsFrame

from mintsaddle.platform.tests.hostile_clients import Kind

_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
_FRAME_BYTES = 16_384
_SETTINGS_TO_ACKNOWLEDGE = 2
"""Settings frames that grpclib sends at the start of a connection."""


def _begin() -> bytes:
    acknowledged = SettingsFrame(0, flags=["ACK"]).serialize()
    opening = _PREFACE + SettingsFrame(0).serialize()
    return opening + _SETTINGS_TO_ACKNOWLEDGE * acknowledged


def _headers(stream: int, path: str) -> bytes:
    frame = HeadersFrame(stream, flags=["END_HEADERS"])
    frame.data = Encoder().encode(
        [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", "peer"),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
        ]
    )
    return frame.serialize()


def message(
    number: int, *, path: str, announced: int, sent: int, streams: int = 1
) -> Iterator[bytes]:
    """Send the beginnings of messages on one connection."""
    yield _begin()
    for stream in range(1, 2 * streams, 2):
        yield _headers(stream, path)
        prefix = struct.pack(">?I", False, announced)
        yield DataFrame(stream, prefix).serialize()
        block = DataFrame(stream, b"m" * _FRAME_BYTES).serialize()
        for _ in range(sent // _FRAME_BYTES):
            yield block


def pings(number: int, *, count: int) -> Iterator[bytes]:
    """Send pings whose acknowledgements aren't read."""
    yield _begin()
    one = PingFrame(0, b"hostile!").serialize()
    for _ in range(0, count, 1_000):
        yield one * 1_000


def silence(number: int) -> Iterator[bytes]:
    """Send nothing."""
    yield from ()


def peer_kinds(path: str, silent: int) -> dict[str, Kind]:
    """Return the kinds of hostile peers by name.

    Args:
        path: Path of the method that they call.
        silent: Number of connections that send nothing.
    """
    unfinished = partial(message, path=path, announced=4_000_000, sent=3_900_000)
    endless = partial(message, path=path, announced=2**32 - 1, sent=100_000_000)
    many = partial(message, path=path, announced=50_000, sent=40_000, streams=90)
    return {
        "unfinished-messages": Kind(60, unfinished),
        "endless-messages": Kind(4, endless),
        "many-streams": Kind(60, many),
        "silent-connections": Kind(silent, silence),
    }
