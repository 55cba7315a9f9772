"""TLS sessions that may be resumed. No I/O; the session objects are opaque.

A session belongs to the host's identity (its name, its start time and the name that its certificate must contain) and
to the trust store under which it was verified, so it is never resumed after one of them has changed. A TLS 1.3 session
is used once, because reuse lets an observer link connections (RFC 8446, C.4); a TLS 1.2 session is used until it
expires. The number of hosts, the number of sessions of each and their age are bounded.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from bramblestile.tls.verification import CertificateInfo

MAX_HOSTS = 4096
MAX_SESSION_AGE = timedelta(days=7)  # RFC 8446, 4.6.1, even if a server announces a longer lifetime


@dataclass(slots=True, frozen=True)
class SessionKey:
    """What a session belongs to. ``trust_number`` is the number of the trust store."""

    host: str
    started_at: timedelta | None
    name: str
    trust_number: int


@dataclass(slots=True, frozen=True)
class CachedSession:
    """A session and the chain that the host presented when it began.

    The chain is verified again at each resumption, because the host does not present one then.
    """

    session: Any
    chain: Sequence[CertificateInfo]
    expires_at: timedelta
    single_use: bool = True


class SessionCache:
    """The sessions of all hosts. Not thread-safe: the dialer holds a lock."""

    def __init__(self, sessions_per_host: int = 32, max_age: timedelta = timedelta(hours=1)) -> None:
        self.sessions_per_host = sessions_per_host
        self.max_age = max_age
        self._entries: dict[str, tuple[SessionKey, deque[CachedSession]]] = {}

    def acquire(self, key: SessionKey, now: timedelta) -> CachedSession | None:
        """Return the newest session that has not expired, since the host is least likely to reject that one.

        A single-use session is removed. If the host's sessions have another key, all of them are removed.
        """
        cached_key, sessions = self._entries.get(key.host, (key, None))
        if sessions is None:
            return None
        if cached_key != key:
            del self._entries[key.host]
            return None
        while sessions:
            cached = sessions.pop()
            if now < cached.expires_at:
                if not cached.single_use:
                    sessions.append(cached)
                return cached
            sessions.clear()  # the others are older still
        return None

    def store(
        self,
        key: SessionKey,
        session: Any,
        chain: Sequence[CertificateInfo],
        now: timedelta,
        lifetime: timedelta,
        single_use: bool = True,
    ) -> None:
        """Store a session unless its lifetime is over. If the host has too many sessions, its oldest one is removed."""
        time_to_live = min(lifetime, self.max_age, MAX_SESSION_AGE)
        if time_to_live <= timedelta(0) or self.sessions_per_host <= 0:
            return
        cached_key, sessions = self._entries.pop(key.host, (key, None))
        if sessions is None or cached_key != key:
            if len(self._entries) >= MAX_HOSTS:
                del self._entries[next(iter(self._entries))]
            sessions = deque()
        self._entries[key.host] = key, sessions
        if not single_use:
            sessions.clear()  # the newest session is enough for all connections
        elif len(sessions) >= self.sessions_per_host:
            sessions.popleft()
        sessions.append(CachedSession(session, chain, now + time_to_live, single_use))

    def remove_host(self, host: str) -> None:
        """Remove all sessions of a host."""
        self._entries.pop(host, None)

    def clear(self) -> None:
        """Remove all sessions."""
        self._entries.clear()

    def count(self, host: str) -> int:
        """Return the number of sessions of a host."""
        return len(self._entries.get(host, (None, ()))[1])
