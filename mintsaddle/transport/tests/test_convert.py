"""Conversion of messages between daemons, and corrupt or oversized values."""

import random
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintsaddle.decisions.configuration import (
    ConfigurationState,
    adopt_marks,
    adopt_text,
)
from mintsaddle.decisions.orders import (
    HomeAnswer,
    HomeQuestion,
    LedgerEntry,
    LedgerSnapshot,
    OrderStatus,
)
from mintsaddle.fleet import OrderHomes
from mintsaddle.transport import (
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
from mintsaddle.values import Claim, Load, Reason, Refusal, Stamp, issue_key

STAMP = Stamp("a", 5, 7, 2)
KEY = issue_key("a", 5, 1_800_000_000.0, random.Random(1))
ENTRY = LedgerEntry(KEY, "orders", OrderStatus.DONE, 200, "text/plain", b"ok")
HOMES = OrderHomes(("a", "b"), frozenset("abc"), True)


class TestRoundTrips:
    @given(st.builds(Load, *[st.integers(0, 2**31)] * 3, st.booleans()))
    def test_load(self, load: Load) -> None:
        assert read_load(write_load(load)) == load

    @pytest.mark.parametrize("claim", Claim)
    @pytest.mark.parametrize("reason", Reason)
    def test_refusal(self, claim: Claim, reason: Reason) -> None:
        refusal = Refusal(claim, reason, 12.5)
        assert read_refusal(write_refusal(refusal)) == refusal

    def test_stamp(self) -> None:
        assert read_stamp(write_stamp(STAMP)) == STAMP

    def test_home_question(self) -> None:
        question = HomeQuestion("a", 5, "orders", 2**62 - 1, True)
        assert read_home_question(write_home_question(question, STAMP)) == question

    @pytest.mark.parametrize("homes", [None, HOMES])
    def test_home_answer(self, homes: OrderHomes | None) -> None:
        offer = LedgerSnapshot("a", 4, "orders", 3.5, (ENTRY,))
        answer = HomeAnswer(
            "a", 5, "orders", 9, homes, 7, True, False, 1.5, (ENTRY,), offer
        )
        assert read_home_answer(write_home_answer(answer, STAMP)) == answer

    def test_bequest(self) -> None:
        snapshot = LedgerSnapshot("a", 5, "orders", 3.5, (ENTRY,))
        assert read_bequest(write_bequest(snapshot, STAMP)) == snapshot


class TestConfiguration:
    def test_only_newer_parts_are_sent(self) -> None:
        state = ConfigurationState()
        adopt_text(state, 7, "[fleet]\nname = x\n")
        adopt_marks(state, 2, "[marks]\n")
        current = compress_configuration(state, STAMP, STAMP)
        assert (current.text, current.marks) == (b"", b"")
        behind = compress_configuration(state, Stamp("b", 1, 6, 2), STAMP)
        assert decompress_value(behind.text) == state.text
        assert behind.marks == b""

    @pytest.mark.parametrize(
        "compressed",
        [
            b"damaged",
            zlib.compress(b"text")[:-3],
            zlib.compress(b"\xff\xfe"),
            zlib.compress(b"a" * 3_000_000),
        ],
    )
    def test_corrupt_or_oversized_values_are_rejected(self, compressed: bytes) -> None:
        assert decompress_value(compressed) is None
