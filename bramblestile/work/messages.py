"""What a balancer asks the leader, and the answer: each in one datagram, by way of the membership's seal."""

from __future__ import annotations

import msgspec


class Poll(msgspec.Struct, array_like=True, frozen=True):
    """``stamp``: the asker's own time of sending, microseconds, given back. ``seen``: the version that it acts by, with
    ``plan`` and ``ahead`` as that one has them. ``quiet``: machines left alone where nothing of its own is being sent;
    ``standing``: how many connections it still has there. ``have``: names of the plan's order that it holds."""

    name: str
    life: int
    stamp: int
    term: int = 0
    seen: int = 0
    plan: str = ""
    ahead: int = 0
    quiet: tuple[str, ...] = ()
    standing: dict[str, int] = {}
    have: int = 0
    hops: int = 0  # a voter that does not lead passes it on, once
    by_hand: tuple[str, ...] = ()  # machines that an operator has taken out at this balancer
    ready: bool = True  # it would serve


class Reply(msgspec.Struct, array_like=True, frozen=True):
    """``lease_ms``: from ``stamp`` on by the asker's clock it may act by this; 0: none yet. ``alone``: machines to be
    left alone, each with its stage; ``window``: those whose turn may come. ``names``: the order from ``at`` on."""

    leader: str
    life: int  # the asker's: an answer to the process before is none, its stamp is of another clock
    term: int
    version: int
    stamp: int
    lease_ms: int
    plan: str = ""
    status: str = "none"
    ahead: int = 0
    count: int = 0  # machines of the plan
    alone: dict[str, str] = {}
    window: tuple[str, ...] = ()
    over: tuple[str, ...] = ()  # the last few whose turn is over
    refuge: tuple[str, ...] = ()
    at: int = 0
    names: tuple[str, ...] = ()
    back: tuple[str, ...] = ()  # whose work is done, and who are not warm yet
    poll_ms: int = 0  # until it is to ask again; 0: as it likes
    full: bool = False  # no room where clients may stay: machines still to come have to take some


LARGEST = 1000  # bytes: with the membership's own part and the seal one datagram
Body = Poll | Reply
_poll, _reply = msgspec.msgpack.Decoder(Poll), msgspec.msgpack.Decoder(Reply)
_encoder = msgspec.msgpack.Encoder()


def encoded(message: Body) -> bytes:
    return (b"q" if isinstance(message, Poll) else b"a") + _encoder.encode(message)


def decoded(raw: bytes) -> Body:
    """ValueError where it is neither."""
    try:
        if raw[:1] == b"q":
            return _poll.decode(raw[1:])
        if raw[:1] == b"a":
            return _reply.decode(raw[1:])
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
    raise ValueError("neither a poll nor an answer")
