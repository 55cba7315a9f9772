"""Membership messages: one msgpack message per datagram, encoded by msgspec.

Structs are encoded as arrays, so the order of the fields is the wire format. New fields may only be added at the end
and need a default: an older member ignores fields that it does not know, and a newer one fills in missing ones. A
message of an unknown kind is ignored as well.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from zlib import crc32

import msgspec

MAX_MESSAGE_BYTES = 1200  # fits any path's minimum MTU together with its seal, so that no datagram is fragmented
MAX_RECORDS_PER_MESSAGE = 64  # also for entries; a datagram full of minimum-size records holds fewer
MAX_NAME_BYTES = 64  # of a member's name, hall and version, and of an entry's key
MAX_VALUE_BYTES = 400  # of an entry: with its key and owner it fits into a message beside a record
DIGEST_BUCKETS = 128  # at 1,000 members 8 per bucket, whose records fit into one message


class State(IntEnum):
    """The state of a member; the larger one wins between records of the same epoch and incarnation."""

    ALIVE = 0
    SUSPECT = 1  # the record's ``accuser`` could not reach it
    DEAD = 2
    LEFT = 3  # announced by the member itself


class Kind(StrEnum):
    """The type of a message; the value is what is sent."""

    PING = "p"
    ACK = "a"
    NACK = "n"  # answers a ping request: the target was pinged for you and has not answered yet
    PING_REQUEST = "r"  # indirect probe: ping ``subject`` for the sender
    DIGEST = "d"
    BUCKETS = "s"  # anti-entropy: records and entries of the buckets that differ; may request the receiver's in return
    GOSSIP = "g"
    DIRECT = "l"  # a payload of another component, for this member only


class MemberRecord(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=False):
    """What one member claims about another or about itself.

    ``epoch`` identifies one start of the member's process; a later start has a larger one. ``incarnation`` counts the
    suspicions that the member has refuted since that start. ``accuser`` is the member that could not reach it.
    """

    name: str
    host: str
    port: int
    epoch: int
    incarnation: int = 0
    state: int = 0
    accuser: str = ""
    hall: str = ""
    version: str = ""

    @property
    def recency(self) -> tuple[int, int]:
        """The order of records about one member: the larger one is newer."""
        return self.epoch, self.incarnation


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A small value that its owner publishes to all members.

    Of two entries with the same owner and key the larger version wins. ``ttl_ms`` is the remaining time to live when
    the message was sent.
    """

    owner: str
    key: str
    version: int
    value: bytes
    ttl_ms: int


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One datagram's content.

    ``sender`` is the sender's own record, or None if another process holds its name. ``sequence`` identifies a probe
    and is returned in its answer. ``requested_buckets`` holds one bucket number per byte.
    """

    kind: str
    sender: MemberRecord | None
    sequence: int = 0
    subject: MemberRecord | None = None
    records: tuple[MemberRecord, ...] = ()
    entries: tuple[Entry, ...] = ()
    digest: bytes = b""
    requested_buckets: bytes = b""
    payload: bytes = b""


class MessageError(Exception):
    """A datagram of an authenticated sender that does not hold a valid message."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def to_msgpack(item: Message | MemberRecord | Entry) -> bytes:
    """Encode a message, or a part of one to learn its size."""
    return _encoder.encode(item)


def from_msgpack(raw: bytes | memoryview) -> Message:
    """Decode and validate a message.

    Raises:
        MessageError: if it is malformed, or a part of it is out of bounds.
    """
    try:
        message = _decoder.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError) as error:
        raise MessageError(str(error)) from None
    if (
        len(message.records) > MAX_RECORDS_PER_MESSAGE
        or len(message.entries) > MAX_RECORDS_PER_MESSAGE
        or len(message.digest) not in (0, DIGEST_BUCKETS * 4)
    ):
        raise MessageError("too many records or entries, or a digest of the wrong length")
    for record in (message.sender, message.subject, *message.records):
        if record is not None:
            _validate_record(record)
    for entry in message.entries:
        if not (
            _is_valid_name(entry.owner)
            and _is_valid_name(entry.key)
            and len(entry.value) <= MAX_VALUE_BYTES
            and 0 <= entry.version < 1 << 63
            and 0 <= entry.ttl_ms < 1 << 40
        ):
            raise MessageError("an entry has a field that is out of bounds")
    return message


def _validate_record(record: MemberRecord) -> None:
    if not (
        _is_valid_name(record.name)
        and 0 < len(record.host) <= MAX_NAME_BYTES
        and 0 < record.port < 1 << 16
        and 0 <= record.epoch < 1 << 63
        and 0 <= record.incarnation < 1 << 31
        and record.state in State._value2member_map_
        and all(len(text.encode()) <= MAX_NAME_BYTES for text in (record.accuser, record.hall, record.version))
    ):
        raise MessageError("a member record has a field that is out of bounds")


def _is_valid_name(text: str) -> bool:
    return 0 < len(text.encode()) <= MAX_NAME_BYTES


def bucket_of(name: str) -> int:
    """Return the digest bucket that a member's record and entries belong to."""
    return crc32(name.encode()) % DIGEST_BUCKETS
