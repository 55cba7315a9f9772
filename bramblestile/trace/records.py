"""The records of a trace: one typed record for each event of a request, a host or the program.

Class names, tags, field names and their order are the file format. ``at`` is in microseconds since the Unix epoch, by
the clock of the instance that wrote the record. ``adj`` is the correction that a merge has added to bring that clock
to the common one: the corrected time is ``at + adj``, and ``at`` is never rewritten. Durations end in ``_us``. A
class's ``VERSION`` is raised when the meaning of a field changes; a new field needs no new version
(docs/trace-format.md, Versions).
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

MIN_INT, MAX_INT = -(1 << 63), (1 << 64) - 1  # the range of an integer column


class Record(msgspec.Struct, kw_only=True, omit_defaults=True, tag_field="kind", gc=False):
    """The fields of all records. ``src`` is the instance that wrote the record."""

    VERSION: ClassVar[int] = 1
    at: int
    src: str = ""
    adj: int = 0


class Started(Record, tag="started"):
    """The program started to serve."""

    hall: str = ""
    version: str = ""
    fronts: str = ""


class Stopped(Record, tag="stopped"):
    """The program stopped in an orderly way, with ``standing`` connections still open.

    An instance's trace that ends without this record was cut off.
    """

    standing: int = 0


class Reloaded(Record, tag="reloaded"):
    """The configuration was read again.

    ``taken`` is False if it was faulty; then ``text`` names the key.
    """

    taken: bool = True
    text: str = ""


class Logged(Record, tag="logged"):
    """A line of the program's log."""

    level: str
    event: str
    text: str = ""
    id: str | None = None


class Request(Record, tag="request"):
    """A request arrived.

    ``key`` and ``group`` are up to 64 bits in hexadecimal, as on the wire. ``bound_to`` is the host that held the
    connection before this program started.
    """

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
    """A probe was sent to a host."""

    host: str
    front: str = ""


class Probed(Record, tag="probed"):
    """The result of a probe, with the host's report; a figure that was not reported is None."""

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
    """The balancer's view of one host at a decision.

    ``load`` is the last reported figure and ``load_at`` its time (0: never); ``believed`` is that figure aged, plus the
    backlog and this balancer's own placements since then (``placed`` counts them). ``weight`` is the weight in the
    random draw, None if the host took no part in it. ``warmth`` below 1 means slow start.
    """

    host: str
    weight: float | None = None
    load: float | None = None
    load_at: int = 0
    believed: float | None = None
    placed: int = 0
    warmth: float = 1.0
    masked: bool = False
    draining: bool = False
    asked: bool = False  # a probe was pending
    tried: bool = False


class Decision(Record, tag="decision"):
    """A decision of the balancing module.

    ``what`` is attempt, refuse or fail. ``why`` is first, again (the client retries), return (the client comes back
    after a move or a cut) or retry (an earlier attempt failed). ``average`` is the load of the fleet and ``lateness``
    the share of late attempts, as the module used them.
    """

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
    """The end of an upstream request.

    ``status`` "up" means that the connection is established. ``detail`` holds what the status does not tell, such as
    why a TLS handshake failed.
    """

    id: str
    number: int
    host: str
    status: str
    took_us: int
    detail: str | None = None


class Answer(Record, tag="answer"):
    """The final answer to a request; there is only one.

    ``outcome`` is served, refused (retry after ``wait_us``), failed, or left (the client went away).
    """

    id: str
    outcome: str
    cls: str
    attempts: int
    took_us: int
    tenant: str | None = None
    host: str | None = None
    wait_us: int | None = None


class Stand(Record, tag="stand"):
    """A connection is established. ``resumed``: its host held it before this program started."""

    id: str
    host: str
    resumed: bool = False


class Note(Record, tag="note"):
    """A delay, silence or hush of an established connection, in ms, as reported to the module."""

    id: str
    host: str
    what: str
    value: float


class Moved(Record, tag="moved"):
    """An established connection was told to move. ``reason``: drain, mute, hush, overload or stop."""

    id: str
    host: str
    reason: str


class Ended(Record, tag="ended"):
    """The end of an established connection. ``took_us`` counts from its Stand record."""

    id: str
    host: str
    status: str
    took_us: int
    moved: bool = False


class HostState(msgspec.Struct, omit_defaults=True, gc=False):
    """One entry of a host list. ``born_us`` is the host's last start, 0 if it is unknown or long ago."""

    host: str
    state: str
    zone: str = ""
    weight: float = 1.0
    born_us: int = 0


class Listed(Record, tag="listed"):
    """The module received a host list. ``mode``: changes, complete, restored or unavailable."""

    front: str
    mode: str
    hosts: list[HostState] = []


class Lost(Record, tag="lost"):
    """Records that are missing at this point.

    ``why`` is buffer (the queue was full), disk (the file could not be written) or held (a request held by the sampler
    was evicted for lack of memory). ``since`` is the time of the first missing record.
    """

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


def kind_name(cls: type[Record]) -> str:
    """Return the name of a record class in files and in JSON."""
    return str(cls.__struct_config__.tag)


def record_kind(record: Record) -> str:
    """Return the name of a record's kind in files and in JSON."""
    return kind_name(type(record))


def corrected_time(record: Record) -> int:
    """Return a record's time on the common clock, in microseconds since the epoch."""
    return record.at + record.adj


_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)


def to_json(record: Record) -> bytes:
    """Encode a record as one JSON line without a line ending, without fields that have their default value."""
    return _encoder.encode(record)


def from_json(line: bytes) -> Record:
    """Decode one JSON line.

    Raises:
        msgspec.ValidationError: a field is wrong; the message names it.
        msgspec.DecodeError: the line is not JSON.
    """
    return _decoder.decode(line)


def request_id_of(record: Record) -> str | None:
    """Return the id of the request that a record belongs to, if any."""
    return getattr(record, "id", None)


def hosts_in(record: Record) -> tuple[str, ...]:
    """Return the hosts that a record mentions."""
    hosts: list[str] = []
    host = getattr(record, "host", None)
    if host is not None:
        hosts.append(host)
    if isinstance(record, Decision):
        hosts += [c.host for c in record.candidates]
    elif isinstance(record, Listed):
        hosts += [h.host for h in record.hosts]
    return tuple(hosts)
