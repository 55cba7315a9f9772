"""Hosts whose certificate was refused, and when each is checked again. No I/O.

A refused host gets no new requests until it presents an acceptable certificate. That is found out by handshakes outside
of any request, whose interval neither loads a broken host nor keeps a repaired one out of service for long.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from bramblestile.tls.verification import VerificationFailure

FIRST_RECHECK_DELAY = timedelta(seconds=1)  # doubled with each failed check
MAX_RECHECK_DELAY = timedelta(seconds=15)  # a repaired host is back in service within this time
MAX_HOSTS = 4096


@dataclass(slots=True)
class RefusedHost:
    """Why a host is refused, the time of its next check, and the number of failed checks."""

    failure: VerificationFailure
    next_check_at: timedelta
    failed_checks: int = 0


class RefusedHosts:
    """All refused hosts. Not thread-safe: the dialer holds a lock."""

    def __init__(self) -> None:
        self._entries: dict[str, RefusedHost] = {}

    def add(self, host: str, failure: VerificationFailure, now: timedelta) -> bool:
        """Add or update a host. Return whether it was not refused before, or was for another reason."""
        entry = self._entries.get(host)
        if entry is None:
            if len(self._entries) >= MAX_HOSTS:
                del self._entries[next(iter(self._entries))]
            self._entries[host] = RefusedHost(failure, now + FIRST_RECHECK_DELAY)
            return True
        changed, entry.failure = entry.failure.reason is not failure.reason, failure
        return changed

    def record_failed_recheck(self, host: str, now: timedelta) -> None:
        """Delay the next check of a host that is still not acceptable."""
        entry = self._entries.get(host)
        if entry is not None:
            entry.failed_checks += 1
            entry.next_check_at = now + min(FIRST_RECHECK_DELAY * 2 ** min(entry.failed_checks, 10), MAX_RECHECK_DELAY)

    def remove(self, host: str) -> RefusedHost | None:
        """Remove a host that is acceptable again or no longer exists, and return its entry if it had one."""
        return self._entries.pop(host, None)

    def failure(self, host: str) -> VerificationFailure | None:
        """Return why a host is refused, or None if it is not."""
        entry = self._entries.get(host)
        return None if entry is None else entry.failure

    def due(self, now: timedelta) -> list[str]:
        """Return the hosts whose next check is due."""
        return [host for host, entry in self._entries.items() if entry.next_check_at <= now]

    def time_to_recheck(self, now: timedelta) -> timedelta | None:
        """Return the time until the next check is due, or None if no host is refused."""
        return min((max(entry.next_check_at - now, timedelta(0)) for entry in self._entries.values()), default=None)

    def recheck_all(self, now: timedelta) -> None:
        """Make all checks due, because the trusted authorities changed and refused hosts may be acceptable now."""
        for entry in self._entries.values():
            entry.next_check_at, entry.failed_checks = now, 0

    def hosts(self) -> list[str]:
        """Return the names of all refused hosts."""
        return list(self._entries)
