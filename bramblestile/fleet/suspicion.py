"""How long a suspicion waits for its refutation, and how far a member trusts itself (Lifeguard, 2018)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import timedelta

WORST = 8  # of a member's own health, as in the paper


@dataclass(slots=True)
class Suspicion:
    """Of one member at one turn. It ends at ``until`` unless the suspected one contradicts; the more others could not
    reach it either, the sooner. ``accusers`` have tried themselves: who only passes a suspicion on is none."""

    began: timedelta
    least: timedelta
    most: timedelta
    wanted: int  # accusers beyond the first that bring the wait down to ``least``
    accusers: set[str] = field(default_factory=set)
    postponed: timedelta = timedelta(0)  # while we did not run we could not hear it refuted

    @property
    def until(self) -> timedelta:
        beyond = max(0, len(self.accusers) - 1)
        if self.wanted <= 0:
            return self.began + self.most + self.postponed
        part = math.log(min(beyond, self.wanted) + 1) / math.log(self.wanted + 1)
        return self.began + max(self.least, self.most - (self.most - self.least) * part) + self.postponed

    def accuse(self, by: str) -> bool:
        """True where this is news that the others need."""
        if by in self.accusers or len(self.accusers) > self.wanted:
            return False
        self.accusers.add(by)
        return True


@dataclass(slots=True)
class Health:
    """0: well. Each point lengthens our own waits by one: who is starved of CPU must not accuse the others for it."""

    score: int = 0

    def change(self, by: int) -> None:
        self.score = min(WORST, max(0, self.score + by))

    def stretched(self, span: timedelta) -> timedelta:
        return span * (1 + self.score)
