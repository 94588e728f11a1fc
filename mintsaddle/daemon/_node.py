"""State that both roles share: clock, configuration, connections."""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

from google.protobuf.message import Message
from returns.result import Success

from mintsaddle.decisions.configuration import (
    Adoption,
    ConfigurationState,
    ReadinessGate,
    adopt_marks,
    adopt_text,
    choose_startup_peers,
    is_open,
    make_stamp,
    must_wait_for_text,
)
from mintsaddle.fleet import read_fleet
from mintsaddle.observe import HistogramRegistry, make_logger
from mintsaddle.process import WorkerPool, run_job
from mintsaddle.settings import Settings
from mintsaddle.transport import (
    ChannelPool,
    LoopThread,
    decompress_value,
    read_stamp,
    write_stamp,
)
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import PeerStub
from mintsaddle.values import BOOT_BITS, Boot, Clock, Instant, Stamp, render_findings

FETCH_TIMEOUT = 1.0
"""Seconds for a peer to answer, on top of the wait that a fetch asks for."""

_HELPER_THREADS = 8
_GATE_TIMEOUT_SECONDS = 2.0
_log = make_logger("configuration")


def make_clock() -> Clock:
    """Return a clock that starts at the system time and never steps back.

    Guards against a system clock that is set back while the daemon runs:
    deadlines and key dates would then be compared against two time bases.
    """
    offset = time.time() - time.monotonic()
    return lambda: time.monotonic() + offset


