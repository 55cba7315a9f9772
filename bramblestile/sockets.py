"""Blocking sockets with time limits: dialling, gathered writes, line reading without copies, and closing."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import select
import socket
import struct
import termios
import threading
from collections.abc import Sequence
from datetime import timedelta
from typing import Any

from bramblestile.clock import MICROSECOND, ZERO_DURATION, now, to_milliseconds

Address = tuple[str, int]
READABLE = select.POLLIN
WRITABLE = select.POLLOUT
WRITE_TIMEOUT = timedelta(seconds=3)  # a peer that reads nothing for this long is disconnected
MIN_CONNECT_TIMEOUT = timedelta(milliseconds=1)
LINGER_TIMEOUT = timedelta(milliseconds=250)  # how long to read what the peer still sends after a final reply
MAX_DISCARDED_BYTES = 1 << 20  # unread input that is discarded while closing
_DISCARD_BUFFER = bytearray(65536)  # shared by all threads, since its contents are never read
_ABORTIVE_LINGER = struct.pack("ii", 1, 0)  # struct linger with a timeout of 0: close sends RST


class LineTooLongError(Exception):
    """A line exceeds the reader's buffer."""


class DialError(OSError):
    """No connection was made, so no request can have run on the host.

    ``skipped`` is true where the host was not contacted at all, in order to limit its load.
    """

    def __init__(self, text: str, skipped: bool = False) -> None:
        super().__init__(text)
        self.skipped = skipped


class TruncatedError(ConnectionError):
    """The peer's stream ended without its end marker, so data may be missing."""


class Channel:
    """A byte stream whose bytes differ from those on the socket, such as TLS.

    A plain connection is a ``socket`` itself and pays nothing for this class; the functions below take either. Two
    threads may use a channel at once, one reading and one writing, while any other thread closes it.
    """

    def fileno(self) -> int:
        """Return the socket's file descriptor."""
        raise NotImplementedError

    def has_buffered_data(self) -> bool:
        """Return whether ``recv_into`` may return at once, even if the socket is not readable."""
        raise NotImplementedError

    def recv_into(self, buffer: bytearray | memoryview) -> int:
        """Read into the buffer as ``socket.recv_into`` does.

        Raises TruncatedError at an end without its marker. When non-blocking, raises BlockingIOError until a whole
        record has arrived.
        """
        raise NotImplementedError

    def send_all(self, parts: Sequence[bytes | memoryview]) -> None:
        """Write all parts within ``WRITE_TIMEOUT``, or raise OSError."""
        raise NotImplementedError

    def setblocking(self, flag: bool) -> None:
        """Set whether ``recv_into`` waits. A new channel is non-blocking."""
        raise NotImplementedError

    def shutdown(self, how: int) -> None:
        """Shut down one or both directions, as ``socket.shutdown`` does."""
        raise NotImplementedError

    def terminate(self, reset: bool, linger: timedelta) -> None:
        """Close the channel; the parameters are those of ``close`` below."""
        raise NotImplementedError


Transport = socket.socket | Channel


class Signal:
    """Wakes every thread that polls it, once and for good. It is a pipe, since only descriptors can be polled."""

    def __init__(self) -> None:
        self._read, self._write = os.pipe()
        self._lock = threading.Lock()
        self._set = False

    def set(self) -> None:
        """Set the signal."""
        with self._lock:
            if not self._set:
                self._set = True
                os.close(self._write)

    def fileno(self) -> int:
        """Return the descriptor that becomes readable."""
        return self._read

    def wait(self, timeout: timedelta) -> bool:
        """Wait until the signal is set, or until the timeout expires; return whether it is set."""
        return wait((self, READABLE), timeout=timeout) is self


Pollable = Transport | Signal


def _timeval(duration: timedelta) -> bytes:
    return struct.pack("ll", duration // timedelta(seconds=1), duration % timedelta(seconds=1) // MICROSECOND)


def set_options(sock: socket.socket) -> None:
    """Make a socket blocking, without Nagle's algorithm, and with time-limited writes.

    SO_SNDTIMEO is used because it leaves reads unlimited.
    """
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, _timeval(WRITE_TIMEOUT))


