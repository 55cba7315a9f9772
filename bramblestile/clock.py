"""The process clock. Points in time and durations are ``timedelta``; a point in time counts from the Unix epoch."""

from __future__ import annotations

import time
from datetime import timedelta

# Read once: the system clock may be stepped while the process runs, and a jump would expire every deadline at once.
_EPOCH_OFFSET_NS = time.time_ns() - time.monotonic_ns()
ZERO_DURATION = timedelta(0)
MICROSECOND = timedelta(microseconds=1)


def now() -> timedelta:
    """Return the current time since the Unix epoch, to the microsecond. It never goes backwards."""
    return timedelta(microseconds=(time.monotonic_ns() + _EPOCH_OFFSET_NS) // 1000)


def to_milliseconds(duration: timedelta) -> int:
    """Return the whole milliseconds of a duration, rounded down."""
    return duration // timedelta(milliseconds=1)
