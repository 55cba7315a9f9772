"""What both dialects' downstreams share: leaving seen, local replies, dialling for an upstream request."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from datetime import timedelta

from bramblestile import sockets
from bramblestile.clock import now
from bramblestile.memory.cluster import UpstreamHost
from bramblestile.protocol import ClientRequest, Dial, Established, NotEstablished, SendGuard, UpstreamAnswer
from bramblestile.sockets import LineReader, Transport
from vanegw.interface import Status

MAX_PINGS = 16  # before a request: a front asks once, and who asks on and on wants nothing else


class SocketDownstream(ABC):
    """A downstream on a socket whose first words have been read."""

    def __init__(self, sock: socket.socket, reader: LineReader, asked: ClientRequest) -> None:
        self._sock = sock
        self._reader = reader  # holds what the downstream sent beyond its first words
        self._asked = asked

    def has_disconnected(self) -> bool:
        return sockets.has_disconnected(self._sock)

    @abstractmethod
    def refuse(self, retry_after: timedelta) -> None: ...

    @abstractmethod
    def fail(self) -> None: ...

    @abstractmethod
    def _ask(self, upstream: Transport, until: timedelta, send_guard: SendGuard) -> UpstreamAnswer: ...

    def _reply(self, line: bytes) -> None:
        sockets.reply_and_close(self._sock, line)

    def upstream_request(
        self, dial: Dial, until: timedelta, connect_timeout: timedelta, send_guard: SendGuard
    ) -> UpstreamAnswer:
        """Dials and asks; the connection is closed unless the answer keeps it."""
        try:
            upstream = dial(min(connect_timeout, until - now()), until)
        except sockets.DialError as error:
            return NotEstablished(Status.NOT_SENT if error.skipped else Status.NO_ROUTE, detail=str(error))
        except OSError:
            return NotEstablished(Status.NO_ROUTE)
        answer: UpstreamAnswer | None = None
        try:
            answer = self._ask(upstream, until, send_guard)
            return answer
        finally:
            if not isinstance(answer, Established):
                sockets.close(upstream)
            elif isinstance(upstream, sockets.Channel):
                upstream.setblocking(True)


def dial_plain(host: UpstreamHost, connect_timeout: timedelta, until: timedelta) -> Transport:
    """A connection without TLS: nothing is said before the first byte, so ``until`` bounds nothing more."""
    return sockets.dial(host.address, connect_timeout)
