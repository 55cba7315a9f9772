"""How many of the process's descriptors are spoken for, and how many are kept back.

Guards against clients that stand and say nothing until every descriptor is taken: then discovery's return is never
heard of, and who was let in finds no way to an upstream host. A request needs two, so whoever is let in has both.
"""

from __future__ import annotations

import threading

KEPT_BACK = 40  # three standard ones, listeners and their pipes, discovery's two, those turned away, an operator's call
KEPT_SHARE = 4  # where there are few, no more than a quarter


class Descriptors:
    def __init__(self, limit: int) -> None:
        self._lock = threading.Lock()
        self._held = 0
        self.limit(limit)

    def limit(self, limit: int) -> None:
        self._most = limit - min(KEPT_BACK, limit // KEPT_SHARE)

    def take(self, count: int) -> bool:
        """False: no more may be opened but what is kept back."""
        with self._lock:
            if self._held + count > self._most:
                return False
            self._held += count
            return True

    def give_back(self, count: int) -> None:
        with self._lock:
            self._held -= count