class DaemonNode:
    """State of one daemon process, owned by its event loop."""

    def __init__(self, settings: Settings, loop_thread: LoopThread) -> None:
        self._settings = settings
        self._loop_thread = loop_thread
        self._clock = make_clock()
        self._rng = random.Random()
        self._boot: Boot = self._rng.getrandbits(BOOT_BITS)
        self._boot_at = self._clock()
        self._configuration = ConfigurationState()
        self._channels = ChannelPool()
        self._executor = WorkerPool(_HELPER_THREADS, "helper")
        self._histograms = HistogramRegistry()
        self._gate = ReadinessGate(
            frozenset(), give_up_at=self._boot_at + _GATE_TIMEOUT_SECONDS
        )
        self._changed = asyncio.Event()
        self._change_listeners: list[Callable[[], None]] = []
        self._pulls: dict[str, asyncio.Task[bool]] = {}
        self._backoff_until: dict[str, Instant] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._control_bytes = 0
        self._leaving = False

    @property
    def settings(self) -> Settings:
        """The settings of this daemon."""
        return self._settings

    @property
    def loop_thread(self) -> LoopThread:
        """The thread that runs the event loop."""
        return self._loop_thread

    @property
    def rng(self) -> random.Random:
        """The random source that is passed to decisions."""
        return self._rng

    @property
    def boot(self) -> Boot:
        """Boot number of this daemon process."""
        return self._boot

    @property
    def boot_at(self) -> Instant:
        """When this daemon process started."""
        return self._boot_at

    @property
    def configuration(self) -> ConfigurationState:
        """The active fleet text and marks."""
        return self._configuration

    @property
    def channels(self) -> ChannelPool:
        """Connections to other daemons."""
        return self._channels

    @property
    def executor(self) -> WorkerPool:
        """Thread pool for blocking calls."""
        return self._executor

    @property
    def histograms(self) -> HistogramRegistry:
        """Histograms of this daemon."""
        return self._histograms

    @property
    def gate(self) -> ReadinessGate:
        """Which startup peers were asked and which have answered."""
        return self._gate

    @property
    def control_bytes(self) -> int:
        """Bytes of messages between daemons that carry no caller's request."""
        return self._control_bytes

    @property
    def leaving(self) -> bool:
        """Whether this daemon was told to stop."""
        return self._leaving

    def now(self) -> Instant:
        """Return the current time."""
        return self._clock()

    def stamp(self) -> Stamp:
        """Return the stamp that each outgoing message carries."""
        return make_stamp(self._configuration, self._settings.vm, self._boot)

    def is_serving(self) -> bool:
        """Return whether the readiness gate is open."""
        return is_open(self._gate, self._configuration, self.now())

    def mark_leaving(self) -> None:
        """Record that this daemon was told to stop."""
        self._leaving = True

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener for changes of the fleet text and the marks."""
        self._change_listeners.append(listener)

    def back_off_peer(self, vm: str, until: Instant) -> None:
        """Exclude a peer that didn't answer as a source for a while."""
        self._backoff_until[vm] = until

    def peers_in_backoff(self) -> frozenset[str]:
        """Return the peers that are excluded as sources at present."""
        now = self.now()
        self._backoff_until = {
            vm: until for vm, until in self._backoff_until.items() if until > now
        }
        return frozenset(self._backoff_until)

    def count_control_bytes(self, *messages: Message) -> None:
        """Add the sizes of control messages to the byte count."""
        for message in messages:
            self._control_bytes += message.ByteSize()

    def spawn(self, name: str, job: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a background job until it returns, again after any exception.

        Args:
            name: Name of the job in the record of failures.
            job: Returns the coroutine of a run.
        """
        task = asyncio.ensure_future(run_job(name, job, self._loop_thread.failures))
        # The loop keeps only weak references to tasks.
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_platform_answer(self) -> None:
        """Record that the platform has answered."""
        self._gate = self._gate._replace(platform_answered=True)

    def ask_startup_peers(self) -> None:
        """Choose and ask the startup peers, once a fleet text is known."""
        fleet = self._configuration.fleet
        if fleet is None or self._gate.asked:
            return
        settings = self._settings
        peers = choose_startup_peers(fleet, settings.vm, settings.data_centre)
        self._gate = self._gate._replace(asked=frozenset(peers))
        for peer in peers:
            address = fleet.address_of(peer)
            if address:
                self.pull_from(address, peer)

    def pull_from(self, address: str, peer: str = "") -> "asyncio.Task[bool]":
        """Fetch a newer configuration, once at a time per address."""
        task = self._pulls.get(address)
        if task is None or task.done():
            task = asyncio.ensure_future(self._pull(address, peer))
            self._pulls[address] = task
        return task

    async def catch_up(self, stamp: Stamp, address: str) -> bool:
        """Pull if the sender is newer; return whether this daemon caught up.

        Guards against acting on an old text although a newer one is known,
        which would send work to a data centre that is marked out.
        """
        if not must_wait_for_text(self._configuration, stamp):
            return True
        if not address:
            return False
        await self.pull_from(address)
        return not must_wait_for_text(self._configuration, stamp)

    def pull_if_behind(self, stamp: Stamp, address: str) -> None:
        """Pull in the background if the sender has a newer configuration."""
        if address and must_wait_for_text(self._configuration, stamp):
            self.pull_from(address)

    async def fetch(self, address: str, wait: float) -> bool:
        """Fetch newer configuration; return whether the daemon answered."""
        request = pb.FetchRequest(
            stamp=write_stamp(self.stamp()), wait_until=self.now() + wait
        )
        stub = PeerStub(self._channels.open(address))
        try:
            reply = await stub.Fetch(request, timeout=wait + FETCH_TIMEOUT)
        except Exception as error:
            _log.debug(
                "Configuration fetch from %s failed: %s.", address, type(error).__name__
            )
            self._channels.drop(address)
            return False
        self.count_control_bytes(request, reply)
        sender = read_stamp(reply.stamp)
        if reply.text:
            text = decompress_value(reply.text)
            if text is not None:
                await self.offer_text(sender.text_revision, text)
        if reply.marks:
            marks = decompress_value(reply.marks)
            if marks is not None:
                self.offer_marks(sender.marks_revision, marks)
        # Recorded after adoption: otherwise the gate would open before the
        # peer's configuration is active.
        answered = self._gate.answered | {sender.vm}
        self._gate = self._gate._replace(answered=answered)
        return True

    async def offer_text(self, revision: int, text: str) -> None:
        """Adopt a text if it is newer; a worker thread validates it."""
        if revision <= self._configuration.text_revision:
            return
        loop = self._loop_thread.loop
        checked = await loop.run_in_executor(self._executor, read_fleet, "fleet", text)
        adoption = adopt_text(self._configuration, revision, text, lambda *_: checked)
        if adoption is Adoption.ADOPTED:
            _log.info("Fleet text %d is in force.", revision)
            self._notify_listeners()
        elif adoption is Adoption.REFUSED and not isinstance(checked, Success):
            findings = render_findings(checked.failure())
            _log.error("Fleet text %d is refused:\n%s", revision, findings)

    def offer_marks(self, revision: int, text: str) -> None:
        """Adopt marks if they are newer."""
        adoption = adopt_marks(self._configuration, revision, text)
        if adoption is Adoption.ADOPTED:
            _log.info("Marks %d are in force.", revision)
            self._notify_listeners()
        elif adoption is Adoption.REFUSED:
            _log.error("Marks %d are refused.", revision)

    async def wait_for_change(self, stamp: Stamp, wait: float) -> None:
        """Wait up to ``wait`` seconds for configuration newer than a stamp."""
        deadline = self.now() + wait
        own = self.stamp()
        while not own.is_newer_than(stamp) and self.now() < deadline:
            try:
                await asyncio.wait_for(self._changed.wait(), deadline - self.now())
            except TimeoutError:
                return
            own = self.stamp()

    async def _pull(self, address: str, peer: str) -> bool:
        answered = await self.fetch(address, 0.0)
        if not answered and peer:
            self._gate = self._gate._replace(
                unreachable=self._gate.unreachable | {peer}
            )
        return answered

    def _notify_listeners(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
        for listener in self._change_listeners:
            with self._loop_thread.failures.contain("listeners"):
                listener()
