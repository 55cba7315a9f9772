"""The socket that operators call: one thread polls all callers, so that none of them can hold up another.

Guaranteed: a whole call is answered as soon as its meaning is known; a caller that has not said its whole call after
``WHOLE`` is told so; there are never more than ``MOST`` callers, and the oldest without a whole call gives way to one
more; descriptors are set aside at the start, so that callers come in when the data path has taken all others.
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

MAX_CALLERS = 64  # callers at once
RESERVED_DESCRIPTORS = 8  # descriptors that only callers get
REQUEST_TIMEOUT = timedelta(milliseconds=2500)  # from the accept to a whole call: bad clients get an error within 3 s
RESPONSE_TIMEOUT = timedelta(milliseconds=900)  # from the accept to the answer's last byte; callers expect it in 1 s
LINGER_TIMEOUT = timedelta(milliseconds=300)  # after our answer, for its reader
POLL_INTERVAL = timedelta(milliseconds=5)  # between two looks at an answer that waits
MAX_FORWARDED_RESPONSE_BYTES = 1 << 21  # bytes of another balancer's
BIND_RETRY_INTERVAL = timedelta(milliseconds=500)  # between two tries for an address that another still has


def forward_call(at: str, method: str, path: str, body: str) -> tuple[int, str]:
    """The answer of another balancer's management address, ``HOST:PORT``, within ``SAID``; blocks that long."""
    host, _, port = at.rpartition(":")
    until = now() + RESPONSE_TIMEOUT
    raw = body.encode() if method == "PUT" else b""
    try:
        with sockets.dial((host, int(port)), RESPONSE_TIMEOUT) as sock:
            sock.settimeout(max(0.01, (until - now()).total_seconds()))
            sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Length: {len(raw)}\r\n\r\n".encode() + raw)
            got = b""
            while len(got) < MAX_FORWARDED_RESPONSE_BYTES and (piece := sock.recv(65536)):
                got += piece
        head, _, said = got.partition(b"\r\n\r\n")
        return int(head.split(b" ", 2)[1]), said.decode("utf-8", "replace").rstrip("\n")
    except (OSError, ValueError, IndexError) as error:
        return 503, f"the leader at {at} does not answer: {error}"


class _Caller:
    """One connection and how far its call has come."""

    __slots__ = ("answered", "call", "out", "parser", "peer", "pending", "since", "sock")

    def __init__(self, sock: socket.socket, peer: str) -> None:
        self.sock, self.peer, self.since = sock, peer, now()
        self.parser = http.RequestParser()
        self.call: http.HttpRequest | None = None
        self.pending: PendingResponse | None = None
        self.out = b""  # what is still to be written
        self.answered: timedelta | None = None


