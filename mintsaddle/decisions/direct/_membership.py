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

FAN_OUT = 2
"""Peers asked in each round; news reach 340 entries in about 8 rounds."""

SEARCH_FAN_OUT = 4
"""Peers asked in each round while the platform turns this entry away."""


class KnownEntry(NamedTuple):
    """One entry and when it was last heard from, by whomever."""

    vm: str
    address: str
    heard_at: Instant


class Membership:
    """What one entry knows of the others."""

    def __init__(self, vm: str, address: str, seeds: Iterable[str]) -> None:
        self._vm = vm
        self._address = address
        self._seeds = tuple(seed for seed in seeds if seed != address)
        self._entries: dict[str, KnownEntry] = {}

    @property
    def vm(self) -> str:
        """Name of the entry that knows this."""
        return self._vm

    @property
    def address(self) -> str:
        """Where peers reach it."""
        return self._address

    def note(self, entry: KnownEntry) -> None:
        """Take over when an entry was heard from, if that is news."""
        known = self._entries.get(entry.vm)
        if entry.vm != self._vm and (known is None or entry.heard_at > known.heard_at):
            self._entries[entry.vm] = entry

    def remove(self, vm: str) -> None:
        """Forget an entry that says that it is leaving."""
        self._entries.pop(vm, None)

    def alive(self, now: Instant) -> tuple[KnownEntry, ...]:
        """Return the other entries that were heard from lately."""
        self._entries = {
            vm: entry
            for vm, entry in self._entries.items()
            if now - entry.heard_at <= ALIVE_SECONDS
        }
        return tuple(self._entries.values())

    def choose_peers(
        self, now: Instant, rng: random.Random, *, is_searching: bool
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
        chosen = rng.sample(addresses, min(fan_out, len(addresses)))
        if strangers:
            chosen.append(rng.choice(strangers))
        return tuple(chosen)

    def is_chosen(self, duty: str, now: Instant) -> bool:
        """Return whether this entry is the one to see to a duty.

        Entries with different views may both think so: a duty has to bear
        that.
        """
        names = [self._vm, *(entry.vm for entry in self.alive(now))]
        return rank_by_score(duty, names)[0] == self._vm
