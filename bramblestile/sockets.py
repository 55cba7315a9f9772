"""Blocking sockets with bounds: dialling, gathered writes, reading lines in place, endings as they came."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from collections.abc import Sequence
from datetime import timedelta

from bramblestile.clock import MICROSECOND, ZERO_DURATION, now, to_milliseconds

Address = tuple[str, int]
READABLE = select.POLLIN
WRITE_BOUND = timedelta(seconds=3)  # a peer that reads nothing for so long is given up
LINGER = timedelta(milliseconds=250)  # after our last word, for what the peer still sends
MOST_UNREAD = 1 << 20  # bytes of a closing peer's that are read and dropped
_WASTE = bytearray(65536)  # where they go, for all threads alike: nobody looks at it
_NO_LINGER = struct.pack("ii", 1, 0)


class OverlongError(Exception):
    """A line exceeds the reader's buffer."""


class NotDialledError(OSError):
    """No connection was made, so nothing ran there. ``spared``: the host was not even asked, for its own good."""

    def __init__(self, text: str, spared: bool = False) -> None:
        super().__init__(text)
        self.spared = spared


class TruncatedError(ConnectionError):
    """The peer's side ended without the word that ends it: what came may not be all that it sent."""


class Channel:
    """Bytes to and from a peer where they are not what the socket carries. A plain connection is a ``socket`` itself,
    so that it costs nothing more; the functions below take either. Two threads may use it, one reading and one
    writing, while any other ends it."""

    def fileno(self) -> int:
        raise NotImplementedError

    def holds(self) -> bool:
        """``recv_into`` may return at once, whatever the socket says."""
        raise NotImplementedError

    def recv_into(self, buffer: bytearray | memoryview) -> int:
        """As a socket's; TruncatedError at an end without its word. Not blocking, BlockingIOError where no whole
        record has come yet."""
        raise NotImplementedError

    def send_all(self, parts: Sequence[bytes | memoryview]) -> None:
        """All of it, within WRITE_BOUND, or OSError."""
        raise NotImplementedError

    def setblocking(self, flag: bool) -> None:
        """Whether ``recv_into`` waits. A new channel's does not."""
        raise NotImplementedError

    def shutdown(self, how: int) -> None:
        raise NotImplementedError

    def end(self, reset: bool, linger: timedelta) -> None:
        """As ``close`` below."""
        raise NotImplementedError


Side = socket.socket | Channel


def _timeval(span: timedelta) -> bytes:
    return struct.pack("ll", span // timedelta(seconds=1), span % timedelta(seconds=1) // MICROSECOND)


def tune(sock: socket.socket) -> None:
    """Blocking, without Nagle, and with bounded writes (SO_SNDTIMEO leaves reads unbounded)."""
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, _timeval(WRITE_BOUND))


def dial(address: Address, within: timedelta) -> socket.socket:
    """A connection made within the span, or OSError."""
    sock = socket.create_connection(address, timeout=max(within, MICROSECOND * 1000).total_seconds())
    tune(sock)
    return sock


def write(sock: Side, parts: Sequence[bytes | memoryview]) -> None:
    """One gathered write of all parts; OSError when the peer reads nothing within the bound."""
    if isinstance(sock, Channel):
        sock.send_all(parts)
        return
    left = [memoryview(p) for p in parts if len(p)]
    until = now() + WRITE_BOUND
    while left:
        sent = sock.sendmsg(left)
        while left and sent >= len(left[0]):
            sent -= len(left.pop(0))
        if left:
            left[0] = left[0][sent:]
            if now() >= until:
                raise TimeoutError("the peer reads nothing")


def has_left(sock: socket.socket) -> bool:
    """The peer has ended its side or reset the connection; nothing is read."""
    return wait((sock, select.POLLRDHUP), within=ZERO_DURATION) is sock


def wait(*sides: tuple[Side, int], within: timedelta) -> Side | None:
    """The first of these sockets, in this order, on which its event comes within the span."""
    poll = select.poll()
    for sock, events in sides:
        if sock.fileno() < 0 or (isinstance(sock, Channel) and events & READABLE and sock.holds()):
            return sock
        poll.register(sock, events)
    # Rounded up: a wait that ends a fraction early would turn into a busy loop at its end.
    ready = {fd for fd, _ in poll.poll(max(0, to_milliseconds(within + timedelta(microseconds=999))))}
    return next((sock for sock, _ in sides if sock.fileno() in ready), None)


def wake(sock: Side, how: int = socket.SHUT_RDWR) -> None:
    """Ends a socket so that every thread blocked on it returns."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)


def close(sock: Side, reset: bool = False, linger: timedelta = ZERO_DURATION) -> None:
    """Closes with FIN, or with RST. What lies unread is read first, and what comes within ``linger``: closing
    over it would send RST, which may overtake our last words. A peer that never stops sending is cut off."""
    if isinstance(sock, Channel):
        sock.end(reset, linger)
        return
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        else:
            wake(sock, socket.SHUT_WR)
            sock.setblocking(False)
            until = now() + linger
            for _ in range(MOST_UNREAD // len(_WASTE)):
                if linger and wait((sock, READABLE), within=max(until - now(), ZERO_DURATION)) is None:
                    break
                if not sock.recv_into(_WASTE):
                    break
    sock.close()


def last_word(sock: socket.socket, line: bytes) -> None:
    """A local reply, then the end."""
    try:
        write(sock, [line])
    finally:
        close(sock, linger=LINGER)


class LineReader:
    """Reads lines into one buffer and hands them out in place, as views that hold until the next read."""

    def __init__(self, sock: Side, size: int = 4096) -> None:
        self.sock = sock
        self.buffer = bytearray(size)
        self.view = memoryview(self.buffer)
        self.start = self.end = 0

    def line(self, within: timedelta | None = None, beside: socket.socket | None = None) -> memoryview | None:
        """The next line with its ending; None at the peer's end. TimeoutError when the span is over,
        InterruptedError when ``beside`` ends first."""
        until = None if within is None else now() + within
        searched = self.start
        while True:
            found = self.buffer.find(b"\n", searched, self.end)
            if found >= 0:
                line = self.view[self.start : found + 1]
                self.start = found + 1
                return line
            searched = self.end
            if self.end == len(self.buffer):
                if self.start == 0:
                    raise OverlongError
                kept = self.end - self.start
                self.buffer[:kept] = self.buffer[self.start : self.end]
                self.start, self.end, searched = 0, kept, kept
            if until is not None:
                self._wait(until - now(), beside)
            try:
                got = self.sock.recv_into(self.view[self.end :])
            except BlockingIOError:  # a channel's record that is not whole yet
                continue
            if got == 0:
                return None
            self.end += got

    def _wait(self, left: timedelta, beside: socket.socket | None) -> None:
        sides: list[tuple[Side, int]] = [(self.sock, select.POLLIN)] + ([(beside, select.POLLRDHUP)] if beside else [])
        ready = wait(*sides, within=left) if left > ZERO_DURATION else None
        if ready is None:
            raise TimeoutError
        if ready is beside:
            raise InterruptedError

    def take(self, into: memoryview) -> int:
        """Moves what was read beyond the last line into the view, as far as it fits."""
        size = min(self.end - self.start, len(into))
        into[:size] = self.view[self.start : self.start + size]
        self.start += size
        return size

    def rest(self) -> bytes:
        """What was read beyond the last line handed out."""
        got = bytes(self.view[self.start : self.end])
        self.start = self.end = 0
        return got


def text(view: memoryview) -> str:
    return str(view, "ascii", "replace").rstrip("\r\n")
