"""Single-threaded UDP server that handles requests from entries."""

import select
import socket
import time
from typing import NoReturn

from mintsaddle.observe import fields, make_logger
from mintsaddle.process import FailureLog, clear_wakeup
from mintsaddle.rank_agent._engine import CALL_TIMEOUT_SECONDS, EngineConnection
from mintsaddle.rank_agent._messages import (
    NO_RESPONSE,
    AgentMessageError,
    AgentReply,
    AgentRequest,
    RankCall,
    RankResponse,
    decode_request,
    encode_reply,
)

_MAX_DATAGRAM_BYTES = 65_535
_READ_METHOD = "GET"
_LOOP = "agent"
_FAILURE_PAUSE_SECONDS = 0.1
"""Pause after a failure to receive, which would come again at once."""

_log = make_logger("agent")


class RankAgent:
    """Makes calls to the engine on its own VM on behalf of entries."""

    def __init__(
        self,
        listen: str,
        engine: str,
        prefix: str,
        call_timeout: float = CALL_TIMEOUT_SECONDS,
        wakeup: int | None = None,
    ) -> None:
        """Bind the UDP socket.

        Args:
            listen: IP and port on which to receive datagrams from entries.
            engine: IP and port of the engine.
            prefix: Required prefix of each call's path. Without it, inference
                requests could reach the engine past all admission limits.
            call_timeout: Seconds to wait for a response from the engine.
            wakeup: A descriptor that becomes readable when a signal arrives.
                Without it, one that arrives just before the wait for the next
                datagram is handled only after that datagram.
        """
        host, _, port = listen.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self._engine = EngineConnection(engine, call_timeout)
        self._prefix = prefix
        self._was_reachable = True
        self._failures = FailureLog()
        self._wakeup = wakeup
        self._poll = select.poll()
        self._poll.register(self._socket, select.POLLIN)
        if wakeup is not None:
            self._poll.register(wakeup, select.POLLIN)

    @property
    def address(self) -> str:
        """IP and port on which the agent receives datagrams."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    def serve(self) -> NoReturn:
        """Handle requests until the process exits."""
        while True:
            try:
                if self.wait_for_datagram():
                    self.serve_one()
            except Exception:
                self._failures.record(_LOOP)
                time.sleep(_FAILURE_PAUSE_SECONDS)

    def wait_for_datagram(self) -> bool:
        """Wait for a datagram or a signal; return whether it is a datagram."""
        ready = {descriptor for descriptor, _ in self._poll.poll()}
        if self._wakeup is not None and self._wakeup in ready:
            clear_wakeup(self._wakeup)
        return self._socket.fileno() in ready

    def serve_one(self) -> None:
        """Wait for one datagram and reply to it."""
        data, sender = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
        try:
            request = decode_request(data)
        except AgentMessageError as error:
            _log.warning(
                "Rejected an invalid datagram %s.", fields(sender=sender, why=error)
            )
            return
        try:
            reply = encode_reply(self._handle_request(request))
        except Exception:
            # The request costs nobody else a pause.
            self._failures.record(_LOOP)
            return
        try:
            self._socket.sendto(reply, sender)
        except OSError as error:
            # The entry times out and repeats its request.
            _log.warning("Failed to send a reply %s.", fields(sender=sender, why=error))

    def _handle_request(self, request: AgentRequest) -> AgentReply:
        responses = tuple(self._call(call) for call in request.calls)
        return AgentReply(request.sequence_number, responses)

    def _call(self, call: RankCall) -> RankResponse:
        if not call.path.startswith(self._prefix):
            _log.warning(
                "Rejected a call outside the path prefix %s.", fields(path=call.path)
            )
            return NO_RESPONSE
        response = self._engine.call(call)
        if call.method != _READ_METHOD:
            _log.info(
                "Order to the engine %s.",
                fields(body=call.body[:80], status=response.status),
            )
        self._log_reachability_change()
        return response

    def _log_reachability_change(self) -> None:
        is_reachable = self._engine.is_reachable
        if is_reachable != self._was_reachable:
            self._was_reachable = is_reachable
            _log.info("Engine %s.", "regained" if is_reachable else "lost")
