"""Tasks of waitress that answer requests."""

from typing import Any

from waitress.task import ErrorTask, WSGITask

from mintsaddle.callers._cuts import make_environ_headers
from mintsaddle.callers._refusals import FaultError, RefusedError, RequestFault

_INTERNAL_ERROR = 500
_FAULTS_BY_CODE = {
    400: RequestFault.MALFORMED,
    413: RequestFault.LARGE_BODY,
    431: RequestFault.LARGE_HEAD,
    501: RequestFault.UNSUPPORTED,
}


class ClosingTask(WSGITask):  # type: ignore[misc]
    """Sends `Connection: close` if callers should use another entry."""

    def build_response_header(self) -> bytes:
        """Return the head of the answer."""
        server = self.channel.server
        # What has been read behind this request would be dropped.
        is_last = len(self.channel.requests) == 1 and not self.channel.is_parked
        if is_last and (server.should_close_connections() or server.is_crowded()):
            self.request.headers["CONNECTION"] = "close"
        head: bytes = super().build_response_header()
        return head


class RefusalTask(ErrorTask):  # type: ignore[misc]
    """Answers a request that is refused, and lets its caller read that."""

    def execute(self) -> None:
        """Write the answer."""
        error = self.request.error
        if getattr(error, "code", None) != _INTERNAL_ERROR:
            self.channel.linger()
        fault = _find_fault(error)
        if fault is not None:
            headers = make_environ_headers(self.request.headers)
            refusal = self.channel.server.refuse(fault, headers)
            self.request.error = RefusedError(refusal)
        super().execute()


def _find_fault(error: Any) -> RequestFault | None:
    if isinstance(error, FaultError):
        return error.fault
    return _FAULTS_BY_CODE.get(getattr(error, "code", _INTERNAL_ERROR))
