"""Parts of prompts in the headers of requests."""

import pytest

from mintsaddle.platform import read_request_head
from mintsaddle.platform._prompt_parts import MAX_PARTS

MANY = [f"{number:x}:10" for number in range(5_000)]


class TestSharedParts:
    @pytest.mark.parametrize(
        ("header", "parts"),
        [
            ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
            ("5C1E07A2:800, 5c1e07a2:1 ,e4402b7d:250", ("5c1e07a2",)),
            ("e4402b7d:250", ()),
            ("", ()),
            (",,,", ()),
            ("zz:1,91bd3f06:410,e4402b7d:250", ("91bd3f06",)),
            ("5c1e07a2,91bd3f06:-4,ab:1e9,c0:7,e4402b7d:250", ("c0",)),
            (f"a1:{'9' * 400},b2:10,e4402b7d:250", ("b2",)),
            (f"{'a' * 4_000}:1,b2:10,e4402b7d:250", ("b2",)),
            (",".join(MANY), tuple(part[:-3] for part in MANY[:MAX_PARTS])),
        ],
        ids=[
            "plain",
            "repeated",
            "only-own",
            "missing",
            "empty-parts",
            "not-hexadecimal",
            "bad-sizes",
            "absurd-size",
            "absurd-id",
            "thousands",
        ],
    )
    def test_parts_that_cannot_be_read_are_skipped(
        self, header: str, parts: tuple[str, ...]
    ) -> None:
        """Guards against prompts that stop an entry or cost it too much."""
        environ = {"HTTP_X_MINTSADDLE_PROMPT_PREFIX": header}
        assert read_request_head(environ).parts == parts

    def test_a_head_without_the_header_has_no_parts(self) -> None:
        assert read_request_head({}).parts == ()
