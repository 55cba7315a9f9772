"""The poll that a balancer sends to the leader and the leader's reply.

Each message is one datagram that the membership protocol seals and carries. The structs are encoded as arrays, so the
order of their fields is the wire format.
"""

from __future__ import annotations

import msgspec


class Poll(msgspec.Struct, array_like=True, frozen=True):
    """A balancer's periodic report to the leader, which also requests a new lease.

    Attributes:
        name: The balancer that polls.
        epoch: Identifies this start of the balancer's process.
        sent_at_us: Time of sending by the balancer's own clock, in microseconds; the reply returns it.
        term: Leadership term that the balancer acts by.
        applied_version: Version of the replicated state that the balancer acts by.
        plan_id: Id of the plan in that version.
        announced_count: Number of announced machines in that version.
        quiesced: Excluded machines to which no request of this balancer is still being written.
        connections: Open connections of this balancer to each excluded machine.
        names_held: How many machine names of the plan the balancer already holds.
        hops: 1 after a voter that does not lead has forwarded the poll to the leader.
        suspended_hosts: Machines that an operator has suspended at this balancer.
        ready: Whether the balancer is ready to serve.
    """

    name: str
    epoch: int
    sent_at_us: int
    term: int = 0
    applied_version: int = 0
    plan_id: str = ""
    announced_count: int = 0
    quiesced: tuple[str, ...] = ()
    connections: dict[str, int] = {}
    names_held: int = 0
    hops: int = 0
    suspended_hosts: tuple[str, ...] = ()
    ready: bool = True


class Reply(msgspec.Struct, array_like=True, frozen=True):
    """The leader's answer to a poll: the current plan, and a lease to act by it.

    Attributes:
        leader: Name of the leader.
        epoch: The ``epoch`` of the poll. A reply to an earlier process of the balancer is ignored, as its time stamp
            belongs to another clock.
        term: The leader's term.
        version: Version of the replicated state that the reply describes.
        sent_at_us: The poll's time stamp; the lease is counted from it.
        lease_ms: Length of the lease in milliseconds; 0: no lease yet.
        plan_id: Id of the active plan; empty without one.
        status: Status of the plan.
        announced_count: Number of machines, in the order of the plan, whose turn has been announced.
        machine_count: Number of machines in the plan.
        excluded: Machines that must get no new requests, each with its stage.
        announced: Machines whose turn has been announced and is not over.
        completed: The last few machines whose turn is over.
        fallback: Machines that a silent balancer may still send to.
        names_offset: Index in the plan of the first name in ``names``.
        names: The next machine names of the plan.
        returning: Machines whose work is done and that are not warm yet.
        poll_interval_ms: Time until the next poll in milliseconds; 0: the balancer's default.
        spill: Whether machines whose turn is still to come must take some of the new clients, as the others are full.
    """

    leader: str
    epoch: int
    term: int
    version: int
    sent_at_us: int
    lease_ms: int
    plan_id: str = ""
    status: str = "none"
    announced_count: int = 0
    machine_count: int = 0
    excluded: dict[str, str] = {}
    announced: tuple[str, ...] = ()
    completed: tuple[str, ...] = ()
    fallback: tuple[str, ...] = ()
    names_offset: int = 0
    names: tuple[str, ...] = ()
    returning: tuple[str, ...] = ()
    poll_interval_ms: int = 0
    spill: bool = False


MAX_MESSAGE_BYTES = 1000  # together with the membership header and the seal it fits in one datagram
Body = Poll | Reply
_poll_decoder, _reply_decoder = msgspec.msgpack.Decoder(Poll), msgspec.msgpack.Decoder(Reply)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: Body) -> bytes:
    """Return the datagram payload: one byte for the kind of message, then MessagePack."""
    return (b"q" if isinstance(message, Poll) else b"a") + _encoder.encode(message)


def decode_message(raw: bytes) -> Body:
    """Decode a datagram payload; raises ValueError if it is neither a poll nor a reply."""
    try:
        if raw[:1] == b"q":
            return _poll_decoder.decode(raw[1:])
        if raw[:1] == b"a":
            return _reply_decoder.decode(raw[1:])
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
    raise ValueError("neither a poll nor a reply")
