"""The one kept connection from an agent to the engine on its VM."""

import http.client

from mintsaddle.rank_agent._messages import NO_ANSWER, RankAnswer, RankCall

CALL_SECONDS = 0.04
"""Seconds for an engine's answer: over loopback it takes 1 ms, and while one
call waits the agent takes no other. An answer that comes later counts as lost:
a group may be waiting for the order to be given again."""

_LARGEST_ANSWER = 1_048_576


class EngineLink:
    """Calls one engine, one call at a time."""

    def __init__(self, address: str, call_seconds: float = CALL_SECONDS) -> None:
        self._connection = http.client.HTTPConnection(address, timeout=call_seconds)
        self._is_reached = True

    @property
    def is_reached(self) -> bool:
        """Whether the engine answered the last call."""
        return self._is_reached

    def call(self, call: RankCall) -> RankAnswer:
        """Return the engine's answer, or ``NO_ANSWER``.

        A call that changes something isn't sent a second time here: the engine
        may have got it, and whoever asked decides what follows.
        """
        is_kept = self._connection.sock is not None
        answer = self._try(call)
        if answer is NO_ANSWER and is_kept and call.method == "GET":
            # The engine closes idle connections; a fresh one may do.
            answer = self._try(call)
        self._is_reached = answer is not NO_ANSWER
        return answer

    def _try(self, call: RankCall) -> RankAnswer:
        headers = {"Content-Type": "application/json"} if call.body else {}
        body = call.body.encode() or None
        try:
            self._connection.request(call.method, call.path, body, headers)
            response = self._connection.getresponse()
            text = response.read(_LARGEST_ANSWER).decode()
        except (OSError, http.client.HTTPException, UnicodeDecodeError):
            # Not an error of the agent: ``is_reached`` tells of it.
            self._connection.close()
            return NO_ANSWER
        return RankAnswer(response.status, text)
