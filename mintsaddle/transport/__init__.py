"""Messages between daemons over grpclib, with typed values on both sides."""

from mintsaddle.transport._channels import ChannelPool
from mintsaddle.transport._convert import (
    pack_configuration,
    read_bequest,
    read_home_answer,
    read_home_question,
    read_load,
    read_refusal,
    read_stamp,
    unpack_value,
    write_bequest,
    write_home_answer,
    write_home_question,
    write_load,
    write_refusal,
    write_stamp,
)
from mintsaddle.transport._loop import LoopThread

__all__ = [
    "ChannelPool",
    "LoopThread",
    "pack_configuration",
    "read_bequest",
    "read_home_answer",
    "read_home_question",
    "read_load",
    "read_refusal",
    "read_stamp",
    "unpack_value",
    "write_bequest",
    "write_home_answer",
    "write_home_question",
    "write_load",
    "write_refusal",
    "write_stamp",
]
