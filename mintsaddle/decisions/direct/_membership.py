"""Gossip membership: which entries are alive.

Load pattern: from a few to several hundred entries, each configured with three
seed addresses that may all be stale. Each entry exchanges its view with a few
others per second, so the messages of one entry don't grow with their number.

A duty is a task that one entry, its holder, manages for all. Entries choose
the holder independently, by ranking the entries they believe to be alive. A
duty may prefer a data centre, whose entries then go first.
"""

import random
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from mintsaddle.values import Instant, rank_by_score

ALIVE_SECONDS = 5.0
"""Seconds of silence after which an entry counts as dead: five rounds."""

DUTY_TIMEOUT_SECONDS = 2.5
"""Seconds of silence after which an entry's duties pass to another one. Two
concurrent holders are tolerated; having none is worse, because a held group
then stands still, and callers abandon streams after 2 s."""

SETTLE_SECONDS = 1.5
"""Seconds after its start before an entry takes up duties; five shorter rounds
have told it of the others by then. Without this delay, all entries that start
together after a power cut consider themselves the holder: two of them held
back steps of the same group, which stood still for 2.6 s."""

SHARE_COUNT_SECONDS = 60.0
"""Seconds for which a silent entry still counts among those that share limits.
Among several hundred entries each one is heard from rarely, and a count that
is too small makes every share too large."""

MAX_GOSSIP_ENTRIES = 16
"""Entries listed in one gossip message, the most recently heard from first;
limits a message to 0.8 KB for any number of entries."""

MAX_RELAY_SECONDS = 0.1
"""Longest time of a message between two entries. What a peer heard from a
third entry can appear more recent by this much."""

MAX_WATCHERS = 3
"""Successors for a duty that poll its holder in every round; bounds the load
on the holder for any number of entries."""

_NEVER: Instant = float("-inf")

FAN_OUT = 2
"""Peers contacted per round; changes reach 340 entries in about 8 rounds."""

SEARCH_FAN_OUT = 4
"""Peers contacted per round while the platform refuses this entry."""


class KnownEntry(NamedTuple):
    """An entry, and when it was last heard from by any entry."""

    vm: str
    address: str
    last_seen_at: Instant
    data_centre: str = ""


def rank_successors(
    duty: str, preferred: str, data_centres: Mapping[str, str]
) -> list[str]:
    """Return the entries in the order in which they take up a duty.

    Entries of the preferred data centre go first, but the second successor is
    of another one, since a cut data centre takes all of its entries at once.

    Args:
        duty: The name of the duty.
        preferred: The duty's preferred data centre; '' for none.
        data_centres: The data centre of each live entry, by VM.
    """
    ranked = rank_by_score(duty, data_centres)
    if not preferred:
        return list(ranked)
    near = [vm for vm in ranked if data_centres[vm] == preferred]
    far = [vm for vm in ranked if data_centres[vm] != preferred]
    return [*near[:2], *far[:1], *near[2:], *far[1:]]


