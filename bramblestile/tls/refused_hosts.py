"""Hosts whose certificate is refused, and when each is looked at again; no I/O.

A refused host takes no new work until it shows a good one. Nobody's request finds that out: it is looked at by itself,
at a pace that neither loads a broken host nor leaves a mended one out for long.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from bramblestile.tls.verification import VerificationFailure

FIRST = timedelta(seconds=1)  # after which a refused host is looked at, doubled with each look
LONGEST = timedelta(seconds=15)  # a host that was mended serves again after so long at most
MAX_HOSTS = 4096


@dataclass(slots=True)
class RefusedHost:
    failure: VerificationFailure
    next: timedelta
    looks: int = 0


class RefusedHosts:
    """Not for several threads at once: the dialer holds a lock."""

    def __init__(self) -> None:
        self._held: dict[str, RefusedHost] = {}

    def add(self, host: str, problem: VerificationFailure, now: timedelta) -> bool:
        """True where it is news: the host was good before, or is refused for another reason."""
        held = self._held.get(host)
        if held is None:
            if len(self._held) >= MAX_HOSTS:
                del self._held[next(iter(self._held))]
            self._held[host] = RefusedHost(problem, now + FIRST)
            return True
        news, held.failure = held.failure.reason is not problem.reason, problem
        return news

    def record_failed_recheck(self, host: str, now: timedelta) -> None:
        """A look that proved nothing good: the next one comes later."""
        held = self._held.get(host)
        if held is not None:
            held.looks += 1
            held.next = now + min(FIRST * 2 ** min(held.looks, 10), LONGEST)

    def remove(self, host: str) -> RefusedHost | None:
        """It has shown a good one, or is no more. What it was refused for, if it was."""
        return self._held.pop(host, None)

    def failure(self, host: str) -> VerificationFailure | None:
        held = self._held.get(host)
        return None if held is None else held.failure

    def due(self, now: timedelta) -> list[str]:
        return [host for host, held in self._held.items() if held.next <= now]

    def time_to_recheck(self, now: timedelta) -> timedelta | None:
        """Until the next look; None: nobody is refused."""
        return min((max(held.next - now, timedelta(0)) for held in self._held.values()), default=None)

    def recheck_all(self, now: timedelta) -> None:
        """Our own files have changed: what was refused may be good now."""
        for held in self._held.values():
            held.next, held.looks = now, 0

    def hosts(self) -> list[str]:
        return list(self._held)
