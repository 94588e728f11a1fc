"""Serving entries' requests, one after another, in one thread."""

import socket
from typing import NoReturn

from mintsaddle.observe import fields, make_logger
from mintsaddle.rank_agent._engine import CALL_SECONDS, EngineLink
from mintsaddle.rank_agent._messages import (
    NO_ANSWER,
    AgentMessageError,
    AgentReply,
    AgentRequest,
    RankAnswer,
    RankCall,
    decode_request,
    encode_reply,
)

_LARGEST_DATAGRAM = 65_535
_READ = "GET"
_log = make_logger("agent")


class RankAgent:
    """Makes calls to the engine on its own VM for entries that ask."""

    def __init__(
        self,
        listen: str,
        engine: str,
        prefix: str,
        call_seconds: float = CALL_SECONDS,
    ) -> None:
        """Bind the agent's address.

        Args:
            listen: IP and port for entries' datagrams.
            engine: IP and port of the engine.
            prefix: What the path of each call has to begin with: guards
                against callers' requests on this way round all limits.
            call_seconds: How long an engine's answer is waited for.
        """
        host, _, port = listen.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self._engine = EngineLink(engine, call_seconds)
        self._prefix = prefix
        self._was_reached = True

    @property
    def address(self) -> str:
        """IP and port at which entries reach it."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    def serve(self) -> NoReturn:
        """Answer requests for the process's life."""
        while True:
            self.serve_one()

    def serve_one(self) -> None:
        """Wait for one datagram and answer it."""
        data, sender = self._socket.recvfrom(_LARGEST_DATAGRAM)
        try:
            request = decode_request(data)
        except AgentMessageError as error:
            _log.warning("Datagram refused %s.", fields(sender=sender, why=error))
            return
        reply = encode_reply(self._carry_out(request))
        try:
            self._socket.sendto(reply, sender)
        except OSError as error:
            # The entry takes it for lost and asks again.
            _log.warning("Reply not sent %s.", fields(sender=sender, why=error))

    def _carry_out(self, request: AgentRequest) -> AgentReply:
        answers = tuple(self._call(call) for call in request.calls)
        return AgentReply(request.number, answers)

    def _call(self, call: RankCall) -> RankAnswer:
        if not call.path.startswith(self._prefix):
            _log.warning("Call refused %s.", fields(path=call.path))
            return NO_ANSWER
        answer = self._engine.call(call)
        if call.method != _READ:
            _log.info("Order %s.", fields(body=call.body[:80], status=answer.status))
        self._record_reach()
        return answer

    def _record_reach(self) -> None:
        is_reached = self._engine.is_reached
        if is_reached != self._was_reached:
            self._was_reached = is_reached
            _log.info("Engine %s.", "regained" if is_reached else "lost")
