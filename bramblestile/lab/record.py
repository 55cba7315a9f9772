"""All faults and observations of a run, in order of time, in one file of JSON lines; and waiting for what is seen."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

Event = dict[str, Any]


class Record:
    """Events are kept in memory too, for the conditions; a run is bounded, so its events are."""

    def __init__(self, path: Path | None = None) -> None:
        self.events: list[Event] = []
        self.news = threading.Condition()
        self._file = None if path is None else open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.began = time.time()

    def add(self, what: str, at: float | None = None, **fields: Any) -> None:
        """``at``: seconds since the epoch, where it was seen elsewhere before it came here."""
        event = {"at": round((time.time() if at is None else at) - self.began, 4), "what": what, **fields}
        with self.news:
            self.events.append(event)
            if self._file is not None and not self._file.closed:
                self._file.write(json.dumps(event, default=str) + "\n")
            self.news.notify_all()

    def now(self) -> float:
        """Seconds since the beginning, as events are told by."""
        return time.time() - self.began

    def of(self, what: str, since: float = 0.0, **fields: Any) -> list[Event]:
        with self.news:
            return [
                e
                for e in self.events
                if e["what"] == what and e["at"] >= since and all(e.get(k) == v for k, v in fields.items())
            ]

    def wait(self, holds: Callable[[], bool], within: timedelta) -> bool:
        """Until it holds: asked whenever something is seen."""
        until = time.monotonic() + within.total_seconds()
        while not holds():
            left = until - time.monotonic()
            if left <= 0:
                return False
            with self.news:
                self.news.wait(min(left, 0.1))
        return True

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
