"""How homes agree before a brought key may run at another home.

A home runs brought keys of a service only while it is *settled*: every home
of the old and the new list has acknowledged the new one, in two rounds with
the same boots. One round is not enough: A acknowledges and restarts, C (still
on the old list) vouches for A's old list, C acknowledges; the new home starts
while A runs on the old list. After two rounds there was a moment at which all
of them knew the new list.

A home without memory is not *anchored*: the text it has read may be older
than an agreed one. It runs no brought key until an anchored home has answered
a question asked after the start (the nonce ties the answer to it). So no home
goes back behind an agreed list, which keeps the moment above true.

When all homes of a service have started anew, nobody is anchored. The text
they read may then be a stale one, and a home that only a newer text lists may
be running. So they wait until the operator publishes a text with a
``bootstrap`` date later than their starts; two rounds then settle it.
"""

import random
from typing import NamedTuple

from mintsaddle.decisions.orders._queries import home_is_settled
from mintsaddle.decisions.orders._state import (
    HomeMove,
    HomeState,
    LedgerEntry,
    OrdersState,
    OrderStatus,
)
from mintsaddle.fleet import OrderHomes, find_home
from mintsaddle.values import Boot, Instant

_NONCE_BITS = 62
_FIRST_ROUND = 1
_SECOND_ROUND = 2
_MOST_HANDED = 1000
_MOST_MOVES = 64
"""Moves remembered; by then the first one's floor is older than any window."""

CLOCK_BOUNDS = 2
"""Clock bounds between a start and the first key that may run.

A key may be dated one bound ahead of the home that ran it, and that home's
clock one bound ahead of the clock of the home that took its place.
"""


class HomeQuestion(NamedTuple):
    """A home's question to another one."""

    asker: str
    service: str
    nonce: int


class HomeAnswer(NamedTuple):
    """A home's word on where it stands."""

    vm: str
    boot: Boot
    service: str
    nonce: int
    """The nonce of the question that it answers."""

    homes: OrderHomes | None
    """The list that it follows; None if its text doesn't know the service."""

    text_revision: int
    anchored: bool
    settled: bool
    handed: tuple[LedgerEntry, ...] = ()
    """Ended orders whose keys now belong to the asker."""


def adopt_homes(
    state: OrdersState,
    service: str,
    wanted: OrderHomes,
    bootstrap: Instant,
    clock_bound: float,
) -> None:
    """Follow the list of a newly adopted text.

    From here on this home refuses keys that the new list gives to others:
    that is its release of them.
    """
    home = state.homes.get(service)
    if home is None:
        floor = state.boot_at + CLOCK_BOUNDS * clock_bound
        fresh = HomeState(wanted, bootstrap, boot_floor=floor)
        state.put_home(service, fresh)
        return
    home = home._replace(bootstrap=bootstrap)
    if home.wanted != wanted:
        followed = (*home.unsettled, home.wanted)
        home = _restart(home._replace(wanted=wanted, unsettled=followed))
    state.put_home(service, home)


def ask_homes(
    state: OrdersState, service: str, rng: random.Random
) -> tuple[tuple[str, HomeQuestion], ...]:
    """Return the questions to ask now, each with the home it goes to."""
    home = state.homes.get(service)
    if home is None or home_is_settled(home):
        return ()
    if state.vm not in home.wanted.homes:
        return ()
    answered = home.first_boots
    if home.round_number == _SECOND_ROUND:
        answered = home.second_boots
    others = sorted(home.wanted.to_ask - {state.vm} - set(answered))
    nonces = {name: rng.getrandbits(_NONCE_BITS) for name in others}
    state.put_home(service, home._replace(nonces=nonces))
    return tuple(
        (name, HomeQuestion(state.vm, service, nonce)) for name, nonce in nonces.items()
    )


def answer_question(
    state: OrdersState, question: HomeQuestion, text_revision: int
) -> HomeAnswer:
    """Return where this home stands, and orders that the asker now owns."""
    home = state.homes.get(question.service)
    if home is None:
        return HomeAnswer(
            state.vm,
            state.boot,
            question.service,
            question.nonce,
            None,
            text_revision,
            False,
            False,
        )
    return HomeAnswer(
        state.vm,
        state.boot,
        question.service,
        question.nonce,
        home.wanted,
        text_revision,
        home.anchored,
        home_is_settled(home),
        _hand_over(state, home, question),
    )


