"""The TCP server of the management API. One thread polls all connections, so that no caller can delay another.

A complete request is answered as soon as its result is known. A caller without a complete request after
``REQUEST_TIMEOUT`` gets an error. There are at most ``MAX_CALLERS`` connections; beyond that a new one replaces the
oldest without a complete request. Some file descriptors are reserved at the start, so that operators can connect even
when the proxied connections use all others.
"""

from __future__ import annotations

import errno
import os
import select
import socket
import threading
from datetime import timedelta

from bramblestile import sockets
from bramblestile.clock import ZERO_DURATION, now
from bramblestile.log import Log
from bramblestile.memory.counters import Counters
from bramblestile.operations import http
from bramblestile.operations.management_api import ManagementApi, PendingResponse
from bramblestile.sockets import Address

MAX_CALLERS = 64
RESERVED_DESCRIPTORS = 8
REQUEST_TIMEOUT = timedelta(milliseconds=2500)  # from the accept; a bad client must get an error within 3 s
RESPONSE_TIMEOUT = timedelta(milliseconds=900)  # for writing a response or forwarding a call; it is due within 1 s
LINGER_TIMEOUT = timedelta(milliseconds=300)  # for the caller to read the response before the connection is closed
POLL_INTERVAL = timedelta(milliseconds=5)  # between two polls of a pending response
MAX_FORWARDED_RESPONSE_BYTES = 1 << 21
BIND_RETRY_INTERVAL = timedelta(milliseconds=500)  # while another process holds the address
TIMEOUT_CHECK_INTERVAL_MS = 100  # for the timeouts of open connections, and for the next attempt to bind
IDLE_POLL_TIMEOUT_MS = 1000  # without connections; ``stop`` and new callers end the wait early


def forward_call(address: str, method: str, path: str, body: str) -> tuple[int, str]:
    """Send a call to another balancer's management address, ``HOST:PORT``; return the response's status and text.

    Blocks for up to RESPONSE_TIMEOUT. Returns 503 if the balancer does not answer.
    """
    host, _, port = address.rpartition(":")
    deadline = now() + RESPONSE_TIMEOUT
    content = body.encode() if method == "PUT" else b""
    try:
        with sockets.dial((host, int(port)), RESPONSE_TIMEOUT) as sock:
            sock.settimeout(max(0.01, (deadline - now()).total_seconds()))
            sock.sendall(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(content)}\r\n\r\n".encode()
                + content
            )
            response = b""
            while len(response) < MAX_FORWARDED_RESPONSE_BYTES and (data := sock.recv(65536)):
                response += data
        head, _, text = response.partition(b"\r\n\r\n")
        return int(head.split(b" ", 2)[1]), text.decode("utf-8", "replace").rstrip("\n")
    except (OSError, ValueError, IndexError) as error:
        return 503, f"the leader at {address} does not answer: {error}"


class _Connection:
    """One caller's connection and the state of its request."""

    __slots__ = ("accepted_at", "parser", "peer", "pending", "request", "responded_at", "sock", "unsent")

    def __init__(self, sock: socket.socket, peer: str) -> None:
        self.sock, self.peer, self.accepted_at = sock, peer, now()
        self.parser = http.RequestParser()
        self.request: http.HttpRequest | None = None
        self.pending: PendingResponse | None = None
        self.unsent = b""
        self.responded_at: timedelta | None = None


