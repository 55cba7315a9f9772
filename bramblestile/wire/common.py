"""What the downstreams of both protocols share: disconnect detection, local replies and dialling."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from collections.abc import Sequence
from datetime import timedelta

from bramblestile import sockets
from bramblestile.memory.cluster import UpstreamHost
from bramblestile.protocol import (
    AttemptLimits,
    ClientRequest,
    Dial,
    Established,
    NotEstablished,
    SendGuard,
    UpstreamAnswer,
)
from bramblestile.sockets import LineReader, Transport
from vanegw.interface import Status

# That a client may send before its answer, for which it is to wait. It is less than a socket holds, so the end of a
# client that has sent no more has arrived.
MAX_EARLY_BYTES = 16384
MAX_PINGS = 16  # before a request: the platform's front sends one, and a client that sends more wants no connection


class SocketDownstream(ABC):
    """A downstream on a socket whose request has been read."""

    def __init__(self, sock: socket.socket, reader: LineReader, request: ClientRequest) -> None:
        self._sock = sock
        self._reader = reader  # may hold bytes that the downstream sent after its request
        self._request = request

    def has_disconnected(self) -> bool:
        """Return whether the client has closed or reset its connection."""
        return sockets.has_disconnected(self._sock)

    def sends_too_early(self) -> bool:
        """Return whether so much unread input waits that the client's end may stand behind it."""
        return sockets.unread_bytes(self._sock) > MAX_EARLY_BYTES

    @abstractmethod
    def refuse(self, retry_after: timedelta) -> None:
        """Send the local reply "refused"."""

    @abstractmethod
    def fail(self) -> None:
        """Send the local reply "failed"."""

    def close(self) -> None:
        """Close the connection after a local reply."""
        sockets.close_after_reply(self._sock)

    @abstractmethod
    def _exchange(self, upstream: Transport, limits: AttemptLimits, send_guard: SendGuard) -> UpstreamAnswer:
        """Send the request on an open connection and read the upstream host's answer."""

    def _reply(self, line: bytes) -> None:
        sockets.write(self._sock, [line])

    def _send_request(
        self, upstream: Transport, send_guard: SendGuard, parts: Sequence[bytes | memoryview]
    ) -> NotEstablished | None:
        """Write the first bytes of an upstream request, unless that is not allowed any more or the client has left.

        Returns None once all are written, else how the upstream request ends: it cannot have run.
        """
        try:
            with send_guard() as refusal:
                if refusal is not None:
                    return NotEstablished(refusal)
                if self.has_disconnected() or self.sends_too_early():
                    return NotEstablished(Status.NOT_SENT, downstream_left=True)
                sockets.write(upstream, parts)
        except OSError:
            return NotEstablished(Status.NO_ROUTE)  # broke before the last byte was written
        return None

    def upstream_request(self, dial: Dial, limits: AttemptLimits, send_guard: SendGuard) -> UpstreamAnswer:
        """Dial and send the request. The connection is closed unless the upstream host accepts it."""
        try:
            upstream = dial(limits)
        except sockets.DialError as error:
            return NotEstablished(Status.NOT_SENT if error.skipped else limits.unsent_status, detail=str(error))
        except OSError:
            return NotEstablished(limits.unsent_status)
        answer: UpstreamAnswer | None = None
        try:
            answer = self._exchange(upstream, limits, send_guard)
            return answer
        finally:
            if not isinstance(answer, Established):
                sockets.close(upstream)
            elif isinstance(upstream, sockets.Channel):
                upstream.setblocking(True)


def dial_plain(host: UpstreamHost, limits: AttemptLimits) -> Transport:
    """Connect to an upstream host without TLS."""
    return sockets.dial(host.address, limits.connect_limit, limits.interrupt)