def dial(address: Address, connect_timeout: timedelta, interrupt: Signal | None = None) -> socket.socket:
    """Connect within the timeout, or raise OSError. ``interrupt`` ends the wait as the timeout does."""
    until = now() + max(connect_timeout, MIN_CONNECT_TIMEOUT)
    error = OSError("the name has no address")
    for family, kind, protocol, _, resolved in socket.getaddrinfo(*address, type=socket.SOCK_STREAM):
        sock = socket.socket(family, kind, protocol)
        try:
            _connect(sock, resolved, until, interrupt)
            set_options(sock)
            return sock
        except OSError as failure:
            sock.close()
            error = failure
    raise error


def _connect(sock: socket.socket, address: Any, until: timedelta, interrupt: Signal | None) -> None:
    sock.setblocking(False)
    code = sock.connect_ex(address)
    if code == errno.EINPROGRESS:
        remaining = max(until - now(), ZERO_DURATION)
        if wait((sock, WRITABLE), *_readable(interrupt), timeout=remaining) is not sock:
            raise TimeoutError("timed out")
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))


def _readable(signal: Signal | None) -> list[tuple[Pollable, int]]:
    return [] if signal is None else [(signal, READABLE)]


def write(transport: Transport, parts: Sequence[bytes | memoryview]) -> None:
    """Write all parts with gathered writes. Raises OSError when the peer reads nothing within ``WRITE_TIMEOUT``."""
    if isinstance(transport, Channel):
        transport.send_all(parts)
        return
    remaining = [memoryview(p) for p in parts if len(p)]
    until = now() + WRITE_TIMEOUT
    while remaining:
        sent = transport.sendmsg(remaining)
        while remaining and sent >= len(remaining[0]):
            sent -= len(remaining.pop(0))
        if remaining:
            remaining[0] = remaining[0][sent:]
            if now() >= until:
                raise TimeoutError("the peer reads nothing")


def has_disconnected(sock: socket.socket) -> bool:
    """Return whether the peer has closed its side or reset the connection. Reads no data."""
    return wait((sock, select.POLLRDHUP), timeout=ZERO_DURATION) is sock


def was_reset(sock: socket.socket) -> bool:
    """Return whether the connection has ended in both directions, as by the peer's reset. Reads no data.

    What arrived before a reset can still be read, and only then does reading fail.
    """
    return wait((sock, 0), timeout=ZERO_DURATION) is sock


def unread_bytes(sock: socket.socket) -> int:
    """Return how many received bytes the socket holds."""
    answer = fcntl.ioctl(sock, termios.FIONREAD, bytes(struct.calcsize("i")))
    return int(struct.unpack("i", answer)[0])


def wait(*interests: tuple[Pollable, int], timeout: timedelta) -> Pollable | None:
    """Wait for poll events and return the first object, in the given order, that is ready; None on timeout."""
    poll = select.poll()
    for pollable, events in interests:
        if pollable.fileno() < 0 or (
            isinstance(pollable, Channel) and events & READABLE and pollable.has_buffered_data()
        ):
            return pollable
        poll.register(pollable, events)
    # Rounded up: waking a fraction of a millisecond early would make the caller spin until its deadline.
    ready = {fd for fd, _ in poll.poll(max(0, to_milliseconds(timeout + timedelta(microseconds=999))))}
    return next((pollable for pollable, _ in interests if pollable.fileno() in ready), None)


def wait_readable(transport: Transport, timeout: timedelta, interrupt: Signal | None = None) -> bool:
    """Return whether the transport becomes readable before the timeout expires or ``interrupt`` is set."""
    if timeout <= ZERO_DURATION:
        return False
    return wait((transport, READABLE), *_readable(interrupt), timeout=timeout) is transport


