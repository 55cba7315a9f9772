"""Counters of requests received, upstream requests sent and answers given."""

from __future__ import annotations

import threading
from collections import Counter

from bramblestile.log import Log


class Counters:
    """Named counters that any thread may increment."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Increment a counter. An amount of 0 does not create it."""
        if amount:
            with self._lock:
                self._counts[name] += amount

    def get(self, name: str) -> int:
        """Return a counter's value; 0 where it has never been incremented."""
        with self._lock:
            return self._counts[name]

    def as_lines(self) -> list[str]:
        """Return a line ``NAME VALUE`` for each counter, sorted by name."""
        with self._lock:
            return [f"{name} {count}" for name, count in sorted(self._counts.items())]

    def as_dict(self) -> dict[str, int]:
        """Return all counters, sorted by name."""
        with self._lock:
            return dict(sorted(self._counts.items()))

    def log(self) -> None:
        """Log all counters as one event."""
        Log().info("counters", **self.as_dict())
