"""An estimate of the round-trip time of probes, and an upper bound for the next one (Jacobson 1988). No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from bramblestile.clock import ZERO_DURATION

MAX_ROUND_TRIP = timedelta(milliseconds=320)  # a larger bound would delay the detection of dead members
HALF_LIFE = timedelta(seconds=1)  # of past samples: slow probes are few, and would otherwise dominate for long


@dataclass(slots=True)
class RoundTripEstimator:
    """A mean and a deviation over all members that answer, late answers among them.

    Probes without an answer are no samples: otherwise each member that dies would lengthen the timeout for the next.
    """

    mean: timedelta = ZERO_DURATION
    deviation: timedelta = ZERO_DURATION
    sampled_at: timedelta = ZERO_DURATION  # time of the last sample

    def add_sample(self, round_trip: timedelta, sampled_at: timedelta) -> None:
        """Update the estimate; the weight of past samples decays with the time since the last one."""
        round_trip = min(round_trip, MAX_ROUND_TRIP)
        decay = 1 - 0.5 ** (max(ZERO_DURATION, sampled_at - self.sampled_at) / HALF_LIFE)
        error = abs(round_trip - self.mean)
        self.mean += (round_trip - self.mean) * max(1 / 8, decay)
        self.deviation += (error - self.deviation) * max(1 / 4, decay)
        self.sampled_at = sampled_at

    @property
    def upper_bound(self) -> timedelta:
        """The longest time that the next round trip is expected to take."""
        return min(MAX_ROUND_TRIP, self.mean + 4 * self.deviation)
