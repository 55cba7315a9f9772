"""What a relay and the balancer say to each other: settings, events and actions.

A relay builds one ``Balancer(settings, seed)`` (in ``vanegw.rules``), hands each event to
``Balancer.handle(now_us, event)`` and carries out the actions that come back, in order.
Times are integer microseconds of one monotonic clock whose origin does not matter.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request may be run again: always, inside a group that drops repeats, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which backends drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """What the backend list says of a backend."""

    RUNNING = "running"
    DRAINING = "draining"
    CLOSED = "closed"  # takes nothing new; what it holds stays
    GONE = "gone"


class Status(Enum):
    """How an attempt or a probe ended. The second value tells whether the request may have run."""

    SERVED = ("served", True)
    ERROR = ("error", True)
    NO_ROOM = ("no_room", False)
    TIMED_OUT = ("timed_out", True)
    NO_ROUTE = ("no_route", False)
    CUT = ("cut", True)
    CANCELLED = ("cancelled", True)
    NOT_SENT = ("not_sent", False)

    @property
    def may_have_run(self) -> bool:
        return self.value[1]


class ListMode(Enum):
    """How a list event relates to the list held so far."""

    CHANGES = "changes"
    COMPLETE = "complete"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


class NoteKind(Enum):
    """LOAD: the connection's load now (us of work a second). DELAY: ms a message takes at the backend.
    SILENCE: ms for which the backend has returned nothing on this connection, though it was asked to.
    HUSH: the same, but on none of this relay's connections."""

    LOAD = 1
    DELAY = 2
    SILENCE = 3
    HUSH = 4


def _check(ok: bool, name: str, value: object) -> None:
    if not ok:
        raise ValueError(f"{name}: {value!r} makes no sense")


def _number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)


def _at_least(owner: object, low: float, *names: str) -> None:
    for name in names:
        value = getattr(owner, name)
        _check(_number(value) and value >= low, name, value)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its aims, its worth and whether it may be repeated."""

    name: str
    objective_us: int
    deadline_us: int
    effect: Effect = Effect.SAFE
    dedup_scope: Scope = Scope.ALL
    memory_span_us: int = 0
    worth: float = 1.0
    message_aim_us: float = 0.0

    def __post_init__(self) -> None:
        _check(isinstance(self.name, str) and self.name != "", "name", self.name)
        _check(isinstance(self.effect, Effect), "effect", self.effect)
        _check(isinstance(self.dedup_scope, Scope), "dedup_scope", self.dedup_scope)
        _at_least(self, 1, "objective_us", "deadline_us")
        _at_least(self, 0, "memory_span_us", "worth", "message_aim_us")


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer: the open connections, over all relays, that its share pays for (0: not told)."""

    name: str
    portion: float = 0.0
    quota_connections: float = 0.0

    def __post_init__(self) -> None:
        _at_least(self, 0, "portion", "quota_connections")


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a relay is told at its start. Unset prices count as nothing."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1
    zone: str = ""
    list_on_request: bool = False
    list_weights: bool = True
    reports_load: bool = True
    may_probe: bool = True
    may_cancel: bool = True
    groups: bool = False
    pass_through: bool = False
    try_limit: int = 3
    max_retry_after_us: int = 0
    over_share_worth: float = 1.0
    counted_by_work: bool = False
    cross_zone_price: float = 0.0
    move_price: float = 0.0
    probe_price: float = 0.0
    cold_from: float = 1.0
    cold_us: int = 0
    fall_multiple: float = 1.0
    fall_us: int = 0
    drain_grace_us: int = 0
    must_ask_in_us: int = 10_000_000

    def __post_init__(self) -> None:
        _check(len(self.classes) > 0, "classes", self.classes)
        names = [c.name for c in self.classes]
        _check(len(set(names)) == len(names), "classes", names)
        _at_least(self, 1, "balancers", "try_limit", "must_ask_in_us")
        _at_least(
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
        _check(_number(self.cold_from) and 0 < self.cold_from <= 1, "cold_from", self.cold_from)


@dataclass(slots=True, frozen=True)
class Backend:
    """One entry of the backend list. ``started_us`` is None where it started long ago."""

    name: str
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_us: int | None = None
    kind: str = ""
    state: State = State.RUNNING


@dataclass(slots=True, frozen=True)
class Report:
    """A backend's load report; what is not reported is None."""

    load: float | None = None
    utilisation: float | None = None
    queue: float | None = None
    inflight: float | None = None
    backlog_s: float | None = None
    latency_ms: float | None = None
    rate: float | None = None
    error_rate: float | None = None


# Events: what happened at the relay.


@dataclass(slots=True, frozen=True)
class BackendList:
    """The list of backends, or the news that it could not be had."""

    mode: ListMode
    backends: tuple[Backend, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    """A client asks for a connection. ``remaining_us`` is what is left before it gives up."""

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
    """A connection that was open through this relay when the balancer started."""

    request: Request
    backend: str


@dataclass(slots=True, frozen=True)
class Opened:
    """The connection stands; it stays with its backend until an Outcome ends it."""

    id: str
    attempt: int
    backend: str
    took_us: int


@dataclass(slots=True, frozen=True)
class Note:
    """News of an attempt in flight."""

    id: str
    attempt: int
    backend: str
    kind: NoteKind
    value: float


@dataclass(slots=True, frozen=True)
class Outcome:
    """An attempt's end. ``finished``: the request is over and needs no answer."""

    id: str
    attempt: int
    backend: str
    status: Status
    took_us: int
    finished: bool
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client has left; no answer is owed."""

    id: str


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """The answer to one Probe, or the reason there is none."""

    backend: str
    status: Status
    took_us: int
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A SetTimer's time has come."""

    token: str


Event = BackendList | Request | Inherited | Opened | Note | Outcome | ClientGone | ProbeResult | TimerFired


# Actions: what the relay is to do.


@dataclass(slots=True, frozen=True)
class Attempt:
    """Send the request to a backend and give that attempt up at ``until_us``."""

    id: str
    backend: str
    until_us: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused, trying again is harmless."""

    id: str
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    id: str


@dataclass(slots=True, frozen=True)
class Move:
    """End an open connection politely; its client comes back as a new request."""

    id: str


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask a backend for its load."""

    backend: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for the backend list's changes from now on."""


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired after this time."""

    after_us: int
    token: str


Action = Attempt | Cancel | Refuse | Fail | Move | Probe | Subscribe | SetTimer
