"""The event log of a run: all faults and observations in order of time, as JSON lines, and waiting for conditions."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

Event = dict[str, Any]

MAX_WAIT_S = 0.1  # a condition may also depend on something that adds no event


class EventLog:
    """Thread-safe log of a run, in memory and, given a path, in a file.

    Each event has the keys ``at``, seconds since the start of the run, and ``what``, its type. All events stay in
    memory for the conditions, which is bounded because a run is.
    """

    def __init__(self, path: Path | None = None) -> None:
        self.events: list[Event] = []
        self.changed = threading.Condition()
        self._file = None if path is None else open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.started_at = time.time()

    def add(self, event_type: str, timestamp: float | None = None, /, **fields: Any) -> None:
        """Add an event.

        ``timestamp`` is in seconds since the epoch, for events that were observed elsewhere; by default it is now.
        """
        event = {
            "at": round((time.time() if timestamp is None else timestamp) - self.started_at, 4),
            "what": event_type,
            **fields,
        }
        with self.changed:
            self.events.append(event)
            if self._file is not None and not self._file.closed:
                self._file.write(json.dumps(event, default=str) + "\n")
            self.changed.notify_all()

    def now(self) -> float:
        """Return the seconds since the start of the run, the time base of the events."""
        return time.time() - self.started_at

    def select(self, event_type: str, since_s: float = 0.0, /, **fields: Any) -> list[Event]:
        """Return the events of a type from ``since_s`` on whose fields have these values."""
        with self.changed:
            return [
                event
                for event in self.events
                if event["what"] == event_type
                and event["at"] >= since_s
                and all(event.get(key) == value for key, value in fields.items())
            ]

    def wait_until(self, condition: Callable[[], bool], timeout: timedelta) -> bool:
        """Wait for a condition, evaluated at each event and every ``MAX_WAIT_S``; return False on timeout."""
        deadline = time.monotonic() + timeout.total_seconds()
        while not condition():
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return False
            with self.changed:
                self.changed.wait(min(remaining_s, MAX_WAIT_S))
        return True

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
