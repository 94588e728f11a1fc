"""Carrying out what the arrival decisions ask for."""

from concurrent.futures import ThreadPoolExecutor

from mintsaddle.daemon import DaemonNode
from mintsaddle.decisions.arrivals import (
    AcceptArrival,
    AnswerArrival,
    Arrival,
    ArrivalAction,
    EndpointState,
    EngineResult,
    RefuseArrival,
    StartEngine,
    cancel,
    close_engine_call,
    describe_endpoint_load,
    handle_arrival,
    handle_engine_up,
)
from mintsaddle.decisions.orders import LedgerEntry, OrderStatus
from mintsaddle.endpoint._mailbox import Mailbox
from mintsaddle.endpoint._words import (
    Accepted,
    Chunk,
    End,
    Head,
    Refused,
    Word,
)
from mintsaddle.endpoint._workers import CallPlan, run_call, run_order
from mintsaddle.engines import EngineCall, EngineHead, EngineRequest
from mintsaddle.fleet import ServiceKind
from mintsaddle.observe import make_logger
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.values import Claim, Load, Reason, Refusal

MOST_ENGINE_CALLS = 512
"""Worker threads at most; the fleet text's limit is reached long before."""

_log = make_logger("endpoint")


class EndpointHost:
    """The engine calls and mailboxes of one endpoint daemon.

    Everything runs in the daemon's loop but `run_call`, which runs in a
    worker thread and posts back what it sees.
    """

    def __init__(self, node: DaemonNode, state: EndpointState) -> None:
        self._node = node
        self._state = state
        self._workers = ThreadPoolExecutor(MOST_ENGINE_CALLS, "engine")
        self._mailboxes: dict[str, Mailbox] = {}
        self._calls: dict[str, EngineCall] = {}
        self._orphans: dict[str, pb.CallRequest] = {}
        self._admitted = 0
        self._last_admission = 0.0

    @property
    def node(self) -> DaemonNode:
        """The daemon."""
        return self._node

    @property
    def state(self) -> EndpointState:
        """What the decisions work on."""
        return self._state

    @property
    def admitted(self) -> int:
        """Requests given to the engine since the start."""
        return self._admitted

    @property
    def last_admission(self) -> float:
        """When the last one was given to it."""
        return self._last_admission

    def has_open_mailboxes(self) -> bool:
        """Return whether an entry still waits for its last word."""
        return bool(self._mailboxes)

    def load(self) -> Load:
        """Return the exact load."""
        return describe_endpoint_load(self._state, self._node.now())

    def open(self, arrival: Arrival, message: pb.CallRequest) -> Mailbox:
        """Take in an arrival; its words come into the mailbox."""
        mailbox = Mailbox(message)
        self._mailboxes[arrival.request_id] = mailbox
        self.perform(handle_arrival(self._state, arrival, self._node.now()))
        return mailbox

    def close(self, request_id: str) -> None:
        """Note that the entry has its final word, or has gone."""
        mailbox = self._mailboxes.pop(request_id, None)
        if mailbox is None:
            return
        arrival = self._state.arrivals.get(request_id)
        if arrival is not None and arrival.key is not None:
            # An order outlives its entry; when its turn comes, the message
            # is still needed.
            self._orphans[request_id] = mailbox.message
            return
        call = self._calls.pop(request_id, None)
        if call is not None:
            call.cancel()
        self.perform(cancel(self._state, request_id, self._node.now()))

    def perform(self, actions: tuple[ArrivalAction, ...]) -> None:
        """Carry out actions."""
        for action in actions:
            match action:
                case AcceptArrival(request_id):
                    self._put(request_id, Accepted())
                case RefuseArrival(request_id, refusal):
                    self._orphans.pop(request_id, None)
                    self._put(request_id, Refused(refusal))
                case AnswerArrival(request_id, entry):
                    self._answer(request_id, entry)
                case StartEngine(request_id):
                    self._start(request_id)

    def _put(self, request_id: str, word: Word) -> None:
        mailbox = self._mailboxes.get(request_id)
        if mailbox is not None:
            mailbox.put(word)

    def _answer(self, request_id: str, entry: LedgerEntry) -> None:
        if entry.status is OrderStatus.DONE:
            self._put(request_id, Head(entry.http_status, entry.content_type))
            if entry.body:
                self._put(request_id, Chunk(1, entry.body))
            self._put(request_id, End(1 if entry.body else 0))
            return
        never = entry.status is OrderStatus.TOMBSTONE
        claim = Claim.NEVER if never else Claim.MAYBE
        reason = Reason.TOMBSTONE if never else Reason.ENGINE_FAILED
        self._put(request_id, Refused(Refusal(claim, reason, self._node.now())))

    def _start(self, request_id: str) -> None:
        arrival = self._state.arrivals[request_id]
        mailbox = self._mailboxes.get(request_id)
        message = mailbox.message if mailbox else self._orphans.pop(request_id)
        now = self._node.now()
        self._admitted += 1
        self._last_admission = now
        request = self._make_request(arrival, message)
        call = EngineCall(self._node.settings.engine, request)
        self._calls[request_id] = call
        run = run_order if arrival.key else run_call
        # An order may have lost its entry; then nobody reads the mailbox.
        plan = self._make_plan(arrival, mailbox or Mailbox(message))
        self._workers.submit(run, self, call, plan)

    def _make_request(self, arrival: Arrival, message: pb.CallRequest) -> EngineRequest:
        headers = {
            "Content-Type": message.content_type or "application/octet-stream",
            "Request-Id": arrival.key.text if arrival.key else arrival.request_id,
            "Workspace": arrival.workspace,
            "Priority": str(arrival.priority),
        }
        if message.resume_after:
            headers["Resume-After"] = str(message.resume_after)
        if arrival.key is not None:
            stamp = self._node.stamp()
            headers["Fencing"] = f"{stamp.text_revision}.{stamp.boot}"
        silence = max(0.1, arrival.deadline - self._node.now())
        return EngineRequest(
            message.method, message.path, headers, message.body, silence
        )

    def see_head(self, head: EngineHead) -> None:
        """Note an engine's answer head: it shows the engine's run."""
        now = self._node.now()
        if head.boot is not None:
            limit = self._state.admission.reported_limit
            self.perform(handle_engine_up(self._state, head.boot, limit, now))

    def see_end(self, request_id: str, result: EngineResult, word: Word | None) -> None:
        """Note how an engine call ended."""
        self._calls.pop(request_id, None)
        self._orphans.pop(request_id, None)
        if word is not None:
            self._put(request_id, word)
        now = self._node.now()
        self.perform(close_engine_call(self._state, request_id, result, now))

    def _make_plan(self, arrival: Arrival, mailbox: Mailbox) -> CallPlan:
        fleet = self._state.configuration.fleet
        service = fleet.services.get(arrival.service) if fleet else None
        is_engine = service is not None and service.kind is ServiceKind.ENGINE
        target = service.target if service else 0.0
        return CallPlan(arrival.request_id, mailbox, target, is_engine)
