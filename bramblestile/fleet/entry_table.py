"""The state entries that spread with the membership, each with an owner, a key, a version and an expiry."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from zlib import crc32

from bramblestile.clock import ZERO_DURATION
from bramblestile.fleet.messages import DIGEST_BUCKETS, Entry, bucket_of

MAX_OWNERS = 4096
MAX_KEYS_PER_OWNER = 16
MAX_TTL = timedelta(hours=1)
MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True)
class EntryTable:
    """The newest known entry of each owner and key.

    An entry expires after the time to live that it carried, counted from its receipt. Transit only delays the expiry,
    and no clocks are compared. An expired entry stays as a tombstone for the same time again, so that a delayed
    datagram does not restore it.
    """

    digest_words: list[int] = field(default_factory=lambda: [0] * DIGEST_BUCKETS)  # as in ``Membership``
    _entries: dict[str, dict[str, tuple[Entry, timedelta, timedelta]]] = field(default_factory=dict)

    def merge(self, entry: Entry, now: timedelta) -> bool:
        """Store an entry that is newer than the known one; return False if it is not, or if the table is full."""
        of_owner = self._entries.get(entry.owner, {})
        current = of_owner.get(entry.key)
        if current is not None and current[0].version >= entry.version:
            return False
        if (current is None and len(of_owner) >= MAX_KEYS_PER_OWNER) or (
            not of_owner and len(self._entries) >= MAX_OWNERS
        ):
            return False
        ttl = min(entry.ttl_ms * MILLISECOND, MAX_TTL)
        if current is not None:
            self._toggle_in_digest(current[0])
        self._toggle_in_digest(entry)
        self._entries.setdefault(entry.owner, of_owner)[entry.key] = entry, now + ttl, now + 2 * ttl
        return True

    def _toggle_in_digest(self, entry: Entry) -> None:
        """Add an entry to the digest, or remove it again.

        Expired entries count until their tombstone is dropped, which two members that compare digests do at about the
        same time.
        """
        self.digest_words[bucket_of(entry.owner)] ^= crc32(f"{entry.owner} {entry.key} {entry.version}".encode())

    def get(self, owner: str, key: str, now: timedelta) -> bytes | None:
        """Return the value, or None if there is no such entry or it has expired."""
        current = self._entries.get(owner, {}).get(key)
        return current[0].value if current is not None and current[1] > now else None

    def values_by_owner(self, key: str, now: timedelta) -> dict[str, bytes]:
        """Return the unexpired values of a key by their owner."""
        return {owner: value for owner in self._entries if (value := self.get(owner, key, now)) is not None}

    def live_entries(self, owner: str, now: timedelta) -> Iterator[Entry]:
        """Yield the unexpired entries of an owner with their remaining time to live."""
        for entry, expires_at, _ in self._entries.get(owner, {}).values():
            if expires_at > now:
                yield _with_ttl(entry, expires_at - now)

    def with_remaining_ttl(self, entry: Entry, now: timedelta) -> Entry | None:
        """Return the entry with its remaining time to live, or None if it was replaced or has expired."""
        current = self._entries.get(entry.owner, {}).get(entry.key)
        if current is None or current[0].version != entry.version or current[1] <= now:
            return None
        return _with_ttl(entry, current[1] - now)

    def expire(self, now: timedelta) -> None:
        """Drop the tombstones that are no longer needed."""
        for owner, of_owner in list(self._entries.items()):
            for key, (entry, _, tombstone_until) in list(of_owner.items()):
                if tombstone_until <= now:
                    self._toggle_in_digest(entry)
                    del of_owner[key]
            if not of_owner:
                del self._entries[owner]

    def remove_owner(self, owner: str) -> None:
        """Drop all entries of an owner, without tombstones."""
        for entry, _, _ in self._entries.pop(owner, {}).values():
            self._toggle_in_digest(entry)


def _with_ttl(entry: Entry, ttl: timedelta) -> Entry:
    return Entry(entry.owner, entry.key, entry.version, entry.value, max(ZERO_DURATION, ttl) // MILLISECOND)
