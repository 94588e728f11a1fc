"""Callers: they keep their keys, retry as advised and record every answer."""

import enum
from collections.abc import Callable
from typing import NamedTuple

from fakes.model._entry import EntryCallModel, EntryDaemon
from fakes.model._world import World
from mintsaddle.decisions.calls import CallRequest, FinishCall
from mintsaddle.values import OrderKey, Outcome, parse_key

CALL_TIMEOUT_SECONDS = 4.0
"""Time from the start of a call to its deadline."""

_RETRY_SECONDS = 0.5
_MAX_IN_DOUBT_ANSWERS = 2
_TIMESTAMP_SHIFT = 80


class RequestKind(enum.Enum):
    """The request that a caller makes, and who generates its key."""

    STREAM = "stream"
    """A streamed answer, without a key."""

    SUPPLIED = "brought"
    """An order with a key that the caller generates."""

    ISSUED = "issued"
    """An order with a key that an entry issues before the call."""

    DRAWN = "drawn"
    """An order without a key; the entry issues one during the call."""


class Answer(NamedTuple):
    """What a caller learned at the end of a call."""

    caller: str
    call: str
    """The call's request id."""

    key: str
    outcome: Outcome | None
    """None if the entry crashed before it answered."""

    chunks: tuple[bytes, ...]
    at: float
    deadline: float


class Caller:
    """A caller that retries one request until it is done or it gives up."""

    def __init__(
        self,
        world: World,
        name: str,
        kind: RequestKind,
        entries: list[EntryDaemon],
        stop_at: float,
        watched: bool = False,
    ) -> None:
        self.world = world
        self.name = name
        self.kind = kind
        self.answers: list[Answer] = []
        self.keys: set[str] = set()
        self.calls: list[tuple[str, float]] = []
        self.done = False
        self.gave_up = False
        self._entries = entries
        self._stop_at = stop_at
        self._watched = watched
        self._key: OrderKey | None = None
        self._entry_index = 0
        self._in_doubt_count = 0
        self._call: EntryCallModel | None = None

    def start(self) -> None:
        """Call the next entry, or retry later if it is unavailable."""
        if self.done or self.world.now >= self._stop_at:
            return
        entry = self._entries[self._entry_index % len(self._entries)]
        if not entry.alive or entry.frozen or getattr(entry, "leaving", False):
            self._retry_later(_RETRY_SECONDS, other_entry=True)
            return
        entry.when_awake(lambda: self._make_call(entry))

    def retry_by_another_entry(self) -> None:
        """Disconnect and call another entry with the same key."""
        call = self._call
        if call is not None and not self.done:
            self._call = None
            call.disconnect()
            self._entry_index += 1
            if self.kind is RequestKind.DRAWN:
                # Without a key, a second call would place a new order.
                self.done = True
                self.gave_up = True
            self.start()

    def _make_call(self, entry: EntryDaemon) -> None:
        fleet = entry.configuration.fleet
        if fleet is None or not entry.is_serving():
            self._retry_later(_RETRY_SECONDS, other_entry=True)
            return
        if not self._prepare_key(entry):
            self._retry_later(_RETRY_SECONDS, other_entry=True)
            return
        service = "letters" if self.kind is RequestKind.STREAM else "redirections"
        call_id = f"{self.name}-{len(self.calls)}"
        deadline = entry.now() + CALL_TIMEOUT_SECONDS
        self.calls.append((call_id, self.world.now + CALL_TIMEOUT_SECONDS))
        request = CallRequest(
            call_id,
            fleet.services[service],
            f"w{len(self.name) % 3}",
            0,
            deadline,
            key=self._key,
        )
        call = EntryCallModel(
            entry, request, call_id, self._watched, self._make_finish_handler(call_id)
        )
        self._call = call
        call.start()

    def _prepare_key(self, entry: EntryDaemon) -> bool:
        if self._key is None:
            if self.kind is RequestKind.SUPPLIED:
                self._key = self._generate_key()
            elif self.kind is RequestKind.ISSUED:
                self._key = entry.issue_key("redirections")
                if self._key is None:
                    return False
        if self._key is not None:
            self.keys.add(self._key.text)
        return True

    def _generate_key(self) -> OrderKey:
        """Generate a UUIDv7, as a caller's library does."""
        milliseconds = int(self.world.now * 1000)
        number = milliseconds << _TIMESTAMP_SHIFT | 7 << 76 | 2 << 62
        number |= self.world.rng.getrandbits(62)
        text = f"{number:032x}"
        return parse_key(text).unwrap()

    def _make_finish_handler(
        self, call_id: str
    ) -> Callable[[FinishCall | None, list[bytes]], None]:
        deadline = self.calls[-1][1]

        def handle_finish(finish: FinishCall | None, chunks: list[bytes]) -> None:
            key = finish.key.text if finish and finish.key else ""
            if not key and self._key is not None:
                key = self._key.text
            outcome = finish.outcome if finish else None
            answer = Answer(
                self.name,
                call_id,
                key,
                outcome,
                tuple(chunks),
                self.world.now,
                deadline,
            )
            self.answers.append(answer)
            self._handle_outcome(outcome, finish, key)

        return handle_finish

    def _handle_outcome(
        self, outcome: Outcome | None, finish: FinishCall | None, key: str
    ) -> None:
        if outcome is Outcome.DONE:
            self.done = True
            return
        wait = _RETRY_SECONDS
        if finish is not None and finish.retry_at:
            wait = max(0.1, finish.retry_at - self.world.now)
        if outcome is Outcome.NOT_RUN:
            self._key = finish.fresh_key if finish else None
        elif outcome is Outcome.IN_DOUBT:
            self._in_doubt_count += 1
            if self._in_doubt_count > _MAX_IN_DOUBT_ANSWERS:
                self.done = True
                return
            self._key = parse_key(key).unwrap()
        elif outcome is None and self.kind is RequestKind.DRAWN:
            # Without a key, the caller can't ask whether the order ran.
            self.done = True
            return
        self._retry_later(min(wait, 2.0), other_entry=True)

    def _retry_later(self, wait: float, *, other_entry: bool) -> None:
        if other_entry:
            self._entry_index += 1
        self.world.after(wait, self.start)
