"""What both roles share in the model: identity, configuration, start gate."""

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

check_cached = lru_cache(maxsize=64)(read_fleet)
"""The product's check; each text is parsed once for all worlds."""

_POLL = 0.4
_ANSWER = 0.3
_REST = 2.0
_GATE_TIMEOUT = 2.0


class Platform(Process):
    """The published values; what is read here is what daemons may know."""

    def __init__(self, world: World) -> None:
        super().__init__(world, "platform", "platform")
        self.text = (0, "")
        self.marks = (0, "")
        self.newest_text = 0
        self.newest_marks = 0

    def publish_text(self, revision: int, text: str) -> None:
        """Publish a text as an operator does."""
        self.text = (revision, text)
        self.newest_text = max(revision, self.newest_text)

    def publish_marks(self, revision: int, text: str) -> None:
        """Publish marks as an operator does."""
        self.marks = (revision, text)
        self.newest_marks = max(revision, self.newest_marks)


class Daemon(Process):
    """One VM's daemon: follows the configuration and opens its start gate."""

    def __init__(
        self, world: World, name: str, data_centre: str, platform: Platform
    ) -> None:
        super().__init__(world, name, data_centre)
        self.platform = platform
        self.peers: dict[str, Daemon] = {}
        self.boot = 0
        self.configuration = ConfigurationState()
        self.gate = ReadinessGate(frozenset())
        self.adopted: list[tuple[int, int]] = []
        self.served: list[tuple[int, int]] = []
        self._resting: dict[str, float] = {}

    def start(self) -> None:
        """Start a new run that knows nothing."""
        super().start()
        self.boot = self.world.rng.getrandbits(BOOT_BITS)
        self.configuration = ConfigurationState()
        self.gate = ReadinessGate(frozenset(), give_up_at=self.now() + _GATE_TIMEOUT)
        self._resting = {}
        self.later(self.world.rng.random() * _POLL, self._poll)

    def stamp(self) -> Stamp:
        """Return the stamp of each message."""
        return make_stamp(self.configuration, self.name, self.boot)

    def is_serving(self) -> bool:
        """Return whether the start gate is open; note what is served on."""
        open_now = is_open(self.gate, self.configuration, self.now())
        if open_now:
            self.served.append((self.run_number, self.configuration.text_revision))
        return open_now

    def follow(self) -> None:
        """React to a change of text or marks; roles add their own."""

    def catch_up(self, stamp: Stamp, then: Callable[[bool], None]) -> None:
        """Pull from a sender that knows more before acting."""
        if not must_wait_for_text(self.configuration, stamp):
            then(True)
            return

        def judge(_: bool) -> None:
            then(not must_wait_for_text(self.configuration, stamp))

        self.fetch(stamp.vm, judge)

    def fetch(self, vm: str, then: Callable[[bool], None]) -> None:
        """Ask a peer for what is newer."""
        peer = self.peers[vm]
        asker = self.stamp()
        done: list[bool] = []

        def finish(answered: bool) -> None:
            if not done:
                done.append(answered)
                if answered:
                    heard = self.gate.answered | {vm}
                    self.gate = self.gate._replace(answered=heard)
                then(answered)

        def reply() -> None:
            held = peer.configuration
            text = (held.text_revision, held.text)
            marks = (held.marks_revision, held.marks_text)
            self.world.send(peer, self, lambda: take(text, marks))

        def take(text: tuple[int, str], marks: tuple[int, str]) -> None:
            if text[0] > asker.text_revision:
                self.offer_text(*text)
            if marks[0] > asker.marks_revision:
                self.offer_marks(*marks)
            finish(True)

        self.world.send(self, peer, reply, refused=lambda: finish(False))
        self.later(_ANSWER, lambda: finish(False))

    def offer_text(self, revision: int, text: str) -> None:
        """Adopt a text if it is newer."""
        adoption = adopt_text(self.configuration, revision, text, check_cached)
        if adoption is Adoption.ADOPTED:
            self.adopted.append((self.run_number, revision))
            self._ask_first_peers()
            self.follow()

    def offer_marks(self, revision: int, text: str) -> None:
        """Adopt marks if they are newer."""
        if adopt_marks(self.configuration, revision, text) is Adoption.ADOPTED:
            self.world.marks_known.setdefault(revision, self.world.now)
            self.follow()

    def _ask_first_peers(self) -> None:
        fleet = self.configuration.fleet
        if fleet is None or self.gate.asked:
            return
        peers = choose_startup_peers(fleet, self.name, self.data_centre)
        self.gate = self.gate._replace(asked=frozenset(peers))
        for vm in peers:
            self.fetch(vm, self._make_judge(vm))

    def _make_judge(self, vm: str) -> Callable[[bool], None]:
        def judge(answered: bool) -> None:
            if not answered:
                silent = self.gate.unreachable | {vm}
                self.gate = self.gate._replace(unreachable=silent)

        return judge

    def _poll(self) -> None:
        """Ask again and again, as the daemon does."""
        self.later(_POLL, self._poll)
        self.ask_sources()

    def ask_sources(self) -> None:
        """Ask where this daemon hears of news."""
        now = self.now()
        resting = {vm for vm, until in self._resting.items() if until > now}
        fleet = self.configuration.fleet
        sources = choose_sources(fleet, self.name, self.data_centre, resting)
        if sources[0].kind is SourceKind.PLATFORM:
            self._read_platform()
        peers = [source.vm for source in sources if source.kind is SourceKind.PEER]
        if peers:
            self.fetch(peers[0], self._make_rest(peers[0]))
        elif fleet is None:
            # The settings' peers: any daemon that can be reached.
            self.fetch(min(self.peers), lambda _: None)

    def _make_rest(self, vm: str) -> Callable[[bool], None]:
        def rest(answered: bool) -> None:
            if not answered:
                self._resting[vm] = self.now() + _REST

        return rest

    def _read_platform(self) -> None:
        platform = self.platform
        if not platform.alive or self.data_centre in self.world.cut_from_platform:
            return
        self.gate = self.gate._replace(platform_answered=True)
        if platform.text[0]:
            self.offer_text(*platform.text)
        if platform.marks[0]:
            self.offer_marks(*platform.marks)
