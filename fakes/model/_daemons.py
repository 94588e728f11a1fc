"""The part that both roles share: identity, configuration, readiness gate."""

from collections.abc import Callable
from functools import lru_cache

from fakes.model._world import Process, World
from mintsaddle.decisions.configuration import (
    Adoption,
    ConfigurationState,
    ReadinessGate,
    SourceKind,
    adopt_marks,
    adopt_text,
    choose_sources,
    choose_startup_peers,
    is_open,
    make_stamp,
    must_wait_for_text,
)
from mintsaddle.fleet import read_fleet
from mintsaddle.values import BOOT_BITS, Stamp

read_fleet_cached = lru_cache(maxsize=64)(read_fleet)
"""The parser of fleet texts; each text is parsed once per process."""

_POLL_SECONDS = 0.4
_FETCH_TIMEOUT_SECONDS = 0.3
_SOURCE_BACKOFF_SECONDS = 2.0
_GATE_TIMEOUT_SECONDS = 2.0


class Platform(Process):
    """The platform's configuration service.

    Daemons read ``text`` and ``marks``, which may be older than the newest
    published revisions, as from a stale replica.
    """

    def __init__(self, world: World) -> None:
        super().__init__(world, "platform", "platform")
        self.text = (0, "")
        self.marks = (0, "")
        self.newest_text = 0
        self.newest_marks = 0

    def publish_text(self, revision: int, text: str) -> None:
        """Publish a text, as an operator does."""
        self.text = (revision, text)
        self.newest_text = max(revision, self.newest_text)

    def publish_marks(self, revision: int, text: str) -> None:
        """Publish marks, as an operator does."""
        self.marks = (revision, text)
        self.newest_marks = max(revision, self.newest_marks)


class Daemon(Process):
    """The daemon of a VM: its configuration and its readiness gate."""

    def __init__(
        self, world: World, name: str, data_centre: str, platform: Platform
    ) -> None:
        super().__init__(world, name, data_centre)
        self.platform = platform
        self.peers: dict[str, Daemon] = {}
        self.boot = 0
        self.configuration = ConfigurationState()
        self.gate = ReadinessGate(frozenset())
        self.adopted_revisions: list[tuple[int, int]] = []
        self.served_revisions: list[tuple[int, int]] = []
        self._backoff_until: dict[str, float] = {}

    def start(self) -> None:
        """Start a new run without any configuration."""
        super().start()
        self.boot = self.world.rng.getrandbits(BOOT_BITS)
        self.configuration = ConfigurationState()
        self.gate = ReadinessGate(
            frozenset(), give_up_at=self.now() + _GATE_TIMEOUT_SECONDS
        )
        self._backoff_until = {}
        self.later(self.world.rng.random() * _POLL_SECONDS, self._poll)

    def stamp(self) -> Stamp:
        """Return the stamp that goes with each message."""
        return make_stamp(self.configuration, self.name, self.boot)

    def is_serving(self) -> bool:
        """Return whether the gate is open; if so, record the text revision."""
        serving = is_open(self.gate, self.configuration, self.now())
        if serving:
            self.served_revisions.append(
                (self.run_number, self.configuration.text_revision)
            )
        return serving

    def handle_configuration_change(self) -> None:
        """React to a changed text or marks; each role overrides this."""

    def catch_up(self, stamp: Stamp, on_done: Callable[[bool], None]) -> None:
        """Fetch from a sender that has a newer text, then call ``on_done``.

        ``on_done`` gets whether the sender's revision is known by then.
        """
        if not must_wait_for_text(self.configuration, stamp):
            on_done(True)
            return

        def check_result(_: bool) -> None:
            on_done(not must_wait_for_text(self.configuration, stamp))

        self.fetch(stamp.vm, check_result)

    def fetch(self, vm: str, on_done: Callable[[bool], None]) -> None:
        """Ask a peer for a newer text and newer marks."""
        peer = self.peers[vm]
        asker = self.stamp()
        done: list[bool] = []

        def finish(answered: bool) -> None:
            if not done:
                done.append(answered)
                if answered:
                    answered_peers = self.gate.answered | {vm}
                    self.gate = self.gate._replace(answered=answered_peers)
                on_done(answered)

        def reply() -> None:
            known = peer.configuration
            text = (known.text_revision, known.text)
            marks = (known.marks_revision, known.marks_text)
            self.world.send(peer, self, lambda: receive(text, marks))

        def receive(text: tuple[int, str], marks: tuple[int, str]) -> None:
            if text[0] > asker.text_revision:
                self.offer_text(*text)
            if marks[0] > asker.marks_revision:
                self.offer_marks(*marks)
            finish(True)

        self.world.send(self, peer, reply, on_refused=lambda: finish(False))
        self.later(_FETCH_TIMEOUT_SECONDS, lambda: finish(False))

    def offer_text(self, revision: int, text: str) -> None:
        """Adopt a text if it is newer than the own one."""
        adoption = adopt_text(self.configuration, revision, text, read_fleet_cached)
        if adoption is Adoption.ADOPTED:
            self.adopted_revisions.append((self.run_number, revision))
            self._fetch_from_startup_peers()
            self.handle_configuration_change()

    def offer_marks(self, revision: int, text: str) -> None:
        """Adopt marks if they are newer than the own ones."""
        if adopt_marks(self.configuration, revision, text) is Adoption.ADOPTED:
            self.world.marks_adopted_at.setdefault(revision, self.world.now)
            self.handle_configuration_change()

    def _fetch_from_startup_peers(self) -> None:
        fleet = self.configuration.fleet
        if fleet is None or self.gate.asked:
            return
        peers = choose_startup_peers(fleet, self.name, self.data_centre)
        self.gate = self.gate._replace(asked=frozenset(peers))
        for vm in peers:
            self.fetch(vm, self._make_unreachable_recorder(vm))

    def _make_unreachable_recorder(self, vm: str) -> Callable[[bool], None]:
        def record_failure(answered: bool) -> None:
            if not answered:
                unreachable = self.gate.unreachable | {vm}
                self.gate = self.gate._replace(unreachable=unreachable)

        return record_failure

    def _poll(self) -> None:
        """Poll the sources at a fixed interval, as the daemon does."""
        self.later(_POLL_SECONDS, self._poll)
        self.ask_sources()

    def ask_sources(self) -> None:
        """Ask the sources that this daemon gets its configuration from."""
        now = self.now()
        backing_off = {vm for vm, until in self._backoff_until.items() if until > now}
        fleet = self.configuration.fleet
        sources = choose_sources(fleet, self.name, self.data_centre, backing_off)
        if sources[0].kind is SourceKind.PLATFORM:
            self._read_platform()
        peers = [source.vm for source in sources if source.kind is SourceKind.PEER]
        if peers:
            self.fetch(peers[0], self._make_backoff_recorder(peers[0]))
        elif fleet is None:
            # Stands in for the peers that the daemon's settings list.
            self.fetch(min(self.peers), lambda _: None)

    def _make_backoff_recorder(self, vm: str) -> Callable[[bool], None]:
        def record_failure(answered: bool) -> None:
            if not answered:
                self._backoff_until[vm] = self.now() + _SOURCE_BACKOFF_SECONDS

        return record_failure

    def _read_platform(self) -> None:
        platform = self.platform
        if not platform.alive or self.data_centre in self.world.cut_from_platform:
            return
        self.gate = self.gate._replace(platform_answered=True)
        if platform.text[0]:
            self.offer_text(*platform.text)
        if platform.marks[0]:
            self.offer_marks(*platform.marks)
