"""The endpoint daemon of the model: the real decisions over fake I/O."""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from fakes.model._daemons import Daemon, Platform
from fakes.model._engine import CHUNKS, Engine, EngineRun, make_engine_result
from fakes.model._world import World
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
    apply_configuration,
    cancel,
    close_engine_call,
    describe_endpoint_load,
    handle_arrival,
    handle_engine_down,
    handle_engine_up,
    may_exit,
    start_leaving,
    tick,
)
from mintsaddle.decisions.calls import (
    AttemptAccepted,
    AttemptRefused,
    CallEvent,
    ChunkArrived,
    EndArrived,
    HeadArrived,
)
from mintsaddle.decisions.orders import (
    HomeQuestion,
    LedgerEntry,
    LedgerSnapshot,
    OrderStatus,
    answer_question,
    ask_homes,
    close_ledger,
    record_answer,
    settle_if_only_home,
    store_snapshot,
)
from mintsaddle.values import Claim, Reason, Refusal

if TYPE_CHECKING:
    from fakes.model._entry import EntryCallModel

_PROBE_SECONDS = 0.2
_TICK_SECONDS = 0.1
_HOME_QUERY_SECONDS = 0.3
_STEP_BY_CHUNK = {1: "first chunk", 2: "middle", CHUNKS: "last chunk"}


class Attempt(NamedTuple):
    """An attempt of a call, as the entry sends it."""

    arrival: Arrival
    work_id: str
    number: int
    resume_after: int
    call: "EntryCallModel"


