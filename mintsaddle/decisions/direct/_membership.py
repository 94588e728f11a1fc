"""Which entries are alive, by what peers tell each other.

Load pattern: a few to some hundred entries that know three addresses at the
start, of which all may be stale. Each one exchanges what it knows with a few
others a second, so the messages of one entry don't grow with their number.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from mintsaddle.values import Instant, rank_by_score

ALIVE_SECONDS = 5.0
"""Seconds without a word after which an entry counts as gone: five rounds."""

DUTY_SECONDS = 2.5
"""Seconds without a word after which an entry's duties pass to another one.
A duty bears two entries that both manage it; nobody doing so is worse: a group
that is held then stands still, and callers leave streams after 2 s."""

SETTLE_SECONDS = 1.5
"""Seconds of an entry's life before it takes up duties: by then five faster
rounds have told it of the others. Guards against all entries that start
together after a power cut taking themselves for the holder: two of them held
steps of one group against each other, and it stood still for 2.6 s."""

COUNT_SECONDS = 60.0
"""Seconds for which an entry counts among those that share limits. With some
hundred entries each one is heard of only now and then, and a count that is too
small makes every share too large."""

MOST_TOLD = 16
"""Entries named in one message, those heard from last: 0.8 KB a message,
however many entries there are."""

RELAY_SECONDS = 0.1
"""Seconds that a message between two entries takes at most: what a peer heard
of a third entry seems to be as much younger."""

WATCHERS = 3
"""Successors for a duty that ask its holder in every round; however many
entries there are, its holder answers no more than these."""

_LONG_AGO: Instant = float("-inf")

FAN_OUT = 2
"""Peers asked in each round; news reach 340 entries in about 8 rounds."""

SEARCH_FAN_OUT = 4
"""Peers asked in each round while the platform turns this entry away."""


class KnownEntry(NamedTuple):
    """One entry and when it was last heard from, by whomever."""

    vm: str
    address: str
    heard_at: Instant
    data_centre: str = ""


class Membership:
    """What one entry knows of the others."""

    def __init__(
        self,
        vm: str,
        address: str,
        seeds: Iterable[str],
        started_at: Instant = _LONG_AGO,
    ) -> None:
        self._vm = vm
        self._address = address
        self._seeds = tuple(seed for seed in seeds if seed != address)
        self._entries: dict[str, KnownEntry] = {}
        self._left_at: dict[str, Instant] = {}
        self._suspects: set[str] = set()
        self._settles_at = started_at + SETTLE_SECONDS

    @property
    def vm(self) -> str:
        """Name of the entry that knows this."""
        return self._vm

    @property
    def address(self) -> str:
        """Where peers reach it."""
        return self._address

    def note(self, entry: KnownEntry) -> None:
        """Take over when an entry was heard from, if that is news.

        What peers heard of an entry before it said that it is leaving is none.
        Guards against duties that stay with an entry that is stopping: told of
        again by those who don't know it yet, it counted as their holder for
        seconds, and nobody saw to them.
        """
        if entry.vm == self._vm or entry.heard_at <= self._left_at.get(
            entry.vm, _LONG_AGO
        ):
            return
        known = self._entries.get(entry.vm)
        if known is None or entry.heard_at > known.heard_at:
            self._entries[entry.vm] = entry

    def record_answer(self, address: str) -> None:
        """Note that an entry has answered."""
        self._suspects.discard(address)

    def record_silence(self, address: str) -> None:
        """Note that an entry didn't answer: its duties pass to another one."""
        self._suspects.add(address)

    def data_centre_of(self, address: str) -> str:
        """Return where an entry is; an empty string if it isn't known."""
        known = (one for one in self._entries.values() if one.address == address)
        return next((one.data_centre for one in known), "")

    def remove(self, vm: str, now: Instant) -> None:
        """Forget an entry that says that it is leaving."""
        self._entries.pop(vm, None)
        self._left_at[vm] = now + RELAY_SECONDS

    def alive(self, now: Instant) -> tuple[KnownEntry, ...]:
        """Return the other entries that were heard from lately."""
        return tuple(
            entry
            for entry in self._entries.values()
            if now - entry.heard_at <= ALIVE_SECONDS
        )

    def reachable(self, now: Instant) -> tuple[KnownEntry, ...]:
        """Return the other entries that are alive and answer this one."""
        return tuple(
            entry for entry in self.alive(now) if entry.address not in self._suspects
        )

    def is_settled(self, now: Instant) -> bool:
        """Return whether this entry has had time to hear of the others."""
        return now >= self._settles_at

    def count(self, now: Instant) -> int:
        """Return how many entries share limits, this one included."""
        self._left_at = {
            vm: left_at
            for vm, left_at in self._left_at.items()
            if now - left_at <= COUNT_SECONDS
        }
        self._entries = {
            vm: entry
            for vm, entry in self._entries.items()
            if now - entry.heard_at <= COUNT_SECONDS
        }
        return 1 + len(self._entries)

    def heard_last(self, now: Instant) -> list[KnownEntry]:
        """Return the entries to tell peers of."""
        by_age = sorted(self.alive(now), key=lambda entry: -entry.heard_at)
        return by_age[:MOST_TOLD]

    def choose_peers(
        self,
        now: Instant,
        rng: random.Random,
        duties: Iterable[str] = (),
        *,
        is_searching: bool,
    ) -> tuple[str, ...]:
        """Return the addresses to ask in this round.

        Seeds are asked while nobody is known, and one of them now and then, so
        that two halves that were cut apart find each other again.
        """
        addresses = [entry.address for entry in self.alive(now)]
        strangers = [seed for seed in self._seeds if seed not in addresses]
        if not addresses:
            return tuple(strangers)
        fan_out = SEARCH_FAN_OUT if is_searching else FAN_OUT
        chosen = set(rng.sample(addresses, min(fan_out, len(addresses))))
        chosen.update(self.holders_to_watch(duties, now))
        if strangers:
            chosen.add(rng.choice(strangers))
        return tuple(chosen)

    def holders_to_watch(self, duties: Iterable[str], now: Instant) -> list[str]:
        """Return the addresses of the holders that this entry would follow."""
        addresses = {entry.vm: entry.address for entry in self.alive(now)}
        addresses[self._vm] = self._address
        watched = []
        for duty in duties:
            first, *others = rank_by_score(duty, addresses)
            if self._vm in others[:WATCHERS]:
                watched.append(addresses[first])
        return watched

    def is_chosen(self, duty: str, now: Instant) -> bool:
        """Return whether this entry is the one to manage a duty.

        Entries with different views may both think so: a duty has to bear
        that.
        """
        return self.succession_place(duty, now) == 0

    def succession_place(self, duty: str, now: Instant) -> int | None:
        """Return how many entries go before this one for a duty.

        Returns:
            0 for the one that manages it; None for an entry that is too young
            to know the others.
        """
        if not self.is_settled(now):
            return None
        names = [self._vm]
        for entry in self.reachable(now):
            if now - entry.heard_at <= DUTY_SECONDS:
                names.append(entry.vm)
        return rank_by_score(duty, names).index(self._vm)
