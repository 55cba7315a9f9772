"""Whom to move when: a stop, a drain and a host taken out all send standing connections away by one plan.

No I/O and no clock: given the time and what still stands, it tells who is due. The moved come back at once, all of
them, so they are spread evenly over what time there is; who comes up late is fitted into what is left of it, and at the
end all are due.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from typing import TypeVar

from bramblestile.clock import ZERO_DURATION

T = TypeVar("T")


class MoveSchedule:
    """Nobody is due before ``first``; all that stands is due from ``last`` on."""

    def __init__(self, first: timedelta, last: timedelta) -> None:
        self.starts_at, self.ends_at = first, max(first, last)
        self._told = self.starts_at  # up to when those due have been told
        self._owed = 0.0  # the part of a move that the time so far has not made whole

    def due(self, at: timedelta, standing: Sequence[T]) -> Sequence[T]:
        """Those of ``standing``, none of whom has been told to move yet, who are to be told now."""
        if at < self.starts_at or not standing:
            return ()
        if at >= self.ends_at:
            return standing
        left, passed = self.ends_at - self._told, max(ZERO_DURATION, at - self._told)
        self._told = at
        self._owed += len(standing) * (passed / left)
        number = min(int(self._owed), len(standing))
        self._owed -= number
        return standing[:number]