class EndpointDaemon(Daemon):
    """The daemon of one endpoint VM, with its engine."""

    def __init__(
        self,
        world: World,
        name: str,
        data_centre: str,
        platform: Platform,
        engine: Engine,
    ) -> None:
        super().__init__(world, name, data_centre, platform)
        self.engine = engine
        self.leaving_since = 0.0
        self.state = EndpointState(name, 0, 0.0, self.configuration)
        self.attempts: dict[str, Attempt] = {}
        self._runs: dict[str, EngineRun] = {}

    def start(self) -> None:
        """Start a run with an empty ledger and a new boot number."""
        super().start()
        self.leaving_since = 0.0
        boot_at = self.now()
        self.state = EndpointState(self.name, self.boot, boot_at, self.configuration)
        self.attempts = {}
        self._runs = {}
        self.later(0.0, self._probe)
        self.later(_TICK_SECONDS, self._tick)
        self.later(_HOME_QUERY_SECONDS, self._query_homes)

    def die(self) -> None:
        """Crash; connections to the engine and the entries are reset."""
        super().die()
        for run in self._runs.values():
            if run.chunks:
                self.engine.cancel(run)
        for attempt in self.attempts.values():
            attempt.call.reset_attempt(self, attempt.number)
        self.attempts = {}

    def leave(self, on_done: Callable[[], None]) -> None:
        """Stop as on SIGTERM: refuse new requests, exit once idle."""
        self.leaving_since = self.leaving_since or self.world.now
        self.ask_sources()
        self.perform(start_leaving(self.state, self.now()))
        self._exit_when_idle(on_done)

    def handle_configuration_change(self) -> None:
        """Apply a changed text or changed marks."""
        self.perform(apply_configuration(self.state, self.now()))

    def receive(self, attempt: Attempt) -> None:
        """Handle an attempt, after catching up with the sender's revision."""
        self.catch_up(
            attempt.call.entry.stamp(),
            lambda caught_up: self._handle_attempt(attempt, caught_up),
        )

    def disconnect(self, request_id: str) -> None:
        """Handle the entry closing the connection of an attempt.

        An order goes on; any other request is cancelled at the engine.
        """
        attempt = self.attempts.pop(request_id, None)
        if attempt is None or attempt.arrival.key is not None:
            return
        run = self._runs.pop(request_id, None)
        if run is not None:
            self.engine.cancel(run)
        self.perform(cancel(self.state, request_id, self.now()))

    def perform(self, actions: tuple[ArrivalAction, ...]) -> None:
        """Perform the actions that a decision returned."""
        for action in actions:
            match action:
                case AcceptArrival(request_id):
                    self._notify_step(request_id, "admitted")
                    self._send_reply(request_id, AttemptAccepted)
                case RefuseArrival(request_id, refusal):
                    self._refuse(request_id, refusal)
                case AnswerArrival(request_id, entry):
                    self._answer_from_ledger(request_id, entry)
                case StartEngine(request_id):
                    self._start_engine(request_id)

    def _handle_attempt(self, attempt: Attempt, caught_up: bool) -> None:
        request_id = attempt.arrival.request_id
        self.attempts[request_id] = attempt
        if not caught_up or not self.is_serving():
            claim = Claim.NONE if attempt.arrival.key else Claim.NEVER
            self._refuse(request_id, Refusal(claim, Reason.BEHIND, self.now() + 0.5))
            return
        self.perform(handle_arrival(self.state, attempt.arrival, self.now()))

    def _start_engine(self, request_id: str) -> None:
        arrival = self.state.arrivals[request_id]
        attempt = self.attempts.get(request_id)
        order = arrival.key is not None
        work_id = arrival.key.text if arrival.key else request_id.rpartition(".")[0]
        if not self.engine.alive:
            result = EngineResult(EngineFeedback.FAILED, reached=False)
            self._finish_engine_call(request_id, result, 0)
            return
        first = attempt.resume_after + 1 if attempt else 1
        chunks = 0 if order else self.engine.count_chunks(work_id)
        run = EngineRun(work_id, first, chunks)
        self._runs[request_id] = run
        self.engine.run(
            run,
            lambda number: self._handle_chunk(request_id, work_id, number),
            lambda complete: self._handle_engine_end(request_id, run, complete, order),
            order,
        )
        self._notify_step(request_id, "given")

    def _handle_chunk(self, request_id: str, work_id: str, number: int) -> None:
        self.when_awake(lambda: self._forward_chunk(request_id, work_id, number))

    def _forward_chunk(self, request_id: str, work_id: str, number: int) -> None:
        if number == 1 or request_id not in self.attempts:
            self._send_reply(
                request_id, lambda attempt: HeadArrived(attempt, 200, "text/plain")
            )
        data = f"{work_id}/{number}".encode()
        self._send_reply(
            request_id, lambda attempt: ChunkArrived(attempt, number, data)
        )
        if number in _STEP_BY_CHUNK:
            self._notify_step(request_id, _STEP_BY_CHUNK[number])

    def _handle_engine_end(
        self, request_id: str, run: EngineRun, complete: bool, order: bool
    ) -> None:
        def handle_end() -> None:
            self._runs.pop(request_id, None)
            if order:
                self._notify_step(request_id, "first chunk")
                self._notify_step(request_id, "middle")
                self._notify_step(request_id, "last chunk")
            body = f"{run.work_id}/1".encode() if order and complete else b""
            self._finish_engine_call(
                request_id, make_engine_result(complete, body), run.chunks
            )

        self.when_awake(handle_end)

    def _finish_engine_call(
        self, request_id: str, result: EngineResult, chunks: int
    ) -> None:
        arrival = self.state.arrivals.get(request_id)
        if arrival is not None and arrival.key is None:
            if result.feedback is EngineFeedback.GOOD:
                self._send_reply(
                    request_id, lambda attempt: EndArrived(attempt, chunks)
                )
            elif not result.reached:
                refusal = Refusal(Claim.NEVER, Reason.ENGINE_DOWN, self.now() + 1.0)
                self._send_reply(
                    request_id, lambda attempt: AttemptRefused(attempt, refusal)
                )
            else:
                self._reset_connection(request_id)
            self.attempts.pop(request_id, None)
        self.perform(close_engine_call(self.state, request_id, result, self.now()))

    def _reset_connection(self, request_id: str) -> None:
        attempt = self.attempts.get(request_id)
        if attempt is not None:
            attempt.call.reset_attempt(self, attempt.number)

    def _refuse(self, request_id: str, refusal: Refusal) -> None:
        self._send_reply(request_id, lambda attempt: AttemptRefused(attempt, refusal))
        self.attempts.pop(request_id, None)

    def _answer_from_ledger(self, request_id: str, entry: LedgerEntry) -> None:
        if entry.status is not OrderStatus.DONE:
            never = entry.status is OrderStatus.TOMBSTONE
            claim = Claim.NEVER if never else Claim.MAYBE
            reason = Reason.TOMBSTONE if never else Reason.ENGINE_FAILED
            self._refuse(request_id, Refusal(claim, reason, self.now()))
            return
        self._send_reply(
            request_id, lambda attempt: HeadArrived(attempt, 200, "text/plain")
        )
        self._send_reply(
            request_id, lambda attempt: ChunkArrived(attempt, 1, entry.body)
        )
        self._send_reply(request_id, lambda attempt: EndArrived(attempt, 1))
        self.attempts.pop(request_id, None)

    def _send_reply(
        self, request_id: str, make_event: Callable[[int], CallEvent]
    ) -> None:
        attempt = self.attempts.get(request_id)
        if attempt is None:
            return
        event = make_event(attempt.number)
        stamp = self.stamp()
        load = describe_endpoint_load(self.state, self.now())
        call = attempt.call
        self.world.send(
            self,
            call.entry,
            lambda: call.handle_reply(self, event, stamp, load),
            kind=f"reply {call.watched}",
        )

    def _notify_step(self, request_id: str, step: str) -> None:
        attempt = self.attempts.get(request_id)
        if attempt is not None and attempt.call.watched:
            self.world.notify_step(step)

    def _exit_when_idle(self, on_done: Callable[[], None]) -> None:
        if may_exit(self.state, self.now()) and not self.attempts:
            self._hand_over_ledger()
            self.later(0.05, lambda: self._exit(on_done))
            return
        self.later(0.05, lambda: self._exit_when_idle(on_done))

    def _exit(self, on_done: Callable[[], None]) -> None:
        self.die()
        on_done()

    def _hand_over_ledger(self) -> None:
        for snapshot in close_ledger(self.state.orders):
            home = self.state.orders.homes[snapshot.service]
            for vm in home.wanted.to_ask - {self.name}:
                self._send_snapshot(vm, snapshot)

    def _send_snapshot(self, vm: str, snapshot: LedgerSnapshot) -> None:
        peer = self.peers[vm]
        assert isinstance(peer, EndpointDaemon)
        self.world.send(self, peer, lambda: store_snapshot(peer.state.orders, snapshot))

    def _probe(self) -> None:
        self.later(_PROBE_SECONDS, self._probe)
        if not self.engine.alive:
            self.perform(handle_engine_down(self.state, self.now()))
        elif not self.engine.frozen:
            self.perform(
                handle_engine_up(self.state, self.engine.boot, None, self.now())
            )

    def _tick(self) -> None:
        self.later(_TICK_SECONDS, self._tick)
        self.perform(tick(self.state, self.now()))

    def _query_homes(self) -> None:
        self.later(_HOME_QUERY_SECONDS, self._query_homes)
        fleet = self.configuration.fleet
        if fleet is None:
            return
        for service in tuple(self.state.orders.homes):
            bound = fleet.clock_bound
            settle_if_only_home(self.state.orders, service, bound, self.now())
            orders = self.state.orders
            questions = ask_homes(orders, service, self.now(), self.world.rng)
            for vm, question in questions:
                self._query_home(vm, question)

    def _query_home(self, vm: str, question: HomeQuestion) -> None:
        peer = self.peers[vm]
        assert isinstance(peer, EndpointDaemon)
        asker = self.stamp()

        def reply() -> None:
            peer.catch_up(asker, lambda _: None)
            revision = peer.configuration.text_revision
            answer = answer_question(peer.state.orders, question, revision)
            answerer = peer.stamp()

            def receive() -> None:
                self.catch_up(answerer, lambda _: None)
                fleet = self.configuration.fleet
                if fleet is not None:
                    own = self.configuration.text_revision
                    bound = fleet.clock_bound
                    record_answer(self.state.orders, answer, own, bound, self.now())

            self.world.send(peer, self, receive)

        self.world.send(self, peer, reply)
