"""The public types of the decision module: settings, events and actions.

The caller builds one ``Balancer(settings, seed)`` (in ``vanegw.rules``), passes each event to
``Balancer.handle(now_us, event)`` and carries out the returned actions, in order.
Times are integer microseconds of one monotonic clock whose origin does not matter.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request may be repeated: always, only among backends that recognise the repeat, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which backends recognise and drop a repeat of a keyed request: all, those of its zone, or those of its cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """The state of a backend in the backend list."""

    RUNNING = "running"
    DRAINING = "draining"
    CLOSED = "closed"  # accepts nothing new; its open connections stay
    GONE = "gone"


class Status(Enum):
    """How an attempt or a probe ended, and whether the request may have run."""

    SERVED = ("served", True)
    ERROR = ("error", True)
    NO_ROOM = ("no_room", False)
    TIMED_OUT = ("timed_out", True)
    NO_ROUTE = ("no_route", False)
    CUT = ("cut", True)
    CANCELLED = ("cancelled", True)
    NOT_SENT = ("not_sent", False)

    @property
    def request_may_have_run(self) -> bool:
        """Whether the backend may have acted on the request."""
        return self.value[1]


class ListMode(Enum):
    """How a list event relates to the list that is held.

    CHANGES updates entries of it, COMPLETE replaces it, and RESTORED replaces it with the list known at the start.
    UNAVAILABLE means that the list could not be fetched.
    """

    CHANGES = "changes"
    COMPLETE = "complete"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


class NoteKind(Enum):
    """What a note measures.

    LOAD: the connection's present load, in microseconds of work a second. DELAY: milliseconds that a message takes at
    the backend. SILENCE: milliseconds for which the backend has returned nothing on this connection though a reply is
    due. HUSH: the same on all of this balancer's connections to the backend.
    """

    LOAD = 1
    DELAY = 2
    SILENCE = 3
    HUSH = 4


def _require(is_valid: bool, name: str, value: object) -> None:
    if not is_valid:
        raise ValueError(f"{name}: {value!r} is not a valid value")


def _is_finite_number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)


def _require_at_least(owner: object, minimum: float, *names: str) -> None:
    """Raise ValueError unless each of these attributes is a finite number that is not below the minimum."""
    for name in names:
        value = getattr(owner, name)
        _require(_is_finite_number(value) and value >= minimum, name, value)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its objectives, its worth and whether it may be repeated.

    Raises ValueError for a field out of range; the message begins with the field's name.
    """

    name: str
    objective_us: int  # within which a connection should be set up
    deadline_us: int  # after which a client gives up
    effect: Effect = Effect.SAFE
    dedup_scope: Scope = Scope.ALL
    memory_span_us: int = 0  # for which backends remember a keyed request, to drop its repeats
    worth: float = 1.0
    message_aim_us: float = 0.0  # latency target of one message on an open connection; 0: no target

    def __post_init__(self) -> None:
        _require(isinstance(self.name, str) and self.name != "", "name", self.name)
        _require(isinstance(self.effect, Effect), "effect", self.effect)
        _require(isinstance(self.dedup_scope, Scope), "dedup_scope", self.dedup_scope)
        _require_at_least(self, 1, "objective_us", "deadline_us")
        _require_at_least(self, 0, "memory_span_us", "worth", "message_aim_us")


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer and its quota of open connections, over all balancers (0: no quota).

    Raises ValueError for a field out of range; the message begins with the field's name.
    """

    name: str
    portion: float = 0.0
    quota_connections: float = 0.0

    def __post_init__(self) -> None:
        _require_at_least(self, 0, "portion", "quota_connections")


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a balancer. Prices that are not set are 0.

    A backend is cold for ``cold_us`` after its start, while its capacity grows from the share ``cold_from`` (above 0,
    up to 1) to the whole. Any time window of ``fall_us`` has a budget of connections to cold backends: all balancers
    together may open ``fall_multiple`` x ``fall_us`` / ``cold_us`` times the connections that the cold backends can
    hold.

    Raises ValueError for a field out of range; the message begins with the field's name.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1  # that share the backends
    zone: str = ""  # of this balancer
    list_on_request: bool = False  # changes of the list come only after a Subscribe
    list_weights: bool = True  # the weights in the list are the backends' relative sizes
    reports_load: bool = True
    may_probe: bool = True
    may_cancel: bool = True
    groups: bool = False  # connections of one group share work on a backend
    pass_through: bool = False
    try_limit: int = 3  # attempts for one request
    max_retry_after_us: int = 0
    over_share_worth: float = 1.0  # factor of the worth of requests over their tenant's share; unused by Balancer
    counted_by_work: bool = False
    cross_zone_price: float = 0.0
    move_price: float = 0.0
    probe_price: float = 0.0
    cold_from: float = 1.0  # share of its capacity that a backend has at its start
    cold_us: int = 0
    fall_multiple: float = 1.0  # factor of the budget of connections to cold backends
    fall_us: int = 0  # time window of that budget
    drain_grace_us: int = 0  # before the connections of a draining backend are moved
    must_ask_in_us: int = 10_000_000  # longest wait before a new Subscribe; Balancer's own waits are fixed

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", self.classes)
        names = [request_class.name for request_class in self.classes]
        _require(len(set(names)) == len(names), "classes", names)
        _require_at_least(self, 1, "balancers", "try_limit", "must_ask_in_us")
        _require_at_least(
            self,
            0,
            "max_retry_after_us",
            "over_share_worth",
            "cross_zone_price",
            "move_price",
            "probe_price",
            "cold_us",
            "fall_multiple",
            "fall_us",
            "drain_grace_us",
        )
        _require(_is_finite_number(self.cold_from) and 0 < self.cold_from <= 1, "cold_from", self.cold_from)


@dataclass(slots=True, frozen=True)
class Backend:
    """One entry of the backend list. ``started_us`` is None for a backend that started long ago."""

    name: str
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_us: int | None = None
    kind: str = ""
    state: State = State.RUNNING


@dataclass(slots=True, frozen=True)
class Report:
    """A backend's load report; a figure that is not reported is None.

    ``load`` and ``utilisation`` are shares of the backend's capacity, ``queue`` and ``inflight`` are counts.
    """

    load: float | None = None
    utilisation: float | None = None
    queue: float | None = None
    inflight: float | None = None
    backlog_s: float | None = None
    latency_ms: float | None = None
    rate: float | None = None
    error_rate: float | None = None


# Events, which the caller passes to the balancer.


@dataclass(slots=True, frozen=True)
class BackendList:
    """The list of backends, changes to it, or the failure to fetch it."""

    mode: ListMode
    backends: tuple[Backend, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    """A client asks for a connection. ``remaining_us`` is the time left before it gives up."""

    id: str
    cls: str
    remaining_us: int
    tenant: str | None = None
    key: int | None = None
    group: int | None = None
    load_hint: float | None = None
    is_retry: bool = False
    is_return: bool = False
    mid_flow: bool = False


@dataclass(slots=True, frozen=True)
class Inherited:
    """A connection that was already open when the balancer was created."""

    request: Request
    backend: str


@dataclass(slots=True, frozen=True)
class Opened:
    """An attempt has opened its connection, which stays with its backend until an Outcome ends it."""

    id: str
    attempt: int
    backend: str
    took_us: int


@dataclass(slots=True, frozen=True)
class Note:
    """A measurement on an attempt in flight or an open connection. The kind gives the unit of ``value``."""

    id: str
    attempt: int
    backend: str
    kind: NoteKind
    value: float


@dataclass(slots=True, frozen=True)
class Outcome:
    """An attempt has ended. ``finished``: the request is over and needs no answer."""

    id: str
    attempt: int
    backend: str
    status: Status
    took_us: int
    finished: bool
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client has gone away and needs no answer."""

    id: str


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """The answer to one Probe, or the reason why there is none."""

    backend: str
    status: Status
    took_us: int
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time of a SetTimer has passed."""

    token: str


@dataclass(slots=True, frozen=True)
class Shutdown:
    """The balancer is about to end: from now on each request is answered as soon as no attempt of it is out."""


Event = BackendList | Request | Inherited | Opened | Note | Outcome | ClientGone | ProbeResult | TimerFired | Shutdown


# Actions, which the caller carries out.


@dataclass(slots=True, frozen=True)
class Attempt:
    """Send the request to a backend, and abandon that attempt at ``until_us``.

    From ``send_by_us`` on its first byte must not be sent any more, because the backend would not recognise the repeat;
    the attempt then ends as NOT_SENT. None: no such limit.
    """

    id: str
    backend: str
    until_us: int
    send_by_us: int | None = None


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused; another try is harmless, after ``retry_after_us``."""

    id: str
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the request may have run."""

    id: str


@dataclass(slots=True, frozen=True)
class Move:
    """End an open connection gracefully; its client comes back as a new request."""

    id: str


@dataclass(slots=True, frozen=True)
class Probe:
    """Request a load report from a backend."""

    backend: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Request the changes of the backend list from now on."""


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a TimerFired after this time."""

    after_us: int
    token: str


Action = Attempt | Cancel | Refuse | Fail | Move | Probe | Subscribe | SetTimer
