"""Persistent HTTP connection from an agent to the engine on its VM."""

import http.client

from mintsaddle.engines import BoundedConnection
from mintsaddle.rank_agent._messages import NO_RESPONSE, RankCall, RankResponse

CALL_TIMEOUT_SECONDS = 0.04
"""Seconds to wait for an engine's response, which takes 1 ms over loopback.
The agent handles one call at a time, so a slow call delays all others. A later
response counts as lost, since a group may be waiting for the order to be
repeated."""

_MAX_RESPONSE_BYTES = 1_048_576


class EngineConnection:
    """Makes calls to one engine, one at a time."""

    def __init__(
        self, address: str, call_timeout: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        self._connection = BoundedConnection(address, call_timeout)
        self._is_reachable = True

    @property
    def is_reachable(self) -> bool:
        """Whether the engine responded to the last call."""
        return self._is_reachable

    def call(self, call: RankCall) -> RankResponse:
        """Return the engine's response, or ``NO_RESPONSE``.

        Only reads are retried here. The engine may have received a call that
        changes state, so the entry decides whether to repeat it.
        """
        is_reused = self._connection.sock is not None
        response = self._send(call)
        if response is NO_RESPONSE and is_reused and call.method == "GET":
            # The engine may have closed an idle connection: retry on a new
            # one.
            response = self._send(call)
        self._is_reachable = response is not NO_RESPONSE
        return response

    def _send(self, call: RankCall) -> RankResponse:
        headers = {"Content-Type": "application/json"} if call.body else {}
        try:
            body = call.body.encode() or None
            self._connection.request(call.method, call.path, body, headers)
            response = self._connection.getresponse()
            text = response.read(_MAX_RESPONSE_BYTES).decode()
            if response.length or not response.isclosed():
                raise http.client.IncompleteRead(b"")
        except (OSError, http.client.HTTPException, ValueError):
            # Not an error of the agent: callers check ``is_reachable``.
            self._connection.close()
            return NO_RESPONSE
        return RankResponse(response.status, text)
