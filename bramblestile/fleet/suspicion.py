"""Suspicion timeouts and a member's awareness of its own health (Lifeguard, 2018)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import timedelta

MAX_HEALTH_SCORE = 8  # as in the paper


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member in one incarnation.

    It ends at ``deadline`` unless the member refutes it; each further accuser brings the deadline forward.
    ``accusers`` have probed the member themselves: passing a suspicion on does not count.
    """

    started_at: timedelta
    min_timeout: timedelta
    max_timeout: timedelta
    expected_confirmations: int  # accusers beyond the first that shorten the timeout to ``min_timeout``
    accusers: set[str] = field(default_factory=set)
    extension: timedelta = timedelta(0)  # time in which this process did not run and could not receive a refutation

    @property
    def deadline(self) -> timedelta:
        """When the member counts as dead."""
        confirmations = max(0, len(self.accusers) - 1)
        if self.expected_confirmations <= 0:
            return self.started_at + self.max_timeout + self.extension
        share = math.log(min(confirmations, self.expected_confirmations) + 1) / math.log(
            self.expected_confirmations + 1
        )
        return (
            self.started_at
            + max(self.min_timeout, self.max_timeout - (self.max_timeout - self.min_timeout) * share)
            + self.extension
        )

    def add_accuser(self, name: str) -> bool:
        """Return True if this accusation is new and other members need it."""
        if name in self.accusers or len(self.accusers) > self.expected_confirmations:
            return False
        self.accusers.add(name)
        return True


@dataclass(slots=True)
class LocalHealth:
    """How well this member can judge others: 0 is healthy.

    Each point adds one to the factor of this member's own timeouts, because a process that is short of CPU must not
    accuse others of its own delay.
    """

    score: int = 0

    def adjust(self, delta: int) -> None:
        """Change the score within its bounds."""
        self.score = min(MAX_HEALTH_SCORE, max(0, self.score + delta))

    def scale(self, duration: timedelta) -> timedelta:
        """Return a timeout or an interval scaled by the health score."""
        return duration * (1 + self.score)
