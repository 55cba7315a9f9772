"""Schedule of moves: which connections to move when, during a stop, a drain or the suspension of a host.

No I/O and no clock: given the time and the connections that are left, the schedule returns those that are due. Moved
clients reconnect at once, so the moves are spread evenly over the available time. Connections that are established
late are fitted into what remains of it, and at the end all are due.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import TypeVar

from bramblestile.clock import ZERO_DURATION

T = TypeVar("T")


class MoveSchedule:
    """Moves spread over a period: none is due before ``starts_at``, all that are left are due from ``ends_at`` on."""

    def __init__(self, starts_at: timedelta, ends_at: timedelta) -> None:
        self.starts_at, self.ends_at = starts_at, max(starts_at, ends_at)
        self._advanced_to = self.starts_at  # the moves up to this time have been returned
        self._fraction_due = 0.0  # the part of the next move that has accrued so far

    def due(self, current_time: timedelta, remaining: Sequence[T]) -> Sequence[T]:
        """Return those of ``remaining``, the connections that were not asked to move yet, that are to be moved now."""
        if current_time < self.starts_at or not remaining:
            return ()
        if current_time >= self.ends_at:
            return remaining
        time_left, elapsed = self.ends_at - self._advanced_to, max(ZERO_DURATION, current_time - self._advanced_to)
        self._advanced_to = current_time
        self._fraction_due += len(remaining) * (elapsed / time_left)
        count = min(int(self._fraction_due), len(remaining))
        self._fraction_due -= count
        return remaining[:count]
