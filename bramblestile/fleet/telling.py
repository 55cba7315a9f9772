"""When a member's own figures are worth telling all the others. No I/O.

Every telling reaches every member, so that what a member hears would grow with the fleet if each told at a fixed pace.
Here the pace falls with the fleet's size: all members together tell ``ALL_PER_S`` times a second at most, and those
that have started together drift apart.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from bramblestile.clock import ZERO_DURATION

ALL_PER_S = 10.0
SOONEST = timedelta(seconds=1)
CHANGED = 1.25  # times more or less than was last told
LEAST_HOLDS = timedelta(seconds=60)  # whoever starts thinks that the fleet is small, as all do that start together
RENEWALS = 3  # within an entry's validity: two may go astray


@dataclass(slots=True)
class Telling:
    """Of one figure."""

    random: Random
    told: float | None = None
    next: timedelta = ZERO_DURATION  # no sooner, however it changes
    due: timedelta = ZERO_DURATION

    def wants(self, value: float, members: int, at: timedelta) -> timedelta | None:
        """For how long the entry is to hold, where this is the moment to tell it."""
        pace = max(SOONEST, timedelta(seconds=members / ALL_PER_S))
        if self.told is not None:
            low, high = sorted((self.told, value))
            changed = high > low * CHANGED and high - low >= 1
            if at < self.next or not (changed or at >= self.due):
                return None
        holds = max(LEAST_HOLDS, 4 * RENEWALS * pace)
        self.told, self.next = value, at + pace * self.random.uniform(0.5, 1.5)
        self.due = at + holds / RENEWALS * self.random.uniform(0.5, 1)
        return holds
