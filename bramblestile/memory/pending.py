"""Downstreams that have connected and are no request yet: how many there may be, and who has to leave.

Guards against clients that connect by the hundreds and say nothing, or never come to an end: each holds a
thread and a descriptor that the usual clients need.
"""

from __future__ import annotations

import socket
import threading
from datetime import timedelta

from bramblestile import sockets
from bramblestile.clock import now

SPEAK = timedelta(milliseconds=50)  # nobody is sent away sooner: whoever has a request says it at once


class PendingDownstreams:
    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._changed = threading.Condition()
        self._held: dict[socket.socket, timedelta] = {}  # since when, the oldest first
        self._sent_away: set[socket.socket] = set()

    def wait_for_room(self) -> None:
        """For the thread that accepts: returns once one more may come. The oldest leave for it."""
        with self._changed:
            while len(self._held) >= self.limit:
                # Reads end at once, so its thread says goodbye and lets go; it counts until it has.
                old = next((s for s in self._held if s not in self._sent_away), None)
                left = SPEAK if old is None else self._held[old] + SPEAK - now()
                if old is not None and left <= timedelta(0):
                    self._send_away(old)
                    continue
                self._changed.wait(left.total_seconds())

    def evict_oldest(self) -> None:
        """Descriptors have run out: whoever has waited longest makes room, however short that is."""
        with self._changed:
            old = next((s for s in self._held if s not in self._sent_away), None)
            if old is not None:
                self._send_away(old)

    def _send_away(self, sock: socket.socket) -> None:
        self._sent_away.add(sock)
        sockets.shut_down(sock, socket.SHUT_RD)

    def track(self, sock: socket.socket) -> None:
        with self._changed:
            self._held[sock] = now()

    def remove(self, sock: socket.socket) -> bool:
        """It has become a request, or is over. False where it has been sent away."""
        with self._changed:
            self._held.pop(sock, None)
            self._changed.notify()
            away = sock in self._sent_away
            self._sent_away.discard(sock)
            return not away

    def was_evicted(self, sock: socket.socket) -> bool:
        with self._changed:
            return sock in self._sent_away