class ManagementServer:
    """Serves a management API at an address, in a thread of its own.

    With ``retry_bind`` an address that is in use is retried until it is free, as during a hot upgrade. Raises OSError
    if it cannot listen for any other reason.
    """

    def __init__(self, address: Address, api: ManagementApi, counters: Counters, retry_bind: bool = False) -> None:
        self._listen_address, self._api, self._counters = address, api, counters
        self._log = Log(listener="management")
        self._connections: dict[int, _Connection] = {}
        self._reserved: list[int] = []
        self._poll = select.poll()
        self._wake_read, self._wake_write = os.pipe()
        self._poll.register(self._wake_read, select.POLLIN)
        self._sock: socket.socket | None = None
        self._next_bind_at = now()
        self._stopped = False
        try:
            self._listen()
        except OSError as error:
            if not (retry_bind and error.errno == errno.EADDRINUSE):
                raise
            self._log.warning("management", text=f"{address[0]}:{address[1]} is in use; retrying")

    def _listen(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(self._listen_address)
            sock.listen(MAX_CALLERS)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self._sock = sock
        self._poll.register(sock, select.POLLIN)
        self._reserve_descriptors()

    @property
    def address(self) -> Address:
        """The address of the listening socket."""
        assert self._sock is not None
        address: Address = self._sock.getsockname()[:2]
        return address

    def start(self) -> None:
        """Start the server's thread."""
        threading.Thread(target=self._run, name="management", daemon=True).start()

    def stop(self) -> None:
        """Tell the server's thread to close all sockets and end."""
        self._stopped = True
        os.write(self._wake_write, b"x")

    def _reserve_descriptors(self) -> None:
        try:
            while len(self._reserved) < RESERVED_DESCRIPTORS:
                self._reserved.append(os.dup(self._wake_read))
        except OSError:
            return  # retried whenever a connection is closed

    def _run(self) -> None:
        while not self._stopped:
            try:
                self._run_once()
            except Exception:
                # A fault that one call brings about must not end the server.
                self._counters.add("faults")
                self._log.exception("fault")
                for connection in list(self._connections.values()):
                    self._close(connection)
        if self._sock is not None:
            self._sock.close()
        for connection in list(self._connections.values()):
            self._close(connection)

    def _run_once(self) -> None:
        if self._sock is None and now() >= self._next_bind_at:
            self._next_bind_at = now() + BIND_RETRY_INTERVAL
            try:
                self._listen()
            except OSError as error:
                self._log.warning_rate_limited("management", error=repr(error))
        for fd, events in self._poll.poll(self._poll_timeout_ms()):
            if self._sock is not None and fd == self._sock.fileno():
                self._accept()
            elif (connection := self._connections.get(fd)) is not None:
                self._handle_events(connection, events)
        current_time = now()
        for connection in list(self._connections.values()):
            self._advance(connection, current_time)

    def _poll_timeout_ms(self) -> int:
        """Return how long to wait for a socket before the connections' timeouts and pending responses are checked.

        A pending response belongs to a complete request whose result is not known yet; it has to be polled.
        """
        if any(c.pending is not None for c in self._connections.values()):
            return POLL_INTERVAL // timedelta(milliseconds=1)
        if self._connections or self._sock is None:
            return TIMEOUT_CHECK_INTERVAL_MS
        return IDLE_POLL_TIMEOUT_MS

    def _accept(self) -> None:
        assert self._sock is not None
        try:
            sock, (host, port) = self._sock.accept()
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE):
                if self._reserved:
                    os.close(self._reserved.pop())  # the next poll accepts the connection with it
                else:
                    self._evict()
            return
        sock.setblocking(False)
        if len(self._connections) >= MAX_CALLERS:
            self._evict()
        self._connections[sock.fileno()] = _Connection(sock, f"{host}:{port}")
        self._poll.register(sock, select.POLLIN)

    def _evict(self) -> None:
        """Close the oldest connection without a complete request, or else the oldest of all."""
        connections = list(self._connections.values())
        oldest = next((c for c in connections if c.request is None), connections[0] if connections else None)
        if oldest is not None:
            self._counters.add("management_gave_way")
            if oldest.request is None and oldest.responded_at is None:
                self._respond(oldest, http.HttpResponse(503, "too many callers"))
            self._close(oldest)

    def _handle_events(self, connection: _Connection, events: int) -> None:
        if events & select.POLLOUT:
            self._write(connection)
        if not events & (select.POLLIN | select.POLLHUP | select.POLLERR):
            return
        try:
            data = connection.sock.recv(4096)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            # Without a complete request the caller has left. With one it may only have closed its sending side.
            if (
                connection.request is None
                or connection.responded_at is not None
                or events & (select.POLLHUP | select.POLLERR)
            ):
                self._close(connection)
            else:
                self._poll.modify(connection.sock, select.POLLOUT if connection.unsent else 0)
            return
        if connection.request is not None or connection.responded_at is not None:
            return  # later data is read and dropped, because closing a socket with unread data sends a reset
        try:
            connection.request = connection.parser.feed(data)
        except http.HttpError as error:
            self._respond(connection, error.response)
            return
        if connection.request is not None:
            self._handle_request(connection, connection.request)
        elif connection.parser.wants_continue:
            connection.parser.wants_continue = False
            connection.unsent += http.CONTINUE_RESPONSE
            self._write(connection)

    def _handle_request(self, connection: _Connection, request: http.HttpRequest) -> None:
        response = self._api.handle(request)
        if isinstance(response, http.HttpResponse):
            self._respond(connection, response)
        else:
            connection.pending = response

    def _advance(self, connection: _Connection, current_time: timedelta) -> None:
        """Poll a pending response, reject a request that is late, or close a connection that is done."""
        if connection.pending is not None:
            response = connection.pending()
            if response is not None:
                connection.pending = None
                self._respond(connection, response)
        elif (
            connection.request is None
            and connection.responded_at is None
            and current_time - connection.accepted_at >= REQUEST_TIMEOUT
        ):
            self._respond(connection, http.HttpResponse(408, "no whole call came"))
        elif connection.responded_at is not None and current_time - connection.responded_at >= (
            LINGER_TIMEOUT if not connection.unsent else RESPONSE_TIMEOUT
        ):
            self._close(connection)  # the response was read, or the caller does not read it

    def _respond(self, connection: _Connection, response: http.HttpResponse) -> None:
        request = connection.request
        path = "/" + "/".join(request.path) if request else ""
        self._api.record_response(connection.peer, request.method if request else "", path, response)
        connection.responded_at = now()
        connection.unsent += http.encode_response(response, connection.parser.method)
        self._write(connection)

    def _write(self, connection: _Connection) -> None:
        """Write what the socket accepts, the rest once it is writable; after a response close the sending side."""
        try:
            while connection.unsent:
                connection.unsent = connection.unsent[connection.sock.send(connection.unsent) :]
        except BlockingIOError:
            self._poll.modify(connection.sock, select.POLLIN | select.POLLOUT)
            return
        except OSError:
            connection.unsent = b""
            connection.responded_at = connection.responded_at or now() - LINGER_TIMEOUT
            return
        self._poll.modify(connection.sock, select.POLLIN)
        if connection.responded_at is not None:
            sockets.shut_down(connection.sock, socket.SHUT_WR)

    def _close(self, connection: _Connection) -> None:
        if self._connections.pop(connection.sock.fileno(), None) is not None:
            self._poll.unregister(connection.sock)
            sockets.close(connection.sock, linger=ZERO_DURATION)
            self._reserve_descriptors()
