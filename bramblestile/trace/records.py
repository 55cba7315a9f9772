"""What a trace holds: one typed record for each thing that happened to a request, a host or the program.

Times (``at``) are integer microseconds since the Unix epoch by the clock of the instance that wrote the record;
``adj`` is what a merge has added to bring that clock onto the common one, so ``at + adj`` is the corrected time
and ``at`` is never rewritten. Spans end in ``_us``. A class's ``VERSION`` rises when a field's *meaning* changes;
a field that is added needs no new version (docs/trace-format.md, Versions).
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

INT_LEAST, INT_MOST = -(1 << 63), (1 << 64) - 1  # what a column of whole numbers can hold


class Record(msgspec.Struct, kw_only=True, omit_defaults=True, tag_field="kind", gc=False):
    """What all records have. ``src`` is the instance that saw it."""

    VERSION: ClassVar[int] = 1
    at: int
    src: str = ""
    adj: int = 0


class Started(Record, tag="started"):
    """The program began to serve."""

    hall: str = ""
    version: str = ""
    fronts: str = ""


class Stopped(Record, tag="stopped"):
    """The program stopped in order. A trace of an instance that ends without it was cut off."""

    standing: int = 0


class Reloaded(Record, tag="reloaded"):
    """The configuration was read again. ``taken`` False: it was faulty, and ``text`` names the key."""

    taken: bool = True
    text: str = ""


class Logged(Record, tag="logged"):
    """A line of the program's log."""

    level: str
    event: str
    text: str = ""
    id: str | None = None


class Request(Record, tag="request"):
    """A request arrived. ``key`` and ``group`` are up to 64 bits in hexadecimal, as on the wire."""

    id: str
    front: str
    cls: str
    wait_us: int
    tenant: str | None = None
    key: str | None = None
    group: str | None = None
    load_hint: float | None = None
    is_retry: bool = False
    is_return: bool = False
    bound_to: str | None = None


class ProbeSent(Record, tag="probe_sent"):
    """A host was asked for its load."""

    host: str
    front: str = ""


class Probed(Record, tag="probed"):
    """How a probe ended, with the report that came (a figure that was not reported is None)."""

    host: str
    status: str
    took_us: int
    front: str = ""
    load: float | None = None
    utilisation: float | None = None
    queue: float | None = None
    inflight: float | None = None
    backlog_s: float | None = None
    latency_ms: float | None = None


class Candidate(msgspec.Struct, omit_defaults=True, gc=False):
    """What the balancer believed of one host when it decided. ``load``: the last figure reported, at
    ``load_at`` (0: never); ``believed``: that figure aged, with own placements since and the backlog;
    ``weight``: what the draw went by, None where the host took no part in it; ``warmth``: under 1 it is cold."""

    host: str
    weight: float | None = None
    load: float | None = None
    load_at: int = 0
    believed: float | None = None
    placed: int = 0
    warmth: float = 1.0
    masked: bool = False
    draining: bool = False
    asked: bool = False  # a probe was out that it had not answered
    tried: bool = False


class Decision(Record, tag="decision"):
    """The module's choice. ``what``: attempt, refuse or fail; ``why``: first, again (the client's retry),
    return (it was moved or cut), retry (an attempt before this one failed). ``average`` is the fleet's load and
    ``lateness`` the share of late attempts that the module went by."""

    id: str
    what: str
    why: str
    number: int = 0
    host: str | None = None
    until_us: int | None = None
    wait_us: int | None = None
    average: float = 0.0
    lateness: float = 0.0
    candidates: list[Candidate] = []


class Attempt(Record, tag="attempt"):
    """An upstream request's end; ``status`` "up" is a connection that stands from now on. ``detail``: what the status
    does not tell, such as why a TLS handshake failed."""

    id: str
    number: int
    host: str
    status: str
    took_us: int
    detail: str | None = None


class Answer(Record, tag="answer"):
    """The one final answer: served, refused (come back after ``wait_us``), failed, or left (the client did)."""

    id: str
    outcome: str
    cls: str
    attempts: int
    took_us: int
    tenant: str | None = None
    host: str | None = None
    wait_us: int | None = None


class Stand(Record, tag="stand"):
    """The connection stands. ``resumed``: its host held it before this program started."""

    id: str
    host: str
    resumed: bool = False


class Note(Record, tag="note"):
    """News of a standing connection as the module hears it: delay, silence or hush, in ms."""

    id: str
    host: str
    what: str
    value: float


class Moved(Record, tag="moved"):
    """A standing connection was told to move. ``reason``: drain, mute, hush, overload or stop."""

    id: str
    host: str
    reason: str


class Ended(Record, tag="ended"):
    """A standing connection's end. ``took_us`` counts from its stand."""

    id: str
    host: str
    status: str
    took_us: int
    moved: bool = False


class HostState(msgspec.Struct, omit_defaults=True, gc=False):
    """One entry of a list of hosts. ``born_us``: its last start, 0 if long ago."""

    host: str
    state: str
    zone: str = ""
    weight: float = 1.0
    born_us: int = 0


class Listed(Record, tag="listed"):
    """The module was told of hosts. ``mode``: changes, complete, restored or unavailable."""

    front: str
    mode: str
    hosts: list[HostState] = []


class Lost(Record, tag="lost"):
    """Records that are missing here, how many and why: buffer (full), disk (the file could not be written)
    or held (a sampled story was given up for want of room). ``since`` is the time of the first of them."""

    count: int
    why: str
    since: int = 0


KINDS: tuple[type[Record], ...] = (
    Started,
    Stopped,
    Reloaded,
    Logged,
    Request,
    ProbeSent,
    Probed,
    Decision,
    Attempt,
    Answer,
    Stand,
    Note,
    Moved,
    Ended,
    Listed,
    Lost,
)
AnyRecord = (
    Started
    | Stopped
    | Reloaded
    | Logged
    | Request
    | ProbeSent
    | Probed
    | Decision
    | Attempt
    | Answer
    | Stand
    | Note
    | Moved
    | Ended
    | Listed
    | Lost
)


def name_of(cls: type[Record]) -> str:
    """A kind's name in files and in JSON."""
    return str(cls.__struct_config__.tag)


def kind_of(record: Record) -> str:
    return name_of(type(record))


def corrected(record: Record) -> int:
    """Microseconds since the epoch on the common clock."""
    return record.at + record.adj


_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)


def to_json(record: Record) -> bytes:
    """One line without its ending; fields that hold their default are left out."""
    return _encoder.encode(record)


def from_json(line: bytes) -> Record:
    """Raises msgspec.ValidationError or DecodeError, whose text names the faulty field."""
    return _decoder.decode(line)


def ids_of(record: Record) -> str | None:
    """The request that a record tells of, if it tells of one."""
    return getattr(record, "id", None)


def hosts_of(record: Record) -> tuple[str, ...]:
    """The hosts that a record tells of."""
    named: list[str] = []
    host = getattr(record, "host", None)
    if host is not None:
        named.append(host)
    if isinstance(record, Decision):
        named += [c.host for c in record.candidates]
    elif isinstance(record, Listed):
        named += [h.host for h in record.hosts]
    return tuple(named)