class ManagementServer:
    """OSError where it can't listen at ``address``, unless ``patient``: then it goes on trying until it can."""

    def __init__(
        self, address: Address, operators: ManagementApi, counters: Counters, retry_bind: bool = False
    ) -> None:
        self._wanted, self._operators, self._counters = address, operators, counters
        self._log = Log(listener="management")
        self._callers: dict[int, _Caller] = {}
        self._spare: list[int] = []
        self._poll = select.poll()
        self._wake_read, self._wake_write = os.pipe()
        self._poll.register(self._wake_read, select.POLLIN)
        self._sock: socket.socket | None = None
        self._try_at = now()
        self._stopped = False
        try:
            self._listen()
        except OSError as error:
            if not (retry_bind and error.errno == errno.EADDRINUSE):
                raise
            self._log.warning("management", text=f"{address[0]}:{address[1]} is still taken; trying on")

    def _listen(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(self._wanted)
            sock.listen(MAX_CALLERS)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self._sock = sock
        self._poll.register(sock, select.POLLIN)
        self._set_aside()

    @property
    def address(self) -> Address:
        assert self._sock is not None
        address: Address = self._sock.getsockname()[:2]
        return address

    def start(self) -> None:
        threading.Thread(target=self._run, name="management", daemon=True).start()

    def stop(self) -> None:
        self._stopped = True
        os.write(self._wake_write, b"x")

    def _set_aside(self) -> None:
        try:
            while len(self._spare) < RESERVED_DESCRIPTORS:
                self._spare.append(os.dup(self._wake_read))
        except OSError:
            return  # none to be had now: tried again when a caller ends

    def _run(self) -> None:
        while not self._stopped:
            try:
                self._turn()
            except Exception:
                # Operators must be able to call whatever a single caller has brought about.
                self._counters.add("faults")
                self._log.exception("fault")
                for caller in list(self._callers.values()):
                    self._end(caller)
        if self._sock is not None:
            self._sock.close()
        for caller in list(self._callers.values()):
            self._end(caller)

    def _turn(self) -> None:
        if self._sock is None and now() >= self._try_at:
            self._try_at = now() + BIND_RETRY_INTERVAL
            try:
                self._listen()
            except OSError as error:
                self._log.warning_rate_limited("management", error=repr(error))
        for fd, events in self._poll.poll(self._until_next()):
            if self._sock is not None and fd == self._sock.fileno():
                self._accept()
            elif (caller := self._callers.get(fd)) is not None:
                self._hear(caller, events)
        at = now()
        for caller in list(self._callers.values()):
            self._look(caller, at)

    def _until_next(self) -> int:
        """Milliseconds until something is due without anybody's bytes."""
        if any(c.pending is not None for c in self._callers.values()):
            return POLL_INTERVAL // timedelta(milliseconds=1)
        return 100 if self._callers or self._sock is None else 1000

    def _accept(self) -> None:
        assert self._sock is not None
        try:
            sock, (host, port) = self._sock.accept()
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE):
                if self._spare:
                    os.close(self._spare.pop())
                else:
                    self._give_way()
            return
        sock.setblocking(False)
        if len(self._callers) >= MAX_CALLERS:
            self._give_way()
        self._callers[sock.fileno()] = _Caller(sock, f"{host}:{port}")
        self._poll.register(sock, select.POLLIN)

    def _give_way(self) -> None:
        """The oldest that has not said its whole call goes, or the oldest of all."""
        callers = list(self._callers.values())
        old = next((c for c in callers if c.call is None), callers[0] if callers else None)
        if old is not None:
            self._counters.add("management_gave_way")
            if old.call is None and old.answered is None:
                self._answer(old, http.HttpResponse(503, "too many callers"))
            self._end(old)

    def _hear(self, caller: _Caller, events: int) -> None:
        if events & select.POLLOUT:
            self._write(caller)
        if not events & (select.POLLIN | select.POLLHUP | select.POLLERR):
            return
        try:
            got = caller.sock.recv(4096)
        except BlockingIOError:
            return
        except OSError:
            got = b""
        if not got:
            # Before its whole call, it has left; after, its half of the connection may end before our answer.
            if caller.call is None or caller.answered is not None or events & (select.POLLHUP | select.POLLERR):
                self._end(caller)
            else:
                self._poll.modify(caller.sock, select.POLLOUT if caller.out else 0)
            return
        if caller.call is not None or caller.answered is not None:
            return  # a connection carries one call: what follows is read, so that our end is no reset, and dropped
        try:
            caller.call = caller.parser.feed(got)
        except http.HttpError as fault:
            self._answer(caller, fault.response)
            return
        if caller.call is not None:
            self._begin(caller, caller.call)
        elif caller.parser.wants_continue:
            caller.parser.wants_continue = False
            caller.out += http.CONTINUE_RESPONSE
            self._write(caller)

    def _begin(self, caller: _Caller, call: http.HttpRequest) -> None:
        found = self._operators.handle(call)
        if isinstance(found, http.HttpResponse):
            self._answer(caller, found)
        else:
            caller.pending = found

    def _look(self, caller: _Caller, at: timedelta) -> None:
        if caller.pending is not None:
            found = caller.pending()
            if found is not None:
                caller.pending = None
                self._answer(caller, found)
        elif caller.call is None and caller.answered is None and at - caller.since >= REQUEST_TIMEOUT:
            self._answer(caller, http.HttpResponse(408, "no whole call came"))
        elif caller.answered is not None and at - caller.answered >= (
            LINGER_TIMEOUT if not caller.out else RESPONSE_TIMEOUT
        ):
            self._end(caller)  # it has had its answer, or does not read it

    def _answer(self, caller: _Caller, answer: http.HttpResponse) -> None:
        call = caller.call
        path = "/" + "/".join(call.path) if call else ""
        self._operators.record_response(caller.peer, call.method if call else "", path, answer)
        caller.answered = now()
        caller.out += http.encode_response(answer, caller.parser.method)
        self._write(caller)

    def _write(self, caller: _Caller) -> None:
        """As much as goes at once; the rest when there is room. Then our end, which lets the caller read to its end."""
        try:
            while caller.out:
                caller.out = caller.out[caller.sock.send(caller.out) :]
        except BlockingIOError:
            self._poll.modify(caller.sock, select.POLLIN | select.POLLOUT)
            return
        except OSError:
            caller.out = b""
            caller.answered = caller.answered or now() - LINGER_TIMEOUT
            return
        self._poll.modify(caller.sock, select.POLLIN)
        if caller.answered is not None:
            sockets.shut_down(caller.sock, socket.SHUT_WR)

    def _end(self, caller: _Caller) -> None:
        if self._callers.pop(caller.sock.fileno(), None) is not None:
            self._poll.unregister(caller.sock)
            sockets.close(caller.sock, linger=ZERO_DURATION)
            self._set_aside()
