"""Callers: they hold keys, come back when told to, and remember every word."""

import enum
from collections.abc import Callable
from typing import NamedTuple

from fakes.model._entry import EntryCallModel, EntryDaemon
from fakes.model._world import World
from mintsaddle.decisions.calls import CallRequest, FinishCall
from mintsaddle.values import OrderKey, Outcome, parse_key

TIMEOUT = 4.0
"""Seconds that a caller gives each call."""

_COME_BACK = 0.5
_MOST_DOUBTS = 2
_DATE_SHIFT = 80


class Kind(enum.Enum):
    """What a caller asks for, and whose key it uses."""

    STREAM = "stream"
    BROUGHT = "brought"
    ISSUED = "issued"
    DRAWN = "drawn"


class Told(NamedTuple):
    """One word that a caller was told."""

    caller: str
    call: str
    """The call's request id."""

    key: str
    outcome: Outcome | None
    """None if the entry died before its word."""

    chunks: tuple[bytes, ...]
    at: float
    deadline: float


class Caller:
    """One caller with one thing to get done."""

    def __init__(
        self,
        world: World,
        name: str,
        kind: Kind,
        entries: list[EntryDaemon],
        until: float,
        watched: bool = False,
    ) -> None:
        self.world = world
        self.name = name
        self.kind = kind
        self.told: list[Told] = []
        self.keys: set[str] = set()
        self.calls: list[tuple[str, float]] = []
        self.over = False
        self.gave_up = False
        self._entries = entries
        self._until = until
        self._watched = watched
        self._key: OrderKey | None = None
        self._turn = 0
        self._doubts = 0
        self._call: EntryCallModel | None = None

    def start(self) -> None:
        """Make a call by the entry whose turn it is."""
        if self.over or self.world.now >= self._until:
            return
        entry = self._entries[self._turn % len(self._entries)]
        if not entry.alive or entry.frozen or getattr(entry, "leaving", False):
            self._come_back(_COME_BACK, other_entry=True)
            return
        entry.when_awake(lambda: self._make_call(entry))

    def impatient(self) -> None:
        """Hang up and come by another entry with the same key."""
        call = self._call
        if call is not None and not self.over:
            self._call = None
            call.hang_up()
            self._turn += 1
            if self.kind is Kind.DRAWN:
                # It has no key to ask by; a second order would be a new one.
                self.over = True
                self.gave_up = True
            self.start()

    def _make_call(self, entry: EntryDaemon) -> None:
        fleet = entry.configuration.fleet
        if fleet is None or not entry.is_serving():
            self._come_back(_COME_BACK, other_entry=True)
            return
        if not self._have_key(entry):
            self._come_back(_COME_BACK, other_entry=True)
            return
        service = "letters" if self.kind is Kind.STREAM else "redirections"
        call_id = f"{self.name}-{len(self.calls)}"
        deadline = entry.now() + TIMEOUT
        self.calls.append((call_id, self.world.now + TIMEOUT))
        request = CallRequest(
            call_id,
            fleet.services[service],
            f"w{len(self.name) % 3}",
            0,
            deadline,
            key=self._key,
        )
        call = EntryCallModel(
            entry, request, call_id, self._watched, self._make_ear(call_id)
        )
        self._call = call
        call.start()

    def _have_key(self, entry: EntryDaemon) -> bool:
        if self._key is None:
            if self.kind is Kind.BROUGHT:
                self._key = self._draw()
            elif self.kind is Kind.ISSUED:
                self._key = entry.issue("redirections")
                if self._key is None:
                    return False
        if self._key is not None:
            self.keys.add(self._key.text)
        return True

    def _draw(self) -> OrderKey:
        """Draw a UUIDv7 as a caller's library does."""
        milliseconds = int(self.world.now * 1000)
        number = milliseconds << _DATE_SHIFT | 7 << 76 | 2 << 62
        number |= self.world.rng.getrandbits(62)
        text = f"{number:032x}"
        return parse_key(text).unwrap()

    def _make_ear(
        self, call_id: str
    ) -> Callable[[FinishCall | None, list[bytes]], None]:
        deadline = self.calls[-1][1]

        def hear(finish: FinishCall | None, chunks: list[bytes]) -> None:
            key = finish.key.text if finish and finish.key else ""
            if not key and self._key is not None:
                key = self._key.text
            outcome = finish.outcome if finish else None
            word = Told(
                self.name,
                call_id,
                key,
                outcome,
                tuple(chunks),
                self.world.now,
                deadline,
            )
            self.told.append(word)
            self._react(outcome, finish, key)

        return hear

    def _react(
        self, outcome: Outcome | None, finish: FinishCall | None, key: str
    ) -> None:
        if outcome is Outcome.DONE:
            self.over = True
            return
        wait = _COME_BACK
        if finish is not None and finish.retry_at:
            wait = max(0.1, finish.retry_at - self.world.now)
        if outcome is Outcome.NOT_RUN:
            self._key = finish.fresh if finish else None
        elif outcome is Outcome.IN_DOUBT:
            self._doubts += 1
            if self._doubts > _MOST_DOUBTS:
                self.over = True
                return
            self._key = parse_key(key).unwrap()
        elif outcome is None and self.kind is Kind.DRAWN:
            # The caller never had a key: it can't know, and stops.
            self.over = True
            return
        self._come_back(min(wait, 2.0), other_entry=True)

    def _come_back(self, wait: float, *, other_entry: bool) -> None:
        if other_entry:
            self._turn += 1
        self.world.after(wait, self.start)
