"""Exceptions in the threads that call an engine."""

from functools import partial
from types import SimpleNamespace
from typing import Any

import pytest

from mintsaddle.decisions.admission import EngineFeedback
from mintsaddle.endpoint._host import EndpointHost
from mintsaddle.endpoint._reply_events import Broken
from mintsaddle.endpoint._workers import CallParameters
from mintsaddle.platform.tests.standins import wait_for
from mintsaddle.process import FailureLog


def fail(error: type[BaseException], *_: object) -> None:
    raise error


class TestWorkers:
    @pytest.mark.parametrize("error", [RuntimeError, SystemExit, MemoryError])
    @pytest.mark.parametrize("is_order", [False, True], ids=["call", "order"])
    def test_one_that_raises_ends_its_call(
        self,
        monkeypatch: pytest.MonkeyPatch,
        is_order: bool,
        error: type[BaseException],
    ) -> None:
        """Guards against requests that hold their places for good."""
        failures, ended = FailureLog(), list[Any]()
        loop_thread = SimpleNamespace(
            failures=failures, post=lambda call, *arguments: call(*arguments)
        )
        node: Any = SimpleNamespace(loop_thread=loop_thread, now=lambda: 0.0)
        state: Any = None
        host = EndpointHost(node, state)
        monkeypatch.setattr(host, "handle_call_end", lambda *call: ended.append(call))
        worker: Any = partial(fail, error)
        if is_order:
            monkeypatch.setattr("mintsaddle.endpoint._host.run_order", worker)
        call: Any = None
        mailbox: Any = None
        host._run_worker(worker, call, CallParameters("r-1", mailbox, 1.0, True))
        wait_for(lambda: bool(ended), "end of the call")
        ((request_id, result, event),) = ended
        assert (request_id, result.feedback) == ("r-1", EngineFeedback.FAILED)
        assert result.reached
        assert isinstance(event, Broken) is not is_order
        assert failures.counts == {"engine": 1}
