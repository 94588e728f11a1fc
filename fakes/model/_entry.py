"""The entry daemon of the model: the real decisions over fake I/O."""

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

_POLL_SECONDS = 0.5


class EntryDaemon(Daemon):
    """The daemon of one entry VM."""

    routing: RoutingState

    def start(self) -> None:
        """Start a run without any endpoint state."""
        super().start()
        self.routing = RoutingState(self.name, self.data_centre)
        self.calls: set[EntryCallModel] = set()
        self.leaving = False
        self.later(_POLL_SECONDS, self._poll_endpoints)

    def die(self) -> None:
        """Crash; connections to callers and endpoints are reset."""
        super().die()
        for call in tuple(self.calls):
            call.handle_entry_crash()

    def leave(self, on_done: Callable[[], None]) -> None:
        """Stop as on SIGTERM: exit once all calls have finished."""
        self.leaving = True
        if not self.calls:
            self.alive = False
            on_done()
            return
        self.later(0.05, lambda: self.leave(on_done))

    def handle_configuration_change(self) -> None:
        """Clear the backoff of endpoints that aren't marked out."""
        fleet = self.configuration.fleet
        if fleet is not None:
            marks = self.configuration.marks
            available = [
                name for name in fleet.endpoints if not marks.is_out(fleet, name)
            ]
            clear_backoff(self.routing, available)

    def issue_key(self, service: str) -> OrderKey | None:
        """Issue an order key for an available home, if there is one."""
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
        self.later(_POLL_SECONDS, self._poll_endpoints)
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

            def receive() -> None:
                record_load(self.routing, name, stamp.boot, load, self.now())

            self.world.send(peer, self, receive)

        self.world.send(self, peer, reply)


class EntryCallModel:
    """A call in progress at an entry."""

    def __init__(
        self,
        entry: EntryDaemon,
        request: CallRequest,
        work_id: str,
        watched: bool,
        on_finish: Callable[[FinishCall | None, list[bytes]], None],
    ) -> None:
        self.entry = entry
        self.watched = watched
        self.first_chunk_at: float | None = None
        self.longest_gap = 0.0
        self._last_chunk_at = 0.0
        self._work_id = work_id
        self._on_finish = on_finish
        self._chunks: list[bytes] = []
        self._state = CallState(request)
        self._targets: dict[int, EndpointDaemon] = {}

    def start(self) -> None:
        """Start the call; a fault at its first step may kill the entry."""
        self.entry.calls.add(self)
        self._notify_step("arrived")
        if not self.entry.alive:
            return
        self._perform(
            start_call(self._state, self._routing_context(), self.entry.now())
        )

    def disconnect(self) -> None:
        """Handle the caller closing its connection."""
        self.entry.when_awake(lambda: self.handle(CallerDisconnected()))
        self.entry.calls.discard(self)

    def handle(self, event: CallEvent) -> None:
        """Pass an event to the call's state machine and act on the result."""
        now = self.entry.now()
        self._perform(handle_event(self._state, self._routing_context(), event, now))

    def handle_reply(
        self, endpoint: EndpointDaemon, event: CallEvent, stamp: Stamp, load: Load
    ) -> None:
        """Handle a reply with the stamp and the load that it carries."""
        if self not in self.entry.calls:
            return
        self.entry.catch_up(stamp, lambda _: None)
        now = self.entry.now()
        record_load(self.entry.routing, endpoint.name, stamp.boot, load, now)
        self.handle(event)

    def reset_attempt(self, endpoint: EndpointDaemon, number: int) -> None:
        """Report to the entry that an endpoint reset its connection."""
        world = self.entry.world
        event = AttemptFailed(number, sent=True)
        world.send(endpoint, self.entry, lambda: self.handle(event))

    def handle_entry_crash(self) -> None:
        """Handle the entry's crash: endpoints see their connections reset."""
        self.entry.calls.discard(self)
        for number, endpoint in self._targets.items():
            request_id = f"{self._state.request.request_id}.{number}"
            self.entry.world.send(
                self.entry, endpoint, self._make_disconnect(endpoint, request_id)
            )
        self._on_finish(None, self._chunks)

    def _make_disconnect(
        self, endpoint: EndpointDaemon, request_id: str
    ) -> Callable[[], None]:
        return lambda: endpoint.disconnect(request_id)

    def _routing_context(self) -> RoutingContext:
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
                        self.entry, endpoint, self._make_disconnect(endpoint, name)
                    )
                case DeliverChunk(_, data):
                    self._record_chunk()
                    self._chunks.append(data)
                case FinishCall():
                    self._notify_step("answered")
                    if self in self.entry.calls:
                        self.entry.calls.discard(self)
                        self._on_finish(action, self._chunks)

    def _record_chunk(self) -> None:
        now = self.entry.world.now
        if self.first_chunk_at is None:
            self.first_chunk_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self._last_chunk_at)
        self._last_chunk_at = now

    def _send(self, action: SendAttempt) -> None:
        request = self._state.request
        endpoint = self.entry.peers[action.endpoint]
        assert isinstance(endpoint, EndpointDaemon)
        world = self.entry.world
        if self.watched:
            world.watched_endpoint = endpoint.name
        if action.key is not None:
            world.calls_by_key[action.key.text] = self._work_id
        self._notify_step("routed")
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
        attempt = Attempt(arrival, self._work_id, number, action.resume_after, self)
        # A lost, duplicated or late message still counts as sent. Only a
        # refused connection proves that the attempt wasn't sent.
        world.send(
            self.entry,
            endpoint,
            lambda: endpoint.receive(attempt),
            kind=f"request {self.watched}",
            on_refused=lambda: self.handle(AttemptFailed(number, sent=False)),
        )
        self._notify_step("sent")
        self._set_timer()

    def _set_timer(self) -> None:
        wait = max(0.0, next_deadline(self._state) - self.entry.now())
        self.entry.later(wait + 1e-6, self._handle_timer)

    def _handle_timer(self) -> None:
        if self._state.over:
            return
        if self.entry.now() >= next_deadline(self._state):
            self.handle(TimerFired())
        if not self._state.over:
            self._set_timer()

    def _notify_step(self, step: str) -> None:
        if self.watched:
            self.entry.world.notify_step(step)
