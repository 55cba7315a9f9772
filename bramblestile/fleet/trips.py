"""How long a probe and its answer take, as a member sees it: a bound for the next one (Jacobson 1988). No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from bramblestile.clock import ZERO_DURATION

LONGEST = timedelta(milliseconds=320)  # a bound beyond this would hide the dead
HALF_LIFE = timedelta(seconds=1)  # of what is remembered: slow probes are few, and must not be remembered the longer


@dataclass(slots=True)
class Trips:
    """Of whomever answers, sooner or later; who never does tells nothing, or a member that dies would lengthen the wait
    for the next one."""

    usual: timedelta = ZERO_DURATION
    varies: timedelta = ZERO_DURATION
    at: timedelta = ZERO_DURATION  # when the last one came

    def seen(self, span: timedelta, at: timedelta) -> None:
        span = min(span, LONGEST)
        faded = 1 - 0.5 ** (max(ZERO_DURATION, at - self.at) / HALF_LIFE)
        off = abs(span - self.usual)
        self.usual += (span - self.usual) * max(1 / 8, faded)
        self.varies += (off - self.varies) * max(1 / 4, faded)
        self.at = at

    @property
    def bound(self) -> timedelta:
        return min(LONGEST, self.usual + 4 * self.varies)
