"""Conversion between typed values and protobuf messages."""

import zlib
from collections.abc import Iterable

from returns.result import Success

from mintsaddle.decisions.configuration import ConfigurationState
from mintsaddle.decisions.orders import (
    HomeAnswer,
    HomeQuestion,
    LedgerEntry,
    LedgerSnapshot,
    OrderStatus,
)
from mintsaddle.fleet import OrderHomes
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.values import Claim, Load, Reason, Refusal, Stamp, parse_key

_MAX_VALUE_BYTES = 1_048_576


def write_stamp(stamp: Stamp) -> pb.Stamp:
    """Convert a stamp to its message."""
    return pb.Stamp(
        vm=stamp.vm,
        boot=stamp.boot,
        text_revision=stamp.text_revision,
        marks_revision=stamp.marks_revision,
    )


def read_stamp(message: pb.Stamp) -> Stamp:
    """Convert a message to a stamp."""
    return Stamp(
        message.vm, message.boot, message.text_revision, message.marks_revision
    )


def write_load(load: Load) -> pb.Load:
    """Convert a load to its message."""
    return pb.Load(
        in_flight=load.in_flight,
        limit=load.limit,
        queued=load.queued,
        leaving=load.leaving,
    )


def read_load(message: pb.Load) -> Load:
    """Convert a message to a load."""
    return Load(message.in_flight, message.limit, message.queued, message.leaving)


def write_refusal(refusal: Refusal) -> pb.Refused:
    """Convert a refusal to its message."""
    return pb.Refused(
        claim=refusal.claim.value,
        reason=refusal.reason.value,
        retry_at=refusal.retry_at,
    )


def read_refusal(message: pb.Refused) -> Refusal:
    """Convert a message to a refusal."""
    return Refusal(Claim(message.claim), Reason(message.reason), message.retry_at)


def compress_configuration(
    state: ConfigurationState, requester: Stamp, own: Stamp
) -> pb.FetchReply:
    """Return the compressed parts that are newer than the requester's."""
    reply = pb.FetchReply(stamp=write_stamp(own))
    if state.text_revision > requester.text_revision:
        reply.text = zlib.compress(state.text.encode())
    if state.marks_revision > requester.marks_revision:
        reply.marks = zlib.compress(state.marks_text.encode())
    return reply


def decompress_value(compressed: bytes) -> str | None:
    """Decompress a text; return None if it is corrupt or too large."""
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(compressed, _MAX_VALUE_BYTES + 1)
        text = raw.decode()
    except (zlib.error, UnicodeDecodeError):
        return None
    if len(raw) > _MAX_VALUE_BYTES or not decompressor.eof:
        return None
    return text


def write_home_question(question: HomeQuestion, stamp: Stamp) -> pb.HomeQuestion:
    """Convert a home's question to its message."""
    return pb.HomeQuestion(
        stamp=write_stamp(stamp),
        asker=question.asker,
        service=question.service,
        nonce=question.nonce,
        wants_ledger=question.wants_ledger,
    )


def read_home_question(message: pb.HomeQuestion) -> HomeQuestion:
    """Convert a message to a home's question."""
    return HomeQuestion(
        message.asker,
        message.stamp.boot,
        message.service,
        message.nonce,
        message.wants_ledger,
    )


def write_home_answer(answer: HomeAnswer, stamp: Stamp) -> pb.HomeAnswer:
    """Convert a home's answer to its message."""
    message = pb.HomeAnswer(
        stamp=write_stamp(stamp),
        service=answer.service,
        nonce=answer.nonce,
        anchored=answer.anchored,
        settled=answer.settled,
        handed=[_write_entry(entry) for entry in answer.handed],
        floor=answer.floor,
    )
    if answer.offer is not None:
        message.offer.CopyFrom(write_bequest(answer.offer, stamp))
    if answer.homes is not None:
        message.homes.homes.extend(answer.homes.homes)
        message.homes.to_ask.extend(sorted(answer.homes.to_ask))
        message.homes.some_gone = answer.homes.some_gone
    return message


def read_home_answer(message: pb.HomeAnswer) -> HomeAnswer:
    """Convert a message to a home's answer."""
    homes = None
    if message.HasField("homes"):
        to_ask = frozenset(message.homes.to_ask)
        listed = tuple(message.homes.homes)
        homes = OrderHomes(listed, to_ask, message.homes.some_gone)
    offer = read_bequest(message.offer) if message.HasField("offer") else None
    return HomeAnswer(
        vm=message.stamp.vm,
        boot=message.stamp.boot,
        service=message.service,
        nonce=message.nonce,
        homes=homes,
        text_revision=message.stamp.text_revision,
        anchored=message.anchored,
        settled=message.settled,
        floor=message.floor,
        handed=_read_entries(message.handed, message.service),
        offer=offer,
    )


def write_bequest(snapshot: LedgerSnapshot, stamp: Stamp) -> pb.Bequest:
    """Convert the ledger snapshot of a leaving home to its message."""
    return pb.Bequest(
        stamp=write_stamp(stamp),
        vm=snapshot.vm,
        boot=snapshot.boot,
        service=snapshot.service,
        floor=snapshot.floor,
        entries=[_write_entry(entry) for entry in snapshot.entries],
    )


def read_bequest(message: pb.Bequest) -> LedgerSnapshot:
    """Convert a message to the ledger snapshot of a leaving home."""
    entries = _read_entries(message.entries, message.service)
    return LedgerSnapshot(
        message.vm, message.boot, message.service, message.floor, entries
    )


def _read_entries(
    messages: Iterable[pb.HandedOrder], service: str
) -> tuple[LedgerEntry, ...]:
    entries = (_read_entry(message, service) for message in messages)
    return tuple(entry for entry in entries if entry is not None)


def _write_entry(entry: LedgerEntry) -> pb.HandedOrder:
    return pb.HandedOrder(
        key=entry.key.text,
        status=entry.status.value,
        http_status=entry.http_status,
        content_type=entry.content_type,
        body=entry.body,
    )


def _read_entry(message: pb.HandedOrder, service: str) -> LedgerEntry | None:
    match parse_key(message.key):
        case Success(key):
            return LedgerEntry(
                key,
                service,
                OrderStatus(message.status),
                message.http_status,
                message.content_type,
                message.body,
            )
    return None
