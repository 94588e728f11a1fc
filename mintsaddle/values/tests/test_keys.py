"""Idempotency keys, supplied by callers or issued by the system."""

import random
import uuid

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from mintsaddle.values import (
    BOOT_BITS,
    KeyOrigin,
    home_tag,
    issue_key,
    parse_key,
)

SUPPLIED_KEY = "01938a3c-8000-7000-8000-000000000001"


class TestParseKey:
    @pytest.mark.parametrize(
        ("text", "problem"),
        [
            ("", "not a UUID"),
            ("no-key", "not a UUID"),
            (str(uuid.UUID(int=0)), "version 7 is needed"),
            ("5b4e0f3e-5f1c-4f7e-9d6c-3a2f1b0c9d8e", "UUID version 4"),
        ],
    )
    def test_bad_key_is_described(self, text: str, problem: str) -> None:
        result = parse_key(text)
        assert isinstance(result, Failure)
        assert problem in result.failure()

    def test_supplied_key_gives_its_date(self) -> None:
        key = parse_key(SUPPLIED_KEY).unwrap()
        assert key.origin is KeyOrigin.SUPPLIED
        assert key.date == 0x01938A3C8000 / 1000

    def test_upper_case_is_the_same_key(self) -> None:
        assert parse_key(SUPPLIED_KEY.upper()) == parse_key(SUPPLIED_KEY)


class TestIssueKey:
    @given(
        st.text(min_size=1),
        st.integers(0, 2**BOOT_BITS - 1),
        st.floats(0, 2**37),
        st.randoms(use_true_random=False),
    )
    def test_identifies_its_home_and_run(
        self, vm: str, boot: int, now: float, rng: random.Random
    ) -> None:
        issued = issue_key(vm, boot, now, rng)
        assert parse_key(issued.text) == Success(issued)
        assert (issued.home_tag, issued.boot) == (home_tag(vm), boot)
        assert abs(issued.date - now) <= 0.001
