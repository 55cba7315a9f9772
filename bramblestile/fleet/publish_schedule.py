"""When a member publishes one of its load metrics to the fleet. No I/O.

Each published value reaches every member, so at a fixed interval per member the traffic that each receives would grow
with the fleet. Here the interval grows with the fleet instead: all members together publish at most
``FLEET_PUBLISHES_PER_S`` times a second. Random jitter spreads members that have started at the same time.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from bramblestile.clock import ZERO_DURATION

FLEET_PUBLISHES_PER_S = 10.0
MIN_INTERVAL = timedelta(seconds=1)
MIN_CHANGE_RATIO = 1.25  # to the last published value, up or down
MIN_TTL = timedelta(seconds=60)  # a member that has just started, maybe with all others, still sees a small fleet
REFRESHES_PER_TTL = 3  # two of them may be lost


@dataclass(slots=True)
class PublishSchedule:
    """The schedule of one metric: published after a change, and refreshed before its entry expires."""

    random: Random
    last_value: float | None = None
    not_before: timedelta = ZERO_DURATION  # the earliest time of the next publication, even after a change
    refresh_at: timedelta = ZERO_DURATION

    def ttl_if_due(self, value: float, member_count: int, now: timedelta) -> timedelta | None:
        """Return the time to live of an entry to publish now, or None if none is due."""
        interval = max(MIN_INTERVAL, timedelta(seconds=member_count / FLEET_PUBLISHES_PER_S))
        if self.last_value is not None:
            low, high = sorted((self.last_value, value))
            changed = high > low * MIN_CHANGE_RATIO and high - low >= 1
            if now < self.not_before or not (changed or now >= self.refresh_at):
                return None
        ttl = max(MIN_TTL, 4 * REFRESHES_PER_TTL * interval)
        self.last_value, self.not_before = value, now + interval * self.random.uniform(0.5, 1.5)
        self.refresh_at = now + ttl / REFRESHES_PER_TTL * self.random.uniform(0.5, 1)
        return ttl
