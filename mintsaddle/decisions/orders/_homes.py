"""How homes agree before a brought key may run at another home.

A home runs brought keys of a service only while it is *settled*: every home
of the old and the new list has acknowledged the new one, in two rounds with
the same boots. One round is not enough: A acknowledges and restarts, C (still
on the old list) vouches for A's old list, C acknowledges; the new home starts
while A runs on the old list. After two rounds there was a moment at which all
of them knew the new list. In the second round each home hands over what it
knows of the asker's keys, so a move leaves no key in doubt.

A home without memory is not *anchored*: the text it has read may be older
than an agreed one. It runs no brought key until an anchored home has answered
a question asked after the start (the nonce ties the answer to it). So no home
goes back behind an agreed list, which keeps the moment above true.

A home that leaves as planned gives its ledger to all other homes. Its next
run takes it back if every one of them offers it, that is, if no run in
between has asked any of them: such a run may have run keys that the ledger
doesn't know.

When all homes of a service have started anew, nobody is anchored. The text
they read may then be a stale one, and a home that only a newer text lists may
be running. So they wait until the operator publishes a text with a
``bootstrap`` date later than their starts; two rounds then settle it.
"""

import random

from mintsaddle.decisions.orders._handover import (
    hand_over,
    offer_bequest,
    take_back,
    take_over,
)
from mintsaddle.decisions.orders._homes_messages import HomeAnswer, HomeQuestion
from mintsaddle.decisions.orders._queries import home_is_settled
from mintsaddle.decisions.orders._state import (
    HomeMove,
    HomeState,
    OrdersState,
)
from mintsaddle.fleet import OrderHomes
from mintsaddle.values import Instant

CLOCK_BOUNDS = 2
"""Clock bounds between a start and the first key that may run.

A key may be dated one bound ahead of the home that ran it, and that home's
clock one bound ahead of the clock of the home that took its place.
"""

VOUCH_TIMEOUT = 1.5
"""Seconds for all homes to answer before one settled home's word is enough."""

_ASK_AGAIN = 2.0
"""Seconds between full rounds that may not settle."""

_NONCE_BITS = 62
_FIRST_ROUND = 1
_SECOND_ROUND = 2
_MOST_MOVES = 64
"""Moves remembered; by then the first one's floor is older than any window."""


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
        home = home._replace(wanted=wanted, unsettled=followed)
        home = _restart(home._replace(vouch_at=0.0, handed_to=frozenset()))
    state.put_home(service, home)


def ask_homes(
    state: OrdersState, service: str, now: Instant, rng: random.Random
) -> tuple[tuple[str, HomeQuestion], ...]:
    """Return the questions to ask now, each with the home it goes to."""
    home = state.homes.get(service)
    if home is None or home_is_settled(home):
        return ()
    if state.vm not in home.wanted.homes or now < home.ask_at:
        return ()
    second = home.round_number == _SECOND_ROUND
    answered = home.second_boots if second else home.first_boots
    others = sorted(home.wanted.to_ask - {state.vm} - set(answered))
    nonces = {name: rng.getrandbits(_NONCE_BITS) for name in others}
    vouch_at = home.vouch_at or now + VOUCH_TIMEOUT
    state.put_home(service, home._replace(nonces=nonces, vouch_at=vouch_at))
    return tuple(
        (name, HomeQuestion(state.vm, state.boot, service, nonce, second))
        for name, nonce in nonces.items()
    )


def answer_question(
    state: OrdersState, question: HomeQuestion, text_revision: int
) -> HomeAnswer:
    """Return this home's standing and what it knows of the asker's keys."""
    home = state.homes.get(question.service)
    answer = HomeAnswer(
        vm=state.vm,
        boot=state.boot,
        service=question.service,
        nonce=question.nonce,
        homes=home.wanted if home else None,
        text_revision=text_revision,
        anchored=home is not None and home.anchored,
        settled=home is not None and home_is_settled(home),
    )
    if home is None:
        return answer
    home, offer = offer_bequest(home, question)
    state.put_home(question.service, home)
    if not question.wants_ledger:
        return answer
    handed_to = home.handed_to | {question.asker}
    state.put_home(question.service, home._replace(handed_to=handed_to))
    floor, handed = hand_over(state, home, question)
    return answer._replace(floor=floor, handed=handed, offer=offer)


def record_answer(
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
    if answer.anchored:
        # Its text was as new as any agreed one, and this home's is no older.
        home = home._replace(anchored=True)
    if answer.homes == home.wanted:
        take_over(state, answer.handed)
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
        floor = now + CLOCK_BOUNDS * clock_bound
        state.put_home(service, _settle(home, floor))


def _restart(home: HomeState) -> HomeState:
    return home._replace(
        round_number=_FIRST_ROUND,
        first_boots={},
        second_boots={},
        floors={},
        offers={},
        nonces={},
    )


def _count_answer(home: HomeState, answer: HomeAnswer) -> HomeState:
    nonces = {name: nonce for name, nonce in home.nonces.items() if name != answer.vm}
    home = home._replace(nonces=nonces)
    if home.round_number == _FIRST_ROUND:
        first = {**home.first_boots, answer.vm: answer.boot}
        return home._replace(first_boots=first)
    if home.first_boots.get(answer.vm) != answer.boot:
        # It restarted between the rounds: what it acknowledged is forgotten.
        return _restart(home)
    if answer.offer is not None:
        home = home._replace(offers={**home.offers, answer.vm: answer.offer})
    return home._replace(
        second_boots={**home.second_boots, answer.vm: answer.boot},
        floors={**home.floors, answer.vm: answer.floor},
    )


def _settle_if_agreed(
    state: OrdersState,
    home: HomeState,
    answer: HomeAnswer,
    clock_bound: float,
    now: Instant,
) -> HomeState:
    others = home.wanted.to_ask - {state.vm}
    if home.round_number == _FIRST_ROUND and others <= set(home.first_boots):
        return home._replace(round_number=_SECOND_ROUND, nonces={})
    unknown_until = now + CLOCK_BOUNDS * clock_bound
    if home.round_number == _SECOND_ROUND and others <= set(home.second_boots):
        if not _may_settle(state, home, clock_bound):
            # All agree but nobody is anchored: asked again, until one is or
            # the operator's bootstrap date comes.
            return _restart(home)._replace(ask_at=now + _ASK_AGAIN)
        home = take_back(state, home, others)
        return _settle(home, _find_move_floor(home, unknown_until))
    vouched = answer.homes == home.wanted and answer.settled and home.anchored
    if vouched and now >= home.vouch_at:
        # All knew this list once, and no home goes back behind it; but what
        # the silent ones have run isn't known here.
        return _settle(home, unknown_until)
    return home


def _may_settle(state: OrdersState, home: HomeState, clock_bound: float) -> bool:
    """Return whether full agreement counts: anchored, or a later bootstrap."""
    return home.anchored or home.bootstrap > state.boot_at + clock_bound


def _find_move_floor(home: HomeState, unknown_until: Instant) -> Instant:
    """Return the date up to which keys that came here may have run elsewhere.

    A home that is gone for good has handed nothing over.
    """
    if home.wanted.some_gone:
        return unknown_until
    return max(home.floors.values(), default=unknown_until)


def _settle(home: HomeState, floor: Instant) -> HomeState:
    before = (home.settled, *home.unsettled) if home.settled else ()
    moves = (*home.moves, HomeMove(before, floor))
    return home._replace(
        anchored=True,
        settled=home.wanted,
        unsettled=(),
        moves=moves[-_MOST_MOVES:],
        floors={},
        offers={},
        nonces={},
    )
