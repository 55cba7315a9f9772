"""Downstream connections that have not sent a whole request yet: their number is limited, the oldest is evicted.

Each such connection holds a thread and a descriptor. The limit protects other clients from those that open connections
by the hundreds and send nothing, or never finish their first line.
"""

from __future__ import annotations

import socket
import threading
from datetime import timedelta

from bramblestile import sockets
from bramblestile.clock import now

MIN_GRACE = timedelta(milliseconds=50)  # not evicted sooner: a client that has a request sends it at once


class PendingDownstreams:
    """The connections without a whole request, oldest first; at most ``limit`` of them."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._changed = threading.Condition()
        self._accepted_at: dict[socket.socket, timedelta] = {}  # oldest first
        self._evicted: set[socket.socket] = set()
        self._closed = False  # no connection may be pending any more

    def wait_for_room(self) -> None:
        """Block the accepting thread until there is room for one more; the oldest are evicted to that end."""
        with self._changed:
            while len(self._accepted_at) >= self.limit:
                # Eviction ends the reads, so that the connection's thread replies and closes. It counts until then.
                oldest = next((s for s in self._accepted_at if s not in self._evicted), None)
                remaining = MIN_GRACE if oldest is None else self._accepted_at[oldest] + MIN_GRACE - now()
                if oldest is not None and remaining <= timedelta(0):
                    self._evict(oldest)
                    continue
                self._changed.wait(remaining.total_seconds())

    def evict_oldest(self) -> None:
        """Evict the oldest connection whatever its age: the process has run out of descriptors."""
        with self._changed:
            oldest = next((s for s in self._accepted_at if s not in self._evicted), None)
            if oldest is not None:
                self._evict(oldest)

    def evict_all(self) -> None:
        """Evict all connections, and each later one at once: the process is about to end."""
        with self._changed:
            self._closed = True
            for sock in self._accepted_at.keys() - self._evicted:
                self._evict(sock)

    def _evict(self, sock: socket.socket) -> None:
        self._evicted.add(sock)
        sockets.shut_down(sock, socket.SHUT_RD)

    def track(self, sock: socket.socket) -> None:
        """Add a connection that has just been accepted."""
        with self._changed:
            self._accepted_at[sock] = now()
            if self._closed:
                self._evict(sock)

    def remove(self, sock: socket.socket) -> bool:
        """Remove a connection that has sent a request or has ended. Returns False where it was evicted."""
        with self._changed:
            self._accepted_at.pop(sock, None)
            self._changed.notify()
            evicted = sock in self._evicted
            self._evicted.discard(sock)
            return not evicted

    def was_evicted(self, sock: socket.socket) -> bool:
        """Return whether a connection was evicted and is not removed yet."""
        with self._changed:
            return sock in self._evicted
