"""One clock for the whole program. A time is the span since the Unix epoch, a span is a timedelta."""

from __future__ import annotations

import time
from datetime import timedelta

# Read once: the machine's clock may be set while we run, and a time that jumps would end every deadline.
_OFFSET_NS = time.time_ns() - time.monotonic_ns()
ZERO_DURATION = timedelta(0)
MICROSECOND = timedelta(microseconds=1)


def now() -> timedelta:
    return timedelta(microseconds=(time.monotonic_ns() + _OFFSET_NS) // 1000)


def to_milliseconds(span: timedelta) -> int:
    return span // timedelta(milliseconds=1)
