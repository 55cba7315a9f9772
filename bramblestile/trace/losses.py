"""Counts of records that the recorder had to drop, and the backoff after failed writes; no I/O.

A request never waits for the recorder: if its queue is full, the record is dropped and counted. The counts are written
as ``Lost`` records at the start of the next block.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from datetime import timedelta

from bramblestile.trace.records import MAX_INT, Lost

BUFFER, DISK, HELD = "buffer", "disk", "held"
INITIAL_BACKOFF = timedelta(seconds=1)  # after the first failed write; doubled with each further one
MAX_BACKOFF = timedelta(seconds=30)  # after an operator has freed disk space, tracing resumes within this time


@dataclass(slots=True)
class LossCounter:
    """Counts lost records by reason. Any thread may add."""

    _lock: threading.Lock = field(default_factory=threading.Lock)
    _counts: dict[str, tuple[int, int]] = field(default_factory=dict)  # by reason: count, and time of the first
    total: int = 0

    def add(self, reason: str, count: int, at_us: int) -> None:
        """Count ``count`` lost records; ``at_us`` is the time of the first."""
        if count > 0:
            at_us = min(max(at_us, 0), MAX_INT)  # a time that cannot be encoded must not break the Lost record too
            with self._lock:
                previous, since = self._counts.get(reason, (0, at_us))
                self._counts[reason] = (previous + count, since)
                self.total += count

    def drain(self, at_us: int) -> list[Lost]:
        """Return the losses since the last call as records with the time ``at_us``."""
        if not self._counts:  # avoids the lock in the usual case
            return []
        with self._lock:
            records, self._counts = self._counts, {}
        return [Lost(count=count, why=reason, since=since, at=at_us) for reason, (count, since) in records.items()]

    def restore(self, records: list[Lost]) -> None:
        """Put back losses whose records could not be written."""
        with self._lock:
            for record in records:
                previous, since = self._counts.get(record.why, (0, record.since))
                self._counts[record.why] = (previous + record.count, min(since, record.since))


@dataclass(slots=True)
class RetryBackoff:
    """Decides when to try a failing folder again, with exponential backoff and no limit on retries."""

    failures: int = 0
    next_try: timedelta = timedelta(0)

    def may_retry(self, now: timedelta) -> bool:
        """Return whether a write may be tried at this time."""
        return now >= self.next_try

    def record_failure(self, now: timedelta) -> None:
        """Postpone the next try."""
        backoff = min(INITIAL_BACKOFF * 2 ** min(self.failures, 10), MAX_BACKOFF)
        self.failures += 1
        self.next_try = now + backoff

    def record_success(self) -> None:
        """Reset the backoff."""
        self.failures = 0
        self.next_try = timedelta(0)
