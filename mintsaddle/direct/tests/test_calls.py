"""Calls made from requests."""

import pytest

from mintsaddle.decisions.direct import KeyHolder
from mintsaddle.decisions.direct.tests.samples import ROUTE
from mintsaddle.direct._calls import make_call
from mintsaddle.platform import RequestHead


class TestPriority:
    @pytest.mark.parametrize(
        ("published", "priority"), [(None, ROUTE.priority), (0, 0), (4, 4), (-1, -1)]
    )
    def test_a_workspace_without_priority_is_told_from_one_with_that_of_the_route(
        self, published: int | None, priority: int
    ) -> None:
        """Guards against a route's priority taken for that of a workspace."""
        head = RequestHead("id", "key", None, None)
        call = make_call(head, ROUTE, KeyHolder("n", published), 0.0, 1.0)
        assert (call.priority, call.workspace_priority) == (priority, published)
