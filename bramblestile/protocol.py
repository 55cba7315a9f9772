"""The interface between the life of a request and a wire protocol. Every front's protocol implements it."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from bramblestile.clock import now
from bramblestile.memory.cluster import UpstreamHost
from bramblestile.memory.connections import ProxiedConnection
from bramblestile.sockets import Signal, Transport
from vanegw.interface import Status


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A downstream's request for a connection. ``timeout`` is how long the client waits for the answer."""

    id: str
    cls: str
    timeout: timedelta
    tenant: str | None = None
    key: int | None = None
    group: int | None = None
    load_hint: float | None = None
    is_retry: bool = False  # the client repeats a request that was refused or failed
    is_reconnect: bool = False  # the client comes back after an established connection was moved or cut
    bound_to: str | None = None  # the upstream host that already holds this connection


@dataclass(slots=True, frozen=True)
class Established:
    """The upstream host has accepted the connection."""

    connection: ProxiedConnection


@dataclass(slots=True, frozen=True)
class NotEstablished:
    """An upstream request ended without a connection.

    ``downstream_left``: the client has left, or sends so much before its answer that this cannot be told.
    """

    status: Status
    downstream_left: bool = False
    host_drains: bool = False  # the upstream host announced that it drains
    detail: str = ""  # what the status does not tell, for the trace and the log


UpstreamAnswer = Established | NotEstablished


@dataclass(slots=True, frozen=True)
class AttemptLimits:
    """The time limits of one upstream request: it must be answered before ``until``.

    ``connect_timeout`` limits the TCP connect. ``interrupt`` ends all waits at once, as if the time were over. The
    first byte must be written before ``send_by``; None: it has no limit of its own.
    """

    until: timedelta
    connect_timeout: timedelta
    interrupt: Signal | None = None
    send_by: timedelta | None = None

    @property
    def first_byte_until(self) -> timedelta:
        """Until when dialling, and what else precedes the first byte, may take."""
        return self.until if self.send_by is None else min(self.until, self.send_by)

    @property
    def connect_limit(self) -> timedelta:
        """How long a TCP connect that begins now may take."""
        return min(self.connect_timeout, self.first_byte_until - now())

    @property
    def may_send(self) -> bool:
        """Whether the first byte may still be written."""
        return self.send_by is None or now() < self.send_by

    @property
    def unsent_status(self) -> Status:
        """How the upstream request ends if its first byte was not written: by its own limit, or by the host."""
        return Status.NO_ROUTE if self.may_send else Status.NOT_SENT


class Downstream(Protocol):
    """The client's side of one request, which also makes its upstream requests."""

    def has_disconnected(self) -> bool:
        """Return whether the client has closed or reset its connection."""

    def sends_too_early(self) -> bool:
        """Return whether the client sends so much before its answer that its end would not be noticed."""

    def refuse(self, retry_after: timedelta) -> None:
        """Send the local reply "refused": retrying is harmless. A ``retry_after`` of 0 names no time."""

    def fail(self) -> None:
        """Send the local reply "failed": the request may have run."""

    def close(self) -> None:
        """Close the connection after a local reply, which the client has time to read."""

    def upstream_request(self, dial: Dial, limits: AttemptLimits, send_guard: SendGuard) -> UpstreamAnswer:
        """Make one upstream request within its time limits.

        ``send_guard`` is held after dialling, while the first bytes are written.
        """


class Dial(Protocol):
    """Connects to the upstream host that was chosen."""

    def __call__(self, limits: AttemptLimits) -> Transport:
        """Return a connected socket, or a channel over it.

        Everything that precedes the first byte of the request must be done before ``limits.first_byte_until``. Raises
        OSError; a DialError tells whether the host was contacted.
        """


# Dials an upstream host; the limits are those of Dial.__call__.
DialHost = Callable[[UpstreamHost, AttemptLimits], Transport]


class SendGuard(Protocol):
    """Creates the context manager that is held while the first bytes of an upstream request are written.

    It yields None, or how the upstream request ends because they may not be sent any more.
    """

    def __call__(self) -> AbstractContextManager[Status | None]:
        """Return a new context manager."""