def shut_down(transport: Transport, how: int = socket.SHUT_RDWR) -> None:
    """Shut a transport down, so that every thread blocked on it returns. Errors are ignored."""
    with contextlib.suppress(OSError):
        transport.shutdown(how)


def close(transport: Transport, reset: bool = False, linger: timedelta = ZERO_DURATION) -> None:
    """Close with FIN, or with RST where ``reset`` is set.

    Unread input, and what arrives within ``linger``, is read and discarded first: closing a socket with unread input
    sends RST, which may overtake the last bytes that were written. At most ``MAX_DISCARDED_BYTES`` are read.
    """
    if isinstance(transport, Channel):
        transport.terminate(reset, linger)
        return
    with contextlib.suppress(OSError):
        if reset:
            transport.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORTIVE_LINGER)
        else:
            shut_down(transport, socket.SHUT_WR)
            transport.setblocking(False)
            until = now() + linger
            for _ in range(MAX_DISCARDED_BYTES // len(_DISCARD_BUFFER)):
                if linger and wait((transport, READABLE), timeout=max(until - now(), ZERO_DURATION)) is None:
                    break
                if not transport.recv_into(_DISCARD_BUFFER):
                    break
    transport.close()


def reply_and_close(sock: socket.socket, line: bytes) -> None:
    """Send a local reply and close the connection."""
    try:
        write(sock, [line])
    finally:
        close_after_reply(sock)


def close_after_reply(sock: socket.socket) -> None:
    """Close a connection whose last bytes were a local reply, so that the peer can read it."""
    close(sock, linger=LINGER_TIMEOUT)


class LineReader:
    """Reads lines into one buffer and returns them without copying, as views that are valid until the next read."""

    def __init__(self, transport: Transport, size: int = 4096) -> None:
        self.transport = transport
        self.buffer = bytearray(size)
        self.view = memoryview(self.buffer)
        self.start = self.end = 0

    def line(
        self,
        timeout: timedelta | None = None,
        abort_on: socket.socket | None = None,
        interrupt: Signal | None = None,
    ) -> memoryview | None:
        """Return the next line with its line ending, or None at the end of the stream.

        Raises TimeoutError when the timeout expires or ``interrupt`` is set, InterruptedError when the peer of
        ``abort_on`` disconnects first, and LineTooLongError when the line does not fit into the buffer.
        """
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
                unread = self.end - self.start
                self.buffer[:unread] = self.buffer[self.start : self.end]
                self.start, self.end, searched = 0, unread, unread
            if until is not None:
                self._wait(until - now(), abort_on, interrupt)
            try:
                received = self.transport.recv_into(self.view[self.end :])
            except BlockingIOError:  # a channel's record that is still incomplete
                continue
            if received == 0:
                return None
            self.end += received

    def _wait(self, remaining: timedelta, abort_on: socket.socket | None, interrupt: Signal | None) -> None:
        interests: list[tuple[Pollable, int]] = [(self.transport, READABLE)]
        if abort_on is not None:
            interests.append((abort_on, select.POLLRDHUP))
        interests += _readable(interrupt)
        ready = wait(*interests, timeout=remaining) if remaining > ZERO_DURATION else None
        if ready is None or ready is interrupt:
            raise TimeoutError
        if ready is abort_on:
            raise InterruptedError

    def read_buffered(self, target: memoryview) -> int:
        """Move buffered bytes that follow the last returned line into ``target``; return how many fitted."""
        size = min(self.end - self.start, len(target))
        target[:size] = self.view[self.start : self.start + size]
        self.start += size
        return size

    def take_buffered(self) -> bytes:
        """Remove and return all buffered bytes that follow the last returned line."""
        buffered = bytes(self.view[self.start : self.end])
        self.start = self.end = 0
        return buffered


def decode_line(view: memoryview) -> str:
    """Return a line as text without its line ending. Bytes that are not ASCII are replaced."""
    return str(view, "ascii", "replace").rstrip("\r\n")
