"""An entry daemon in the model: the product's decisions over fake I/O."""

from collections.abc import Callable

from fakes.model._daemons import Daemon
from fakes.model._endpoint import Attempt, EndpointDaemon
from mintsaddle.decisions.arrivals import Arrival, describe_endpoint_load
from mintsaddle.decisions.calls import (
    AttemptFailed,
    CallAction,
    CallerDisconnected,
    CallEvent,
    CallRequest,
    CallState,
    CancelAttempt,
    DeliverChunk,
    FinishCall,
    RoutingContext,
    SendAttempt,
    TimerFired,
    handle_event,
    next_deadline,
    start_call,
)
from mintsaddle.decisions.routing import (
    RouteRequest,
    RoutingState,
    clear_backoff,
    draw_key,
    record_load,
)
from mintsaddle.values import Load, OrderKey, Stamp

_LOOK = 0.5


class EntryDaemon(Daemon):
    """The daemon of one entry VM."""

    routing: RoutingState

    def start(self) -> None:
        """Start a run that knows no endpoint."""
        super().start()
        self.routing = RoutingState(self.name, self.data_centre)
        self.calls: set[EntryCallModel] = set()
        self.leaving = False
        self.later(_LOOK, self._poll_endpoints)

    def die(self) -> None:
        """End; connections to callers and endpoints break."""
        super().die()
        for call in tuple(self.calls):
            call.lose_entry()

    def leave(self, then: Callable[[], None]) -> None:
        """Stop as on SIGTERM: let the answers finish."""
        self.leaving = True
        if not self.calls:
            self.alive = False
            then()
            return
        self.later(0.05, lambda: self.leave(then))

    def follow(self) -> None:
        """Follow a changed text or marks."""
        fleet = self.configuration.fleet
        if fleet is not None:
            marks = self.configuration.marks
            back = [name for name in fleet.endpoints if not marks.is_out(fleet, name)]
            clear_backoff(self.routing, back)

    def issue(self, service: str) -> OrderKey | None:
        """Issue a key for a home that answers now."""
        fleet = self.configuration.fleet
        if fleet is None or not self.is_serving():
            return None
        route = RouteRequest(fleet.services[service], "", frozenset())
        marks = self.configuration.marks
        rng = self.world.rng
        now = self.now()
        drawn = draw_key(self.routing, fleet, marks, route, now, rng)
        return drawn.key if drawn else None

    def _poll_endpoints(self) -> None:
        self.later(_LOOK, self._poll_endpoints)
        fleet = self.configuration.fleet
        if fleet is None:
            return
        for name in fleet.endpoints:
            if self.routing.view(name).boot is None:
                self._poll_endpoint(name)

    def _poll_endpoint(self, name: str) -> None:
        peer = self.peers[name]
        assert isinstance(peer, EndpointDaemon)

        def reply() -> None:
            stamp = peer.stamp()
            load = describe_endpoint_load(peer.state, peer.now())

            def take() -> None:
                record_load(self.routing, name, stamp.boot, load, self.now())

            self.world.send(peer, self, take)

        self.world.send(self, peer, reply)


