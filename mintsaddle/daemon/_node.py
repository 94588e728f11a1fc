"""What both roles share: identity, clock, configuration, connections."""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
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
"""Seconds for a peer to answer a question that it needn't wait for."""

_HELPERS = 8
_GATE_TIMEOUT = 2.0
_log = make_logger("configuration")


def make_clock() -> Clock:
    """Return a clock that starts at the machine's time and never steps back.

    Guards against a clock that is set back in mid-run: deadlines and the dates
    of keys would be judged by two times within one run.
    """
    offset = time.time() - time.monotonic()
    return lambda: time.monotonic() + offset


class DaemonNode:
    """One run of one daemon; everything here is used in its loop only."""

    def __init__(self, settings: Settings, loop_thread: LoopThread) -> None:
        self._settings = settings
        self._loop_thread = loop_thread
        self._clock = make_clock()
        self._rng = random.Random()
        self._boot: Boot = self._rng.getrandbits(BOOT_BITS)
        self._boot_at = self._clock()
        self._configuration = ConfigurationState()
        self._channels = ChannelPool()
        self._helpers = ThreadPoolExecutor(_HELPERS, "helper")
        self._book = HistogramRegistry()
        self._gate = ReadinessGate(
            frozenset(), give_up_at=self._boot_at + _GATE_TIMEOUT
        )
        self._changed = asyncio.Event()
        self._followers: list[Callable[[], None]] = []
        self._pulls: dict[str, asyncio.Task[bool]] = {}
        self._resting: dict[str, Instant] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._control_bytes = 0
        self._leaving = False

    @property
    def settings(self) -> Settings:
        """What the settings file says."""
        return self._settings

    @property
    def loop_thread(self) -> LoopThread:
        """The thread of the loop."""
        return self._loop_thread

    @property
    def rng(self) -> random.Random:
        """The source of randomness that is passed into decisions."""
        return self._rng

    @property
    def boot(self) -> Boot:
        """This run."""
        return self._boot

    @property
    def boot_at(self) -> Instant:
        """When this run started."""
        return self._boot_at

    @property
    def configuration(self) -> ConfigurationState:
        """The text and marks in force."""
        return self._configuration

    @property
    def channels(self) -> ChannelPool:
        """Connections to other daemons."""
        return self._channels

    @property
    def helpers(self) -> ThreadPoolExecutor:
        """Threads for calls that block."""
        return self._helpers

    @property
    def book(self) -> HistogramRegistry:
        """Histograms of this daemon."""
        return self._book

    @property
    def gate(self) -> ReadinessGate:
        """What this daemon has asked and heard since its start."""
        return self._gate

    @property
    def control_bytes(self) -> int:
        """Bytes of messages between daemons that carry no caller's work."""
        return self._control_bytes

    @property
    def leaving(self) -> bool:
        """Whether this daemon was told to stop."""
        return self._leaving

    def now(self) -> Instant:
        """Return the present instant."""
        return self._clock()

    def stamp(self) -> Stamp:
        """Return the stamp of each message."""
        return make_stamp(self._configuration, self._settings.vm, self._boot)

    def is_serving(self) -> bool:
        """Return whether the start gate is open."""
        return is_open(self._gate, self._configuration, self.now())

    def mark_leaving(self) -> None:
        """Note that this daemon was told to stop."""
        self._leaving = True

    def on_change(self, act: Callable[[], None]) -> None:
        """Call a function each time that text or marks have changed."""
        self._followers.append(act)

    def rest_peer(self, vm: str, until: Instant) -> None:
        """Leave a peer that didn't answer alone for a while."""
        self._resting[vm] = until

    def resting_peers(self) -> frozenset[str]:
        """Return the peers that are left alone at present."""
        now = self.now()
        self._resting = {
            vm: until for vm, until in self._resting.items() if until > now
        }
        return frozenset(self._resting)

    def count_control(self, *messages: Message) -> None:
        """Count the bytes of control messages."""
        for message in messages:
            self._control_bytes += message.ByteSize()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a background task for the daemon's life; report if it breaks."""
        task = asyncio.ensure_future(coroutine)
        # The loop itself holds tasks only weakly.
        self._tasks.add(task)
        task.add_done_callback(self._record_task_end)

    def record_platform(self) -> None:
        """Note that the platform has answered."""
        self._gate = self._gate._replace(platform_answered=True)

    def ask_first_peers(self) -> None:
        """Choose whom to ask before serving, once a text is known."""
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
        """Fetch a newer configuration from another daemon, once at a time."""
        task = self._pulls.get(address)
        if task is None or task.done():
            task = asyncio.ensure_future(self._pull(address, peer))
            self._pulls[address] = task
        return task

    async def catch_up(self, stamp: Stamp, address: str) -> bool:
        """Pull from a sender that knows more; return whether that is done.

        Guards against acting on an old text after a newer one was heard of,
        which would show as work sent to a data centre that is marked out.
        """
        if not must_wait_for_text(self._configuration, stamp):
            return True
        if not address:
            return False
        await self.pull_from(address)
        return not must_wait_for_text(self._configuration, stamp)

    def record_stamp(self, stamp: Stamp, address: str) -> None:
        """Pull in the background from a sender that knows more."""
        if address and must_wait_for_text(self._configuration, stamp):
            self.pull_from(address)

    async def fetch(self, address: str, wait: float) -> bool:
        """Ask a daemon for news and adopt them; return whether it answered."""
        request = pb.FetchRequest(
            stamp=write_stamp(self.stamp()), wait_until=self.now() + wait
        )
        stub = PeerStub(self._channels.open(address))
        try:
            reply = await stub.Fetch(request, timeout=wait + FETCH_TIMEOUT)
        except Exception as error:
            _log.debug("No configuration from %s: %s.", address, type(error).__name__)
            self._channels.drop(address)
            return False
        self.count_control(request, reply)
        sender = read_stamp(reply.stamp)
        if reply.text:
            text = decompress_value(reply.text)
            if text is not None:
                await self.offer_text(sender.text_revision, text)
        if reply.marks:
            marks = decompress_value(reply.marks)
            if marks is not None:
                self.offer_marks(sender.marks_revision, marks)
        # Heard only now: the gate would open before its word is in force.
        heard = self._gate.answered | {sender.vm}
        self._gate = self._gate._replace(answered=heard)
        return True

    async def offer_text(self, revision: int, text: str) -> None:
        """Adopt a text if it is newer; the check runs in a helper thread."""
        if revision <= self._configuration.text_revision:
            return
        loop = self._loop_thread.loop
        checked = await loop.run_in_executor(self._helpers, read_fleet, "fleet", text)
        adoption = adopt_text(self._configuration, revision, text, lambda *_: checked)
        if adoption is Adoption.ADOPTED:
            _log.info("Fleet text %d is in force.", revision)
            self._tell_change()
        elif adoption is Adoption.REFUSED and not isinstance(checked, Success):
            findings = render_findings(checked.failure())
            _log.error("Fleet text %d is refused:\n%s", revision, findings)

    def offer_marks(self, revision: int, text: str) -> None:
        """Adopt marks if they are newer."""
        adoption = adopt_marks(self._configuration, revision, text)
        if adoption is Adoption.ADOPTED:
            _log.info("Marks %d are in force.", revision)
            self._tell_change()
        elif adoption is Adoption.REFUSED:
            _log.error("Marks %d are refused.", revision)

    async def wait_for_change(self, stamp: Stamp, wait: float) -> None:
        """Return once something newer than a stamp is in force, or in time."""
        deadline = self.now() + wait
        own = self.stamp()
        while not own.is_newer_than(stamp) and self.now() < deadline:
            try:
                await asyncio.wait_for(self._changed.wait(), deadline - self.now())
            except TimeoutError:
                return
            own = self.stamp()

    def _record_task_end(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("A background task broke.", exc_info=task.exception())

    async def _pull(self, address: str, peer: str) -> bool:
        answered = await self.fetch(address, 0.0)
        if not answered and peer:
            self._gate = self._gate._replace(
                unreachable=self._gate.unreachable | {peer}
            )
        return answered

    def _tell_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
        for follower in self._followers:
            follower()