class Membership:
    """One entry's view of the other entries."""

    def __init__(
        self,
        vm: str,
        address: str,
        seeds: Iterable[str],
        started_at: Instant = _NEVER,
        data_centre: str = "",
    ) -> None:
        self._vm = vm
        self._address = address
        self._seeds = tuple(seed for seed in seeds if seed != address)
        self._entries: dict[str, KnownEntry] = {}
        self._left_at: dict[str, Instant] = {}
        self._suspects: set[str] = set()
        self._settles_at = started_at + SETTLE_SECONDS
        self._data_centre = data_centre

    @property
    def vm(self) -> str:
        """Name of the entry that owns this view."""
        return self._vm

    @property
    def address(self) -> str:
        """Address at which peers reach this entry."""
        return self._address

    def record_entry(self, entry: KnownEntry) -> None:
        """Record when an entry was heard from, if that is more recent.

        Ignores what peers heard from an entry before it said that it is
        leaving. Otherwise peers that don't know of its leaving yet would
        bring it back, and it would stay the holder of its duties for seconds
        while nobody performs them.
        """
        if entry.vm == self._vm or entry.last_seen_at <= self._left_at.get(
            entry.vm, _NEVER
        ):
            return
        known = self._entries.get(entry.vm)
        if known is None or entry.last_seen_at > known.last_seen_at:
            self._entries[entry.vm] = entry

    def record_answer(self, address: str) -> None:
        """Record that an entry has answered."""
        self._suspects.discard(address)

    def record_timeout(self, address: str) -> None:
        """Record that an entry didn't answer; its duties pass to another."""
        self._suspects.add(address)

    def data_centre_of(self, address: str) -> str:
        """Return an entry's data centre, or an empty string if unknown."""
        known = (entry for entry in self._entries.values() if entry.address == address)
        return next((entry.data_centre for entry in known), "")

    def remove(self, vm: str, now: Instant) -> None:
        """Remove an entry that has announced that it is leaving."""
        self._entries.pop(vm, None)
        self._left_at[vm] = now + MAX_RELAY_SECONDS

    def alive(self, now: Instant) -> tuple[KnownEntry, ...]:
        """Return the other entries that were heard from recently."""
        return tuple(
            entry
            for entry in self._entries.values()
            if now - entry.last_seen_at <= ALIVE_SECONDS
        )

    def reachable(self, now: Instant) -> tuple[KnownEntry, ...]:
        """Return the other entries that are alive and answer this entry."""
        return tuple(
            entry for entry in self.alive(now) if entry.address not in self._suspects
        )

    def is_settled(self, now: Instant) -> bool:
        """Return whether this entry has had time to learn of the others."""
        return now >= self._settles_at

    def count(self, now: Instant) -> int:
        """Return how many entries share limits, including this one."""
        self._left_at = {
            vm: left_at
            for vm, left_at in self._left_at.items()
            if now - left_at <= SHARE_COUNT_SECONDS
        }
        self._entries = {
            vm: entry
            for vm, entry in self._entries.items()
            if now - entry.last_seen_at <= SHARE_COUNT_SECONDS
        }
        return 1 + len(self._entries)

    def most_recent_entries(self, now: Instant) -> list[KnownEntry]:
        """Return the entries to list in a gossip message."""
        by_age = sorted(self.alive(now), key=lambda entry: -entry.last_seen_at)
        return by_age[:MAX_GOSSIP_ENTRIES]

    def choose_peers(
        self,
        now: Instant,
        rng: random.Random,
        duties: Mapping[str, str] = MappingProxyType({}),
        *,
        is_searching: bool,
    ) -> tuple[str, ...]:
        """Return the addresses to contact in this round.

        All seeds are contacted while no entry is known. Later each round
        contacts one seed that isn't known to be alive, so that the two sides
        of a healed partition find each other again.
        """
        addresses = [entry.address for entry in self.alive(now)]
        unknown_seeds = [seed for seed in self._seeds if seed not in addresses]
        if not addresses:
            return tuple(unknown_seeds)
        fan_out = SEARCH_FAN_OUT if is_searching else FAN_OUT
        chosen = set(rng.sample(addresses, min(fan_out, len(addresses))))
        chosen.update(self.holders_to_watch(duties, now))
        if unknown_seeds:
            chosen.add(rng.choice(unknown_seeds))
        return tuple(chosen)

    def holders_to_watch(self, duties: Mapping[str, str], now: Instant) -> list[str]:
        """Return the addresses of holders that this entry may succeed.

        Args:
            duties: The preferred data centre of each duty; '' for none.
            now: The current time.
        """
        alive = self.alive(now)
        addresses = {entry.vm: entry.address for entry in alive}
        addresses[self._vm] = self._address
        data_centres = self._data_centres(alive)
        watched = []
        for duty, preferred in duties.items():
            first, *others = rank_successors(duty, preferred, data_centres)
            if self._vm in others[:MAX_WATCHERS]:
                watched.append(addresses[first])
        return watched

    def is_holder(self, duty: str, now: Instant, data_centre: str = "") -> bool:
        """Return whether this entry is the holder of a duty.

        Entries with different views may both be: a duty has to tolerate
        that.
        """
        return self.succession_index(duty, now, data_centre) == 0

    def succession_index(
        self, duty: str, now: Instant, data_centre: str = ""
    ) -> int | None:
        """Return the index of this entry in the succession for a duty.

        Until the views of entries agree on who is alive and which data
        centre is preferred, a duty may have two holders or none. Two
        coordinators of a group draw different versions and begin no switch
        while a step is held; without one, successors release a held step.

        Args:
            duty: The name of the duty.
            now: The current time.
            data_centre: The duty's preferred data centre; '' for none.

        Returns:
            0 for the holder; None if this entry started too recently to know
            the others.
        """
        if not self.is_settled(now):
            return None
        recent = (
            entry
            for entry in self.reachable(now)
            if now - entry.last_seen_at <= DUTY_TIMEOUT_SECONDS
        )
        data_centres = self._data_centres(recent)
        return rank_successors(duty, data_centre, data_centres).index(self._vm)

    def _data_centres(self, entries: Iterable[KnownEntry]) -> dict[str, str]:
        """Return the data centres of this entry and of others, by VM."""
        others = {entry.vm: entry.data_centre for entry in entries}
        return {**others, self._vm: self._data_centre}
