"""Encoding and decoding of messages between entries and rank agents."""

import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mintsaddle.rank_agent import (
    AgentMessageError,
    AgentReply,
    AgentRequest,
    RankCall,
    RankResponse,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)

CALLS = st.builds(RankCall, st.sampled_from(["GET", "POST"]), st.text(), st.text())
ANSWERS = st.builds(RankResponse, st.integers(0, 599), st.text())


class TestRoundTrips:
    @settings(derandomize=True)
    @given(st.integers(), st.lists(CALLS, max_size=4))
    def test_a_request_arrives_as_it_was_sent(
        self, number: int, calls: list[RankCall]
    ) -> None:
        request = AgentRequest(number, tuple(calls))
        assert decode_request(encode_request(request)) == request

    @settings(derandomize=True)
    @given(st.integers(), st.lists(ANSWERS, max_size=4))
    def test_a_reply_arrives_as_it_was_sent(
        self, number: int, answers: list[RankResponse]
    ) -> None:
        reply = AgentReply(number, tuple(answers))
        assert decode_reply(encode_reply(reply)) == reply


class TestInvalidDatagrams:
    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"\xff\x00",
            zlib.compress(b"{}"),
            zlib.compress(b'["x",[]]'),
            zlib.compress(b"[1,2]"),
            zlib.compress(b"[1,[7]]"),
            zlib.compress(b'[1,[["GET","/a","b","c"]]]'),
            zlib.compress(b'[1,[[1e999,"a","b","c"]]]'),
            zlib.compress(b"[" * 20_000),
            encode_request(AgentRequest(1, ()))[:-6],
        ],
    )
    def test_an_invalid_datagram_raises_a_message_error(self, data: bytes) -> None:
        for decode in (decode_request, decode_reply):
            with pytest.raises(AgentMessageError):
                decode(data)

    def test_decompressed_size_is_limited(self) -> None:
        """Guards against a small datagram that exhausts the agent's memory."""
        packed = zlib.compress(b"[1,[" + b" " * 50_000_000 + b"]]", 9)
        assert len(packed) < 65_000
        with pytest.raises(AgentMessageError):
            decode_request(packed)
