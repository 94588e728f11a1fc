"""Agreement of the homes on a list before a caller-supplied key moves.

A home runs caller-supplied keys of a service only while it is *settled*: every
home of the old and the new list has acknowledged the new one, in two rounds
with the same boot numbers. One round is not enough: A acknowledges and
restarts, C (still on the old list) confirms A's old list, then C acknowledges;
the new home starts while A runs on the old list. Two rounds guarantee that at
one moment all of them knew the new list. In the second round each home hands
over its entries for the asker's keys, so a move leaves no key in doubt.

A restarted home is not *anchored*: the text it has read may be older than an
agreed one. It runs no caller-supplied key until an anchored home has answered
a question asked after the start (the nonce ties the answer to the question).
So no home reverts to a list older than the agreed one, and the guarantee of
the two rounds holds.

A home that leaves as planned stores a snapshot of its ledger at all other
homes. Its next run restores it if every one of them offers it, that is, if no
run in between has asked any of them: such a run may have executed keys that
the snapshot lacks.

When all homes of a service have restarted, none is anchored. The text they
read may be stale, and a home that only a newer text lists may be running. So
they wait until the operator publishes a text with a ``bootstrap`` date later
than their starts; two rounds then settle it.
"""

import random

from mintsaddle.decisions.orders._handover import (
    export_entries,
    merge_entries,
    offer_snapshot,
    restore_ledger,
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

CLOCK_BOUND_FACTOR = 2
"""Multiple of the clock bound between a start and the first key that may run.

A key may be dated one bound ahead of the home that ran it, and that home's
clock may be one bound ahead of the clock of the home that replaces it.
"""

ALL_ANSWERS_TIMEOUT_SECONDS = 1.5
"""Time for all homes to answer; later one settled home's answer is enough."""

_ROUND_RETRY_SECONDS = 2.0
"""Delay before new rounds while no home is anchored."""

_NONCE_BITS = 62
_FIRST_ROUND = 1
_SECOND_ROUND = 2
_MAX_MOVES = 64
"""Moves kept in memory.

When the oldest one is dropped, its floor is older than any ledger window.
"""


def adopt_homes(
    state: OrdersState,
    service: str,
    wanted: OrderHomes,
    bootstrap: Instant,
    clock_bound: float,
) -> None:
    """Adopt the list of a new fleet text.

    From now on this home refuses keys that the new list assigns to others,
    which releases them.
    """
    home = state.homes.get(service)
    if home is None:
        floor = state.boot_at + CLOCK_BOUND_FACTOR * clock_bound
        fresh = HomeState(wanted, bootstrap, boot_floor=floor)
        state.put_home(service, fresh)
        return
    home = home._replace(bootstrap=bootstrap)
    if home.wanted != wanted:
        unsettled = (*home.unsettled, home.wanted)
        home = home._replace(wanted=wanted, unsettled=unsettled)
        home = _restart(home._replace(single_answer_at=0.0, handed_over_to=frozenset()))
    state.put_home(service, home)


def ask_homes(
    state: OrdersState, service: str, now: Instant, rng: random.Random
) -> tuple[tuple[str, HomeQuestion], ...]:
    """Return the questions to send now, each with its target home."""
    home = state.homes.get(service)
    if home is None or home_is_settled(home):
        return ()
    if state.vm not in home.wanted.homes or now < home.next_ask_at:
        return ()
    second = home.round_number == _SECOND_ROUND
    answered = home.second_round_boots if second else home.first_round_boots
    others = sorted(home.wanted.to_ask - {state.vm} - set(answered))
    nonces = {name: rng.getrandbits(_NONCE_BITS) for name in others}
    single_answer_at = home.single_answer_at or now + ALL_ANSWERS_TIMEOUT_SECONDS
    state.put_home(
        service, home._replace(nonces=nonces, single_answer_at=single_answer_at)
    )
    return tuple(
        (name, HomeQuestion(state.vm, state.boot, service, nonce, second))
        for name, nonce in nonces.items()
    )


def answer_question(
    state: OrdersState, question: HomeQuestion, text_revision: int
) -> HomeAnswer:
    """Return this home's state and, if wanted, entries of the asker's keys."""
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
    home, offer = offer_snapshot(home, question)
    state.put_home(question.service, home)
    if not question.wants_ledger:
        return answer
    handed_over_to = home.handed_over_to | {question.asker}
    state.put_home(question.service, home._replace(handed_over_to=handed_over_to))
    floor, handed = export_entries(state, home, question)
    return answer._replace(floor=floor, handed=handed, offer=offer)


def record_answer(
    state: OrdersState,
    answer: HomeAnswer,
    text_revision: int,
    clock_bound: float,
    now: Instant,
) -> None:
    """Record another home's answer; ignore it unless its question is open."""
    home = state.homes.get(answer.service)
    if home is None or home_is_settled(home):
        return
    if home.nonces.get(answer.vm) != answer.nonce:
        return
    if answer.text_revision > text_revision:
        # The newer text is fetched first; until then the answer isn't counted.
        return
    if answer.anchored:
        # That home's text is as new as any agreed one; this one is no older.
        home = home._replace(anchored=True)
    if answer.homes == home.wanted:
        merge_entries(state, answer.handed)
        home = _count_answer(home, answer)
    home = _settle_if_agreed(state, home, answer, clock_bound, now)
    state.put_home(answer.service, home)


def settle_if_only_home(
    state: OrdersState, service: str, clock_bound: float, now: Instant
) -> None:
    """Settle a list whose only home is this one, which has no peers to ask."""
    home = state.homes.get(service)
    if home is None or home_is_settled(home):
        return
    if home.wanted.to_ask == {state.vm} and _may_settle(state, home, clock_bound):
        floor = now + CLOCK_BOUND_FACTOR * clock_bound
        state.put_home(service, _settle(home, floor))


def _restart(home: HomeState) -> HomeState:
    return home._replace(
        round_number=_FIRST_ROUND,
        first_round_boots={},
        second_round_boots={},
        floors={},
        offers={},
        nonces={},
    )


def _count_answer(home: HomeState, answer: HomeAnswer) -> HomeState:
    nonces = {name: nonce for name, nonce in home.nonces.items() if name != answer.vm}
    home = home._replace(nonces=nonces)
    if home.round_number == _FIRST_ROUND:
        first = {**home.first_round_boots, answer.vm: answer.boot}
        return home._replace(first_round_boots=first)
    if home.first_round_boots.get(answer.vm) != answer.boot:
        # The home restarted between the rounds and lost its acknowledgement.
        return _restart(home)
    if answer.offer is not None:
        home = home._replace(offers={**home.offers, answer.vm: answer.offer})
    return home._replace(
        second_round_boots={**home.second_round_boots, answer.vm: answer.boot},
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
    if home.round_number == _FIRST_ROUND and others <= set(home.first_round_boots):
        return home._replace(round_number=_SECOND_ROUND, nonces={})
    unknown_until = now + CLOCK_BOUND_FACTOR * clock_bound
    if home.round_number == _SECOND_ROUND and others <= set(home.second_round_boots):
        if not _may_settle(state, home, clock_bound):
            # All agree but none is anchored: repeat the rounds until one is
            # or the operator publishes a bootstrap date.
            return _restart(home)._replace(next_ask_at=now + _ROUND_RETRY_SECONDS)
        home = restore_ledger(state, home, others)
        return _settle(home, _find_move_floor(home, unknown_until))
    confirmed = answer.homes == home.wanted and answer.settled and home.anchored
    if confirmed and now >= home.single_answer_at:
        # All homes have known this list, and none reverts to an older one.
        # But the orders run by homes that don't answer are unknown here.
        return _settle(home, unknown_until)
    return home


def _may_settle(state: OrdersState, home: HomeState, clock_bound: float) -> bool:
    """Return whether the home is anchored or started before the bootstrap."""
    return home.anchored or home.bootstrap > state.boot_at + clock_bound


def _find_move_floor(home: HomeState, unknown_until: Instant) -> Instant:
    """Return the date up to which keys moved here may have run elsewhere.

    A home that is gone for good has handed over no entries.
    """
    if home.wanted.some_gone:
        return unknown_until
    return max(home.floors.values(), default=unknown_until)


def _settle(home: HomeState, floor: Instant) -> HomeState:
    previous_lists = (home.settled, *home.unsettled) if home.settled else ()
    moves = (*home.moves, HomeMove(previous_lists, floor))
    return home._replace(
        anchored=True,
        settled=home.wanted,
        unsettled=(),
        moves=moves[-_MAX_MOVES:],
        floors={},
        offers={},
        nonces={},
    )
