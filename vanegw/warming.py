"""A cold backend's budget, shared out among balancers that share nothing: arithmetic on the settings, no I/O.

What a backend may be sent while it is cold holds for the sum of all balancers. Its calls are dealt out by number: each
is some balancer's own, by that one's place, which may use it once in any window of ``fall_us``. The sum over any window
is then at most what was dealt out at its end, whoever has traffic, however many there are, and no chance adds to it.
The calls keep their places until the backend is warm: that they fall due in turn, to one after the other, would be
fairer, but where each may be used late they come together, and half of them would have to be left out for that.
"""

from __future__ import annotations

import math

from vanegw.interface import Settings

# Of the 2 x root of N + 2 that count as chance: for rounding to whole calls, of which small backends have few. The rest
# is left for balancers whose estimates of N differ.
CHANCE_SHARE = 0.4


def warmth(settings: Settings, age_us: float) -> float:
    """The part of its capacity that a backend of this age surely has: it rises evenly, and is 1 when it is warm."""
    if age_us >= settings.cold_us:
        return 1.0
    return settings.cold_from + (1 - settings.cold_from) * max(0, age_us) / settings.cold_us


class Ramp:
    """One cold backend's budget at one moment. ``fills``: connections that fill it when it is warm; ``age_us``: since
    it started; ``since_us``: its age when this balancer started, which does not know what it did before."""

    def __init__(self, settings: Settings, fills: float, age_us: float, since_us: float) -> None:
        self._settings, self._age, self._since = settings, age_us, since_us
        self._full = settings.fall_multiple * fills * settings.fall_us / settings.cold_us  # N when it is warm

    def calls(self) -> int:
        """What all balancers together may send in the window that ends now. It never falls: who was dealt a call
        earlier in the window is still counted."""
        fall_us = self._settings.fall_us
        first = max(0.0, self._age - fall_us)
        calls = self._full * (warmth(self._settings, first) + warmth(self._settings, first + fall_us)) / 2
        return int(calls + CHANCE_SHARE * (2 * math.sqrt(calls) + 2))

    def part(self, place: int) -> int:
        """What the balancer at this place may send in the window that ends now."""
        if self._since > 0 and self._age - self._since < self._settings.fall_us:
            return 0  # what it sent before it was started anew may still be in the window
        balancers = self._settings.balancers
        return (self.calls() + place % balancers) // balancers  # over all places their whole number (Hermite)
