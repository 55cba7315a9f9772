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
WRITE_TIMEOUT = timedelta(seconds=3)  # a peer that reads nothing for so long is given up
LINGER_TIMEOUT = timedelta(milliseconds=250)  # after our last word, for what the peer still sends
MAX_DISCARDED_BYTES = 1 << 20  # bytes of a closing peer's that are read and dropped
_WASTE = bytearray(65536)  # where they go, for all threads alike: nobody looks at it
_NO_LINGER = struct.pack("ii", 1, 0)


class LineTooLongError(Exception):
    """A line exceeds the reader's buffer."""


class DialError(OSError):
    """No connection was made, so nothing ran there. ``spared``: the host was not even asked, for its own good."""

    def __init__(self, text: str, skipped: bool = False) -> None:
        super().__init__(text)
        self.skipped = skipped


class TruncatedError(ConnectionError):
    """The peer's side ended without the word that ends it: what came may not be all that it sent."""


class Channel:
    """Bytes to and from a peer where they are not what the socket carries. A plain connection is a ``socket`` itself,
    so that it costs nothing more; the functions below take either. Two threads may use it, one reading and one
    writing, while any other ends it."""

    def fileno(self) -> int:
        raise NotImplementedError

    def has_buffered_data(self) -> bool:
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

    def terminate(self, reset: bool, linger: timedelta) -> None:
        """As ``close`` below."""
        raise NotImplementedError


Transport = socket.socket | Channel


def _timeval(span: timedelta) -> bytes:
    return struct.pack("ll", span // timedelta(seconds=1), span % timedelta(seconds=1) // MICROSECOND)


def set_options(sock: socket.socket) -> None:
    """Blocking, without Nagle, and with bounded writes (SO_SNDTIMEO leaves reads unbounded)."""
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, _timeval(WRITE_TIMEOUT))


def dial(address: Address, connect_timeout: timedelta) -> socket.socket:
    """A connection made within the span, or OSError."""
    sock = socket.create_connection(address, timeout=max(connect_timeout, MICROSECOND * 1000).total_seconds())
    set_options(sock)
    return sock


def write(sock: Transport, parts: Sequence[bytes | memoryview]) -> None:
    """One gathered write of all parts; OSError when the peer reads nothing within the bound."""
    if isinstance(sock, Channel):
        sock.send_all(parts)
        return
    left = [memoryview(p) for p in parts if len(p)]
    until = now() + WRITE_TIMEOUT
    while left:
        sent = sock.sendmsg(left)
        while left and sent >= len(left[0]):
            sent -= len(left.pop(0))
        if left:
            left[0] = left[0][sent:]
            if now() >= until:
                raise TimeoutError("the peer reads nothing")


def has_disconnected(sock: socket.socket) -> bool:
    """The peer has ended its side or reset the connection; nothing is read."""
    return wait((sock, select.POLLRDHUP), timeout=ZERO_DURATION) is sock


def wait(*sides: tuple[Transport, int], timeout: timedelta) -> Transport | None:
    """The first of these sockets, in this order, on which its event comes within the span."""
    poll = select.poll()
    for sock, events in sides:
        if sock.fileno() < 0 or (isinstance(sock, Channel) and events & READABLE and sock.has_buffered_data()):
            return sock
        poll.register(sock, events)
    # Rounded up: a wait that ends a fraction early would turn into a busy loop at its end.
    ready = {fd for fd, _ in poll.poll(max(0, to_milliseconds(timeout + timedelta(microseconds=999))))}
    return next((sock for sock, _ in sides if sock.fileno() in ready), None)


def shut_down(sock: Transport, how: int = socket.SHUT_RDWR) -> None:
    """Ends a socket so that every thread blocked on it returns."""
    with contextlib.suppress(OSError):
        sock.shutdown(how)


def close(sock: Transport, reset: bool = False, linger: timedelta = ZERO_DURATION) -> None:
    """Closes with FIN, or with RST. What lies unread is read first, and what comes within ``linger``: closing
    over it would send RST, which may overtake our last words. A peer that never stops sending is cut off."""
    if isinstance(sock, Channel):
        sock.terminate(reset, linger)
        return
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        else:
            shut_down(sock, socket.SHUT_WR)
            sock.setblocking(False)
            until = now() + linger
            for _ in range(MAX_DISCARDED_BYTES // len(_WASTE)):
                if linger and wait((sock, READABLE), timeout=max(until - now(), ZERO_DURATION)) is None:
                    break
                if not sock.recv_into(_WASTE):
                    break
    sock.close()


def reply_and_close(sock: socket.socket, line: bytes) -> None:
    """A local reply, then the end."""
    try:
        write(sock, [line])
    finally:
        close(sock, linger=LINGER_TIMEOUT)


class LineReader:
    """Reads lines into one buffer and hands them out in place, as views that hold until the next read."""

    def __init__(self, sock: Transport, size: int = 4096) -> None:
        self.sock = sock
        self.buffer = bytearray(size)
        self.view = memoryview(self.buffer)
        self.start = self.end = 0

    def line(self, timeout: timedelta | None = None, abort_on: socket.socket | None = None) -> memoryview | None:
        """The next line with its ending; None at the peer's end. TimeoutError when the span is over,
        InterruptedError when ``beside`` ends first."""
        until = None if timeout is None else now() + timeout
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
                    raise LineTooLongError
                kept = self.end - self.start
                self.buffer[:kept] = self.buffer[self.start : self.end]
                self.start, self.end, searched = 0, kept, kept
            if until is not None:
                self._wait(until - now(), abort_on)
            try:
                got = self.sock.recv_into(self.view[self.end :])
            except BlockingIOError:  # a channel's record that is not whole yet
                continue
            if got == 0:
                return None
            self.end += got

    def _wait(self, left: timedelta, abort_on: socket.socket | None) -> None:
        sides: list[tuple[Transport, int]] = [(self.sock, select.POLLIN)] + (
            [(abort_on, select.POLLRDHUP)] if abort_on else []
        )
        ready = wait(*sides, timeout=left) if left > ZERO_DURATION else None
        if ready is None:
            raise TimeoutError
        if ready is abort_on:
            raise InterruptedError

    def read_buffered(self, into: memoryview) -> int:
        """Moves what was read beyond the last line into the view, as far as it fits."""
        size = min(self.end - self.start, len(into))
        into[:size] = self.view[self.start : self.start + size]
        self.start += size
        return size

    def take_buffered(self) -> bytes:
        """What was read beyond the last line handed out."""
        got = bytes(self.view[self.start : self.end])
        self.start = self.end = 0
        return got


def decode_line(view: memoryview) -> str:
    return str(view, "ascii", "replace").rstrip("\r\n")
