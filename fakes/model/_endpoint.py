"""An endpoint daemon in the model: the product's decisions over fake I/O."""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from fakes.model._daemons import Daemon, Platform
from fakes.model._engine import CHUNKS, Engine, EngineRun, make_result
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

_PROBE = 0.2
_TICK = 0.1
_ASK = 0.3
_STEP_OF_CHUNK = {1: "first chunk", 2: "middle", CHUNKS: "last chunk"}


class Attempt(NamedTuple):
    """One attempt as it travels from an entry."""

    arrival: Arrival
    work: str
    number: int
    resume_after: int
    call: "EntryCallModel"


class EndpointDaemon(Daemon):
    """The daemon of one endpoint VM and its engine."""

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
        """Start a run with an empty ledger and a new boot."""
        super().start()
        self.leaving_since = 0.0
        boot_at = self.now()
        self.state = EndpointState(self.name, self.boot, boot_at, self.configuration)
        self.attempts = {}
        self._runs = {}
        self.later(0.0, self._probe)
        self.later(_TICK, self._tick)
        self.later(_ASK, self._ask)

    def die(self) -> None:
        """End; the connections to engine and entries break."""
        super().die()
        for run in self._runs.values():
            if run.chunks:
                self.engine.cancel(run)
        for attempt in self.attempts.values():
            attempt.call.break_attempt(self, attempt.number)
        self.attempts = {}

    def leave(self, then: Callable[[], None]) -> None:
        """Stop as on SIGTERM: refuse, finish, exit."""
        self.leaving_since = self.leaving_since or self.world.now
        self.ask_sources()
        self.perform(start_leaving(self.state, self.now()))
        self._exit_when_idle(then)

    def follow(self) -> None:
        """Follow a changed text or marks."""
        self.perform(apply_configuration(self.state, self.now()))

    def take(self, attempt: Attempt) -> None:
        """Take an attempt in, behind the sender's revision never."""
        self.catch_up(
            attempt.call.entry.stamp(), lambda known: self._take(attempt, known)
        )

    def hang_up(self, request_id: str) -> None:
        """Note that the entry has gone or has cancelled."""
        attempt = self.attempts.pop(request_id, None)
        if attempt is None or attempt.arrival.key is not None:
            return
        run = self._runs.pop(request_id, None)
        if run is not None:
            self.engine.cancel(run)
        self.perform(cancel(self.state, request_id, self.now()))

    def perform(self, actions: tuple[ArrivalAction, ...]) -> None:
        """Carry out actions."""
        for action in actions:
            match action:
                case AcceptArrival(request_id):
                    self._reach(request_id, "admitted")
                    self._say(request_id, AttemptAccepted)
                case RefuseArrival(request_id, refusal):
                    self._refuse(request_id, refusal)
                case AnswerArrival(request_id, entry):
                    self._answer(request_id, entry)
                case StartEngine(request_id):
                    self._start_engine(request_id)

    def _take(self, attempt: Attempt, known: bool) -> None:
        request_id = attempt.arrival.request_id
        self.attempts[request_id] = attempt
        if not known or not self.is_serving():
            claim = Claim.NONE if attempt.arrival.key else Claim.NEVER
            self._refuse(request_id, Refusal(claim, Reason.BEHIND, self.now() + 0.5))
            return
        self.perform(handle_arrival(self.state, attempt.arrival, self.now()))

    def _start_engine(self, request_id: str) -> None:
        arrival = self.state.arrivals[request_id]
        attempt = self.attempts.get(request_id)
        order = arrival.key is not None
        work = arrival.key.text if arrival.key else request_id.rpartition(".")[0]
        if not self.engine.alive:
            result = EngineResult(EngineFeedback.FAILED, reached=False)
            self._end(request_id, result, 0)
            return
        first = attempt.resume_after + 1 if attempt else 1
        chunks = 0 if order else self.engine.chunks_of(work)
        run = EngineRun(work, first, chunks)
        self._runs[request_id] = run
        self.engine.run(
            run,
            lambda number: self._chunk(request_id, work, number),
            lambda whole: self._engine_end(request_id, run, whole, order),
            order,
        )
        self._reach(request_id, "given")

    def _chunk(self, request_id: str, work: str, number: int) -> None:
        self.when_awake(lambda: self._pass_chunk(request_id, work, number))

    def _pass_chunk(self, request_id: str, work: str, number: int) -> None:
        if number == 1 or request_id not in self.attempts:
            self._say(request_id, lambda at: HeadArrived(at, 200, "text/plain"))
        data = f"{work}/{number}".encode()
        self._say(request_id, lambda at: ChunkArrived(at, number, data))
        if number in _STEP_OF_CHUNK:
            self._reach(request_id, _STEP_OF_CHUNK[number])

    def _engine_end(
        self, request_id: str, run: EngineRun, whole: bool, order: bool
    ) -> None:
        def end() -> None:
            self._runs.pop(request_id, None)
            if order:
                self._reach(request_id, "first chunk")
                self._reach(request_id, "middle")
                self._reach(request_id, "last chunk")
            body = f"{run.work}/1".encode() if order and whole else b""
            self._end(request_id, make_result(whole, body), run.chunks)

        self.when_awake(end)

    def _end(self, request_id: str, result: EngineResult, chunks: int) -> None:
        arrival = self.state.arrivals.get(request_id)
        if arrival is not None and arrival.key is None:
            if result.feedback is EngineFeedback.GOOD:
                self._say(request_id, lambda at: EndArrived(at, chunks))
            elif not result.reached:
                refusal = Refusal(Claim.NEVER, Reason.ENGINE_DOWN, self.now() + 1.0)
                self._say(request_id, lambda at: AttemptRefused(at, refusal))
            else:
                self._break(request_id)
            self.attempts.pop(request_id, None)
        self.perform(close_engine_call(self.state, request_id, result, self.now()))

    def _break(self, request_id: str) -> None:
        attempt = self.attempts.get(request_id)
        if attempt is not None:
            attempt.call.break_attempt(self, attempt.number)

    def _refuse(self, request_id: str, refusal: Refusal) -> None:
        self._say(request_id, lambda at: AttemptRefused(at, refusal))
        self.attempts.pop(request_id, None)

    def _answer(self, request_id: str, entry: LedgerEntry) -> None:
        if entry.status is not OrderStatus.DONE:
            never = entry.status is OrderStatus.TOMBSTONE
            claim = Claim.NEVER if never else Claim.MAYBE
            reason = Reason.TOMBSTONE if never else Reason.ENGINE_FAILED
            self._refuse(request_id, Refusal(claim, reason, self.now()))
            return
        self._say(request_id, lambda at: HeadArrived(at, 200, "text/plain"))
        self._say(request_id, lambda at: ChunkArrived(at, 1, entry.body))
        self._say(request_id, lambda at: EndArrived(at, 1))
        self.attempts.pop(request_id, None)

    def _say(self, request_id: str, make: Callable[[int], CallEvent]) -> None:
        attempt = self.attempts.get(request_id)
        if attempt is None:
            return
        event = make(attempt.number)
        stamp = self.stamp()
        load = describe_endpoint_load(self.state, self.now())
        call = attempt.call
        self.world.send(
            self,
            call.entry,
            lambda: call.take_reply(self, event, stamp, load),
            kind=f"reply {call.watched}",
        )

    def _reach(self, request_id: str, step: str) -> None:
        attempt = self.attempts.get(request_id)
        if attempt is not None and attempt.call.watched:
            self.world.reach(step)

    def _exit_when_idle(self, then: Callable[[], None]) -> None:
        if may_exit(self.state, self.now()) and not self.attempts:
            self._bequeath()
            self.later(0.05, lambda: self._exit(then))
            return
        self.later(0.05, lambda: self._exit_when_idle(then))

    def _exit(self, then: Callable[[], None]) -> None:
        self.die()
        then()

    def _bequeath(self) -> None:
        for bequest in close_ledger(self.state.orders):
            home = self.state.orders.homes[bequest.service]
            for vm in home.wanted.to_ask - {self.name}:
                self._give(vm, bequest)

    def _give(self, vm: str, bequest: LedgerSnapshot) -> None:
        peer = self.peers[vm]
        assert isinstance(peer, EndpointDaemon)
        self.world.send(self, peer, lambda: store_snapshot(peer.state.orders, bequest))

    def _probe(self) -> None:
        self.later(_PROBE, self._probe)
        if not self.engine.alive:
            self.perform(handle_engine_down(self.state, self.now()))
        elif not self.engine.frozen:
            self.perform(
                handle_engine_up(self.state, self.engine.boot, None, self.now())
            )

    def _tick(self) -> None:
        self.later(_TICK, self._tick)
        self.perform(tick(self.state, self.now()))

    def _ask(self) -> None:
        self.later(_ASK, self._ask)
        fleet = self.configuration.fleet
        if fleet is None:
            return
        for service in tuple(self.state.orders.homes):
            bound = fleet.clock_bound
            settle_if_only_home(self.state.orders, service, bound, self.now())
            orders = self.state.orders
            asked = ask_homes(orders, service, self.now(), self.world.rng)
            for vm, question in asked:
                self._ask_one(vm, question)

    def _ask_one(self, vm: str, question: HomeQuestion) -> None:
        peer = self.peers[vm]
        assert isinstance(peer, EndpointDaemon)
        asker = self.stamp()

        def reply() -> None:
            peer.catch_up(asker, lambda _: None)
            revision = peer.configuration.text_revision
            answer = answer_question(peer.state.orders, question, revision)
            answerer = peer.stamp()

            def take() -> None:
                self.catch_up(answerer, lambda _: None)
                fleet = self.configuration.fleet
                if fleet is not None:
                    own = self.configuration.text_revision
                    bound = fleet.clock_bound
                    record_answer(self.state.orders, answer, own, bound, self.now())

            self.world.send(peer, self, take)

        self.world.send(self, peer, reply)
