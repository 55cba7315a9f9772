"""What the life of a request needs from a wire: the small typed interface that every front implements."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from bramblestile.memory.cluster import UpstreamHost
from bramblestile.memory.connections import ProxiedConnection
from bramblestile.sockets import Transport
from vanegw.interface import Status


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A downstream's wish for a connection. ``wait``: how long it waits for the answer."""

    id: str
    cls: str
    timeout: timedelta
    tenant: str | None = None
    key: int | None = None
    group: int | None = None
    load_hint: float | None = None
    is_retry: bool = False
    is_return: bool = False
    bound_to: str | None = None  # the upstream host that already holds this connection


@dataclass(slots=True, frozen=True)
class Established:
    """The upstream host has taken the connection; ``standing`` carries it to its end."""

    connection: ProxiedConnection


@dataclass(slots=True, frozen=True)
class NotEstablished:
    """An upstream request's end without a connection."""

    status: Status
    downstream_left: bool = False
    host_drains: bool = False  # the upstream host said so itself
    detail: str = ""  # what the status does not tell, for the trace and the log


UpstreamAnswer = Established | NotEstablished


class Downstream(Protocol):
    """The client's side of one request, and how to make its upstream requests."""

    def has_disconnected(self) -> bool: ...

    def refuse(self, retry_after: timedelta) -> None:
        """Local reply: refused, trying again is harmless."""

    def fail(self) -> None:
        """Local reply: failed, nothing is promised."""

    def upstream_request(
        self, dial: Dial, until: timedelta, connect_timeout: timedelta, send_guard: SendGuard
    ) -> UpstreamAnswer:
        """One upstream request. ``may_send`` is held after dialling, while the first bytes go."""


class Dial(Protocol):
    """A connection to the upstream host that was chosen: its socket, or a channel over it."""

    def __call__(self, connect_timeout: timedelta, until: timedelta) -> Transport:
        """``connect_within`` bounds the connection, ``until`` all that comes before the first byte. OSError; one that
        is a DialError tells more."""


# How a front dials its upstream hosts: the host, and the two bounds of a Dial.
DialHost = Callable[[UpstreamHost, timedelta, timedelta], Transport]


class SendGuard(Protocol):
    """Held around the first bytes of an upstream request: whether they may still go."""

    def __call__(self) -> AbstractContextManager[bool]: ...
