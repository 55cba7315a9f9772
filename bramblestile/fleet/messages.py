"""What members say to each other: one message to a datagram, in msgpack by msgspec.

Fields have their place and may only be added at the end, with a default: an older member passes over what it does not
know, and a newer one fills in what it is not told. A kind that nobody knows is passed over too.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from zlib import crc32

import msgspec

LARGEST = 1200  # bytes of a message: with its seal below every path's least packet, so that none is cut in two
MOST_FACTS = 64  # in one message; a datagram of them all at their least size has fewer
LONGEST_NAME = 64  # bytes of a name, a hall, a version and an entry's key
LONGEST_VALUE = 400  # bytes of an entry: with its key and owner it goes beside a fact
BUCKETS = 128  # of a digest: at a thousand members 8 to a bucket, whose facts go into one message


class State(IntEnum):
    """The larger one wins where life and turn are the same."""

    ALIVE = 0
    SUSPECT = 1  # ``by`` could not reach it
    DEAD = 2
    LEFT = 3  # it has said so itself


class Kind(StrEnum):
    PING = "p"
    ACK = "a"
    NACK = "n"  # "your ping is on its way to the one you asked me about, who has not answered yet"
    ASK = "r"  # "ping ``about`` for me"
    DIGEST = "d"
    PAGE = "s"  # facts and entries that the other lacks; ``want``: buckets of which it is asked for its own
    GOSSIP = "g"
    LOAD = "l"  # something of another part's, for this member alone


class Fact(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=False):
    """What somebody says of a member. ``life``: one start of its process; a later start has a larger one. ``turn``: how
    often it has contradicted since. ``by``: who could not reach it."""

    name: str
    host: str
    port: int
    life: int
    turn: int = 0
    state: int = 0
    by: str = ""
    hall: str = ""
    version: str = ""

    @property
    def age(self) -> tuple[int, int]:
        return self.life, self.turn


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A little state of its owner's. The larger version wins. ``left_ms``: until it ends, as of its sending."""

    owner: str
    key: str
    version: int
    value: bytes
    left_ms: int


class Message(msgspec.Struct, array_like=True, frozen=True):
    """``me``: the sender; None from one whose name another holds. ``number``: of a probe, given back by its answer."""

    kind: str
    me: Fact | None
    number: int = 0
    about: Fact | None = None
    facts: tuple[Fact, ...] = ()
    entries: tuple[Entry, ...] = ()
    digest: bytes = b""
    want: bytes = b""  # numbers of buckets
    load: bytes = b""


class MessageError(Exception):
    """It came from one who has the key, and is no message all the same."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encoded(message: Message | Fact | Entry) -> bytes:
    return _encoder.encode(message)


def decoded(raw: bytes | memoryview) -> Message:
    try:
        got = _decoder.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError) as error:
        raise MessageError(str(error)) from None
    if len(got.facts) > MOST_FACTS or len(got.entries) > MOST_FACTS or len(got.digest) not in (0, BUCKETS * 4):
        raise MessageError("too much of one kind")
    for fact in (got.me, got.about, *got.facts):
        if fact is not None:
            _check(fact)
    for entry in got.entries:
        if not (
            _is_name(entry.owner)
            and _is_name(entry.key)
            and len(entry.value) <= LONGEST_VALUE
            and 0 <= entry.version < 1 << 63
            and 0 <= entry.left_ms < 1 << 40
        ):
            raise MessageError("an entry with a part out of bounds")
    return got


def _check(fact: Fact) -> None:
    if not (
        _is_name(fact.name)
        and 0 < len(fact.host) <= LONGEST_NAME
        and 0 < fact.port < 1 << 16
        and 0 <= fact.life < 1 << 63
        and 0 <= fact.turn < 1 << 31
        and fact.state in State._value2member_map_
        and all(len(text.encode()) <= LONGEST_NAME for text in (fact.by, fact.hall, fact.version))
    ):
        raise MessageError("a fact with a part out of bounds")


def _is_name(text: str) -> bool:
    return 0 < len(text.encode()) <= LONGEST_NAME


def bucket_of(name: str) -> int:
    return crc32(name.encode()) % BUCKETS
