"""gRPC transport between daemons and conversion of its messages."""

from mintsaddle.transport._channels import ChannelPool
from mintsaddle.transport._convert import (
    compress_configuration,
    decompress_value,
    read_bequest,
    read_home_answer,
    read_home_question,
    read_load,
    read_refusal,
    read_stamp,
    write_bequest,
    write_home_answer,
    write_home_question,
    write_load,
    write_refusal,
    write_stamp,
)
from mintsaddle.transport._loop import LoopThread
from mintsaddle.transport._server import BoundedServer, PeerLimits

__all__ = [
    "BoundedServer",
    "PeerLimits",
    "ChannelPool",
    "LoopThread",
    "compress_configuration",
    "read_bequest",
    "read_home_answer",
    "read_home_question",
    "read_load",
    "read_refusal",
    "read_stamp",
    "decompress_value",
    "write_bequest",
    "write_home_answer",
    "write_home_question",
    "write_load",
    "write_refusal",
    "write_stamp",
]
