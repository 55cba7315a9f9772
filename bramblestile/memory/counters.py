"""Counters for what is taken in, sent and answered."""

from __future__ import annotations

import threading
from collections import Counter

from bramblestile.log import Log


class Counters:
    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        if amount:
            with self._lock:
                self._counts[name] += amount

    def get(self, name: str) -> int:
        with self._lock:
            return self._counts[name]

    def as_lines(self) -> list[str]:
        with self._lock:
            return [f"{name} {count}" for name, count in sorted(self._counts.items())]

    def as_dict(self) -> dict[str, int]:
        with self._lock:
            return dict(sorted(self._counts.items()))

    def log(self) -> None:
        Log().info("counters", **self.as_dict())
