"""Which session may be resumed with which host; no I/O, and the sessions are opaque.

A ticket is tied to the host's identity (its name, its start, the name that it must prove) and to the trust under which
it was verified: it never outlives a changed authority, server name or host. TLS 1.3's are used once (RFC 8446, C.4:
reuse lets an observer link connections), TLS 1.2's are given back while they last. Bounded in number for each host, in
hosts and in age.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from bramblestile.tls.verification import CertificateInfo

MAX_HOSTS = 4096
MOST_AGE = timedelta(days=7)  # RFC 8446, 4.6.1, whatever a server tells


@dataclass(slots=True, frozen=True)
class SessionKey:
    """Whose tickets these are. ``trust`` numbers the files read: each change of them is another."""

    host: str
    born: timedelta | None
    name: str
    trust: int


@dataclass(slots=True, frozen=True)
class CachedSession:
    """``chain`` is what was shown when the session began: resumed, nothing is shown, and it is judged again."""

    session: Any
    chain: Sequence[CertificateInfo]
    until: timedelta
    once: bool = True


class SessionCache:
    """Not for several threads at once: the dialer holds a lock."""

    def __init__(self, per_host: int = 32, age: timedelta = timedelta(hours=1)) -> None:
        self.per_host = per_host
        self.age = age
        self._held: dict[str, tuple[SessionKey, deque[CachedSession]]] = {}

    def take(self, key: SessionKey, now: timedelta) -> CachedSession | None:
        """The youngest that still holds: what is older is the likelier to be refused."""
        held_key, held = self._held.get(key.host, (key, None))
        if held is None:
            return None
        if held_key != key:
            del self._held[key.host]
            return None
        while held:
            ticket = held.pop()
            if now < ticket.until:
                if not ticket.once:
                    held.append(ticket)
                return ticket
            held.clear()  # the others are older still
        return None

    def put(
        self,
        key: SessionKey,
        session: Any,
        chain: Sequence[CertificateInfo],
        now: timedelta,
        lifetime: timedelta,
        once: bool = True,
    ) -> None:
        span = min(lifetime, self.age, MOST_AGE)
        if span <= timedelta(0) or self.per_host <= 0:
            return
        held_key, held = self._held.pop(key.host, (key, None))
        if held is None or held_key != key:
            if len(self._held) >= MAX_HOSTS:
                del self._held[next(iter(self._held))]
            held = deque()
        self._held[key.host] = key, held
        if not once:
            held.clear()  # the newest serves them all
        elif len(held) >= self.per_host:
            held.popleft()
        held.append(CachedSession(session, chain, now + span, once))

    def drop(self, host: str) -> None:
        self._held.pop(host, None)

    def clear(self) -> None:
        self._held.clear()

    def count(self, host: str) -> int:
        return len(self._held.get(host, (None, ()))[1])