class EntryCallModel:
    """One call at one entry."""

    def __init__(
        self,
        entry: EntryDaemon,
        request: CallRequest,
        work: str,
        watched: bool,
        tell: Callable[[FinishCall | None, list[bytes]], None],
    ) -> None:
        self.entry = entry
        self.watched = watched
        self.first_at: float | None = None
        self.longest_gap = 0.0
        self._last_at = 0.0
        self._work = work
        self._tell = tell
        self._chunks: list[bytes] = []
        self._state = CallState(request)
        self._targets: dict[int, EndpointDaemon] = {}

    def start(self) -> None:
        """Begin the call."""
        self.entry.calls.add(self)
        self._reach("arrived")
        if not self.entry.alive:
            return
        self._perform(start_call(self._state, self._facts(), self.entry.now()))

    def hang_up(self) -> None:
        """The caller goes."""
        self.entry.when_awake(lambda: self.handle(CallerDisconnected()))
        self.entry.calls.discard(self)

    def handle(self, event: CallEvent) -> None:
        """Move the call on."""
        now = self.entry.now()
        self._perform(handle_event(self._state, self._facts(), event, now))

    def take_reply(
        self, endpoint: EndpointDaemon, event: CallEvent, stamp: Stamp, load: Load
    ) -> None:
        """Take a reply with what rides on it."""
        if self not in self.entry.calls:
            return
        self.entry.catch_up(stamp, lambda _: None)
        now = self.entry.now()
        record_load(self.entry.routing, endpoint.name, stamp.boot, load, now)
        self.handle(event)

    def break_attempt(self, endpoint: EndpointDaemon, number: int) -> None:
        """The connection to an endpoint daemon was reset."""
        world = self.entry.world
        event = AttemptFailed(number, sent=True)
        world.send(endpoint, self.entry, lambda: self.handle(event))

    def lose_entry(self) -> None:
        """The entry died: the endpoints see their connections reset."""
        self.entry.calls.discard(self)
        for number, endpoint in self._targets.items():
            request_id = f"{self._state.request.request_id}.{number}"
            self.entry.world.send(
                self.entry, endpoint, self._make_hang_up(endpoint, request_id)
            )
        self._tell(None, self._chunks)

    def _make_hang_up(
        self, endpoint: EndpointDaemon, request_id: str
    ) -> Callable[[], None]:
        return lambda: endpoint.hang_up(request_id)

    def _facts(self) -> RoutingContext:
        configuration = self.entry.configuration
        assert configuration.fleet is not None
        return RoutingContext(
            configuration.fleet,
            configuration.marks,
            self.entry.routing,
            self.entry.world.rng,
        )

    def _perform(self, actions: tuple[CallAction, ...]) -> None:
        for action in actions:
            match action:
                case SendAttempt():
                    self._send(action)
                case CancelAttempt(attempt):
                    endpoint = self._targets[attempt]
                    name = f"{self._state.request.request_id}.{attempt}"
                    self.entry.world.send(
                        self.entry, endpoint, self._make_hang_up(endpoint, name)
                    )
                case DeliverChunk(_, data):
                    self._record_chunk()
                    self._chunks.append(data)
                case FinishCall():
                    self._reach("answered")
                    if self in self.entry.calls:
                        self.entry.calls.discard(self)
                        self._tell(action, self._chunks)

    def _record_chunk(self) -> None:
        now = self.entry.world.now
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self._last_at)
        self._last_at = now

    def _send(self, action: SendAttempt) -> None:
        request = self._state.request
        endpoint = self.entry.peers[action.endpoint]
        assert isinstance(endpoint, EndpointDaemon)
        world = self.entry.world
        if self.watched:
            world.watched_endpoint = endpoint.name
        if action.key is not None:
            world.owners[action.key.text] = self._work
        self._reach("routed")
        if not self.entry.alive:
            return
        self._targets[action.attempt] = endpoint
        arrival = Arrival(
            f"{request.request_id}.{action.attempt}",
            request.service.name,
            request.workspace,
            request.priority,
            request.deadline,
            action.key,
            action.resume_after > 0,
        )
        number = action.attempt
        attempt = Attempt(arrival, self._work, number, action.resume_after, self)
        # A message that is lost, doubled or late is sent all the same; the
        # connection that is refused is the only thing that proves it unsent.
        world.send(
            self.entry,
            endpoint,
            lambda: endpoint.take(attempt),
            kind=f"request {self.watched}",
            refused=lambda: self.handle(AttemptFailed(number, sent=False)),
        )
        self._reach("sent")
        self._set_timer()

    def _set_timer(self) -> None:
        wait = max(0.0, next_deadline(self._state) - self.entry.now())
        self.entry.later(wait + 1e-6, self._wake)

    def _wake(self) -> None:
        if self._state.over:
            return
        if self.entry.now() >= next_deadline(self._state):
            self.handle(TimerFired())
        if not self._state.over:
            self._set_timer()

    def _reach(self, step: str) -> None:
        if self.watched:
            self.entry.world.reach(step)
