"""Executes the actions that the arrival decisions return."""

from collections.abc import Callable
from concurrent.futures import Future
from functools import partial

from mintsaddle.daemon import DaemonNode
from mintsaddle.decisions.admission import EngineFeedback
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
from mintsaddle.endpoint._reply_events import (
    Accepted,
    Broken,
    Chunk,
    End,
    Head,
    Refused,
    ReplyEvent,
)
from mintsaddle.endpoint._workers import CallParameters, run_call, run_order
from mintsaddle.engines import EngineCall, EngineHead, EngineRequest
from mintsaddle.fleet import ServiceKind
from mintsaddle.observe import make_logger
from mintsaddle.process import WorkerPool
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.values import Claim, Load, Reason, Refusal

MAX_ENGINE_THREADS = 512
"""Maximum number of worker threads.

The request limits in the fleet configuration are far lower.
"""

Worker = Callable[["EndpointHost", EngineCall, CallParameters], None]
"""Runs a call to the engine in a thread of its own."""

_log = make_logger("endpoint")


class EndpointHost:
    """The engine calls and mailboxes of one endpoint daemon.

    Everything runs in the daemon's event loop except `run_call` and
    `run_order`, which run in worker threads and post their results to the
    loop.
    """

    def __init__(self, node: DaemonNode, state: EndpointState) -> None:
        self._node = node
        self._state = state
        self._workers = WorkerPool(MAX_ENGINE_THREADS, "engine")
        self._mailboxes: dict[str, Mailbox] = {}
        self._calls: dict[str, EngineCall] = {}
        self._detached_messages: dict[str, pb.CallRequest] = {}
        self._admitted = 0
        self._last_admission = 0.0

    @property
    def node(self) -> DaemonNode:
        """The node of this daemon."""
        return self._node

    @property
    def state(self) -> EndpointState:
        """State that the decisions read and update."""
        return self._state

    @property
    def admitted(self) -> int:
        """Number of requests sent to the engine since the daemon started."""
        return self._admitted

    @property
    def last_admission(self) -> float:
        """When the last request was sent to the engine; 0 if none was."""
        return self._last_admission

    def has_open_mailboxes(self) -> bool:
        """Return whether an entry still waits for its final event."""
        return bool(self._mailboxes)

    def load(self) -> Load:
        """Return the current load."""
        return describe_endpoint_load(self._state, self._node.now())

    def open(self, arrival: Arrival, message: pb.CallRequest) -> Mailbox:
        """Handle an arrival and return the mailbox for its reply events."""
        mailbox = Mailbox(message)
        self._mailboxes[arrival.request_id] = mailbox
        self.perform(handle_arrival(self._state, arrival, self._node.now()))
        return mailbox

    def close(self, request_id: str) -> None:
        """Handle an entry that received its final event or disconnected."""
        mailbox = self._mailboxes.pop(request_id, None)
        if mailbox is None:
            return
        arrival = self._state.arrivals.get(request_id)
        if arrival is not None and arrival.key is not None:
            # An order runs even if its entry has disconnected, so its message
            # is kept until the order leaves the queue.
            self._detached_messages[request_id] = mailbox.message
            return
        call = self._calls.pop(request_id, None)
        if call is not None:
            call.cancel()
        self.perform(cancel(self._state, request_id, self._node.now()))

    def perform(self, actions: tuple[ArrivalAction, ...]) -> None:
        """Execute actions in order."""
        for action in actions:
            match action:
                case AcceptArrival(request_id):
                    self._put_event(request_id, Accepted())
                case RefuseArrival(request_id, refusal):
                    self._detached_messages.pop(request_id, None)
                    self._put_event(request_id, Refused(refusal))
                case AnswerArrival(request_id, entry):
                    self._answer_from_ledger(request_id, entry)
                case StartEngine(request_id):
                    self._start_engine_call(request_id)

    def _put_event(self, request_id: str, event: ReplyEvent) -> None:
        mailbox = self._mailboxes.get(request_id)
        if mailbox is not None:
            mailbox.put(event)

    def _answer_from_ledger(self, request_id: str, entry: LedgerEntry) -> None:
        if entry.status is OrderStatus.DONE:
            self._put_event(request_id, Head(entry.http_status, entry.content_type))
            if entry.body:
                self._put_event(request_id, Chunk(1, entry.body))
            self._put_event(request_id, End(1 if entry.body else 0))
            return
        never_ran = entry.status is OrderStatus.TOMBSTONE
        claim = Claim.NEVER if never_ran else Claim.MAYBE
        reason = Reason.TOMBSTONE if never_ran else Reason.ENGINE_FAILED
        self._put_event(request_id, Refused(Refusal(claim, reason, self._node.now())))

    def _start_engine_call(self, request_id: str) -> None:
        arrival = self._state.arrivals[request_id]
        mailbox = self._mailboxes.get(request_id)
        message = (
            mailbox.message if mailbox else self._detached_messages.pop(request_id)
        )
        now = self._node.now()
        self._admitted += 1
        self._last_admission = now
        request = self._make_request(arrival, message)
        call = EngineCall(self._node.settings.engine, request)
        self._calls[request_id] = call
        worker: Worker = run_order if arrival.key else run_call
        # If the entry of an order has disconnected, nobody reads the mailbox.
        parameters = self._make_call_parameters(arrival, mailbox or Mailbox(message))
        self._run_worker(worker, call, parameters)

    def _run_worker(
        self, worker: Worker, call: EngineCall, parameters: CallParameters
    ) -> None:
        """Run a worker in a thread; end its call if it raises an exception.

        The request would hold its place for good, and its entry would wait.
        """
        future = self._workers.submit(worker, self, call, parameters)
        is_order = worker is run_order
        future.add_done_callback(
            partial(self._handle_worker_end, parameters.request_id, is_order)
        )

    def _handle_worker_end(
        self, request_id: str, is_order: bool, future: "Future[None]"
    ) -> None:
        error = future.exception()
        if error is None:
            return
        loop_thread = self._node.loop_thread
        loop_thread.failures.record("engine", error)
        result = EngineResult(EngineFeedback.FAILED, reached=True)
        # The entry of an order is answered from the ledger.
        event = None if is_order else Broken(Reason.ENGINE_FAILED)
        loop_thread.post(self.handle_call_end, request_id, result, event)

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
        silence_timeout = max(0.1, arrival.deadline - self._node.now())
        return EngineRequest(
            message.method, message.path, headers, message.body, silence_timeout
        )

    def handle_response_head(self, head: EngineHead) -> None:
        """Record the engine's boot number if a response head has one."""
        now = self._node.now()
        if head.boot is not None:
            limit = self._state.admission.reported_limit
            self.perform(handle_engine_up(self._state, head.boot, limit, now))

    def handle_call_end(
        self, request_id: str, result: EngineResult, event: ReplyEvent | None
    ) -> None:
        """Record the result of an engine call."""
        self._calls.pop(request_id, None)
        self._detached_messages.pop(request_id, None)
        if event is not None:
            self._put_event(request_id, event)
        now = self._node.now()
        self.perform(close_engine_call(self._state, request_id, result, now))

    def _make_call_parameters(
        self, arrival: Arrival, mailbox: Mailbox
    ) -> CallParameters:
        fleet = self._state.configuration.fleet
        service = fleet.services.get(arrival.service) if fleet else None
        is_engine = service is not None and service.kind is ServiceKind.ENGINE
        target = service.target if service else 0.0
        return CallParameters(arrival.request_id, mailbox, target, is_engine)
