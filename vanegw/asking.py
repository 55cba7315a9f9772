"""When discovery is asked, and how long a call may take: arithmetic on the settings, no I/O.

A call that finds nothing new is held by discovery; while it is out, silence cannot be told from no news. Whatever went
wrong, a refused call, a reset or a watch that has fallen silent, a change counts as told ``TOLD_US`` after discovery
had it and could be reached, and the drain's grace later nothing may be sent any more. So the longest way of a change to
us is what bounds the hold: a call is held, falls silent, is given up, is made again at once, and waits in turn.
"""

from __future__ import annotations

from dataclasses import dataclass

from vanegw.interface import Settings

TOLD_US = 6_000_000  # the operators' word for whatever failed; the protocol's for any silence
# A list service serves its calls in turn and refuses what has waited too long: a call that is given up sooner than that
# is work done for nobody, and the others wait for it. Seen: 2.0 s. One that takes longer is slow on top of failing.
ANSWER_US = 2_000_000
# The spread of the next call after a failure, and after more of them. Most fail once and all together, when a change is
# answered to every watch or a herd starts: what is refused then must not come back while the others still ask. With an
# answer each fits into TOLD_US; a service that has been down lets its calls wait and refuses them, so after a second
# failure the spread is paid on top of that wait.
FIRST_AGAIN_US, AGAIN_US = 4_000_000, 2_500_000
START_US = 1_000_000  # of the first call: balancers start together
MARGIN_US = 250_000  # the last answer's way, and what was being sent when it came
LEAST_HOLD_US, MOST_HOLD_US = 1_000_000, 4_000_000
PUSHED_SHARE = 1 / 4  # of the drain's grace: an agent's word counts at once when it is back


@dataclass(slots=True, frozen=True)
class Pace:
    """All in microseconds. ``hold``: how long discovery may hold a call with nothing new; ``answer``: what it may take
    beyond that; ``first_again``, ``again``: the spread of the call after the first failure, and after more."""

    hold: int
    answer: int
    first_again: int
    again: int

    @property
    def silent(self) -> int:
        """From the start of a watch's call that falls silent to the answer of the one after it, at the latest."""
        return self.hold + self.answer + self.answer

    @property
    def refused(self) -> int:
        """From a return of discovery, in whose last moment a call was refused, to an answer, if it then answers."""
        return max(self.first_again, self.again) + self.answer

    def spread(self, failures: int) -> int:
        """Within which the next call comes, drawn evenly, after so many failures in a row."""
        return START_US if failures == 0 else self.first_again if failures == 1 else self.again


def pace(settings: Settings) -> Pace:
    told = TOLD_US + settings.drain_grace_us - MARGIN_US
    if settings.list_on_request:
        first, again = FIRST_AGAIN_US, AGAIN_US
    else:  # an agent of our own: nobody else waits for it, and nobody's calls meet ours
        first = again = min(FIRST_AGAIN_US, max(1, int(settings.drain_grace_us * PUSHED_SHARE)))
    hold = told - 2 * ANSWER_US
    return Pace(max(LEAST_HOLD_US, min(MOST_HOLD_US, hold)), ANSWER_US, first, again)
