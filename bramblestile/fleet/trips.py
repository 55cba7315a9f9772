"""How long a probe and its answer take, as a member sees it: a bound for the next one (Jacobson 1988). No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from bramblestile.clock import NOTHING

LONGEST = timedelta(seconds=1)  # a bound beyond this would hide the dead


@dataclass(slots=True)
class Trips:
    """Of whomever answers, sooner or later; who never does tells nothing, or a member that dies would lengthen the wait
    for the next one."""

    usual: timedelta = NOTHING
    varies: timedelta = NOTHING

    def seen(self, span: timedelta) -> None:
        off = abs(span - self.usual)
        self.usual += (span - self.usual) / 8
        self.varies += (off - self.varies) / 4

    @property
    def bound(self) -> timedelta:
        return min(LONGEST, self.usual + 4 * self.varies)