def note_answer(
    state: OrdersState,
    answer: HomeAnswer,
    text_revision: int,
    clock_bound: float,
    now: Instant,
) -> None:
    """Take in another home's answer; ignore one to a question not open now."""
    home = state.homes.get(answer.service)
    if home is None or home_is_settled(home):
        return
    if home.nonces.get(answer.vm) != answer.nonce:
        return
    if answer.text_revision > text_revision:
        # The newer text is pulled first; until then this answer says nothing.
        return
    home = _anchor(home, answer)
    if answer.homes == home.wanted:
        _take_over(state, answer)
        home = _count_answer(home, answer)
    home = _settle_if_agreed(state, home, answer, clock_bound, now)
    state.put_home(answer.service, home)


def settle_alone(
    state: OrdersState, service: str, clock_bound: float, now: Instant
) -> None:
    """Settle a list whose only home is this one; there is nobody to ask."""
    home = state.homes.get(service)
    if home is None or home_is_settled(home):
        return
    if home.wanted.to_ask == {state.vm} and _may_settle(state, home, clock_bound):
        state.put_home(service, _settle(home, clock_bound, now))


def _restart(home: HomeState) -> HomeState:
    return home._replace(
        round_number=_FIRST_ROUND, first_boots={}, second_boots={}, nonces={}
    )


def _anchor(home: HomeState, answer: HomeAnswer) -> HomeState:
    """An anchored home's fresh answer anchors this one at its own revision."""
    if answer.anchored:
        return home._replace(anchored=True)
    return home


def _count_answer(home: HomeState, answer: HomeAnswer) -> HomeState:
    nonces = {name: nonce for name, nonce in home.nonces.items() if name != answer.vm}
    home = home._replace(nonces=nonces)
    if home.round_number == _FIRST_ROUND:
        first = {**home.first_boots, answer.vm: answer.boot}
        return home._replace(first_boots=first)
    if home.first_boots.get(answer.vm) != answer.boot:
        # It restarted between the rounds: what it acknowledged is forgotten.
        return _restart(home)
    return home._replace(second_boots={**home.second_boots, answer.vm: answer.boot})


def _settle_if_agreed(
    state: OrdersState,
    home: HomeState,
    answer: HomeAnswer,
    clock_bound: float,
    now: Instant,
) -> HomeState:
    same_list = answer.homes == home.wanted
    if same_list and answer.settled and home.anchored:
        return _settle(home, clock_bound, now)
    others = home.wanted.to_ask - {state.vm}
    if home.round_number == _FIRST_ROUND:
        if others <= set(home.first_boots):
            return home._replace(round_number=_SECOND_ROUND, nonces={})
        return home
    if others <= set(home.second_boots) and _may_settle(state, home, clock_bound):
        return _settle(home, clock_bound, now)
    return home


def _may_settle(state: OrdersState, home: HomeState, clock_bound: float) -> bool:
    """Return whether full agreement counts: anchored, or a later bootstrap."""
    return home.anchored or home.bootstrap > state.boot_at + clock_bound


def _settle(home: HomeState, clock_bound: float, now: Instant) -> HomeState:
    before = (home.settled, *home.unsettled) if home.settled else ()
    floor = now + CLOCK_BOUNDS * clock_bound
    moves = (*home.moves, HomeMove(before, floor))
    return home._replace(
        anchored=True,
        settled=home.wanted,
        unsettled=(),
        moves=moves[-_MOST_MOVES:],
        nonces={},
    )


def _hand_over(
    state: OrdersState, home: HomeState, question: HomeQuestion
) -> tuple[LedgerEntry, ...]:
    """Return the newest ended orders that the list gives to the asker."""
    if question.asker not in home.wanted.homes:
        return ()
    handed = []
    for entry in reversed(tuple(state.ledger.values())):
        if entry.service != question.service:
            continue
        if entry.status is OrderStatus.PENDING:
            continue
        if find_home(home.wanted.homes, entry.key.text) == question.asker:
            handed.append(entry)
        if len(handed) == _MOST_HANDED:
            break
    return tuple(handed)


def _take_over(state: OrdersState, answer: HomeAnswer) -> None:
    for entry in answer.handed:
        if entry.key.text not in state.ledger:
            state.put_entry(entry)
