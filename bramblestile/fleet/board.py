"""The small state that spreads with the membership: entries, each with its owner, a version and an expiry."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from zlib import crc32

from bramblestile.clock import ZERO_DURATION
from bramblestile.fleet.messages import BUCKETS, Entry, bucket_of

MOST = 4096  # owners
MOST_OF_ONE = 16  # keys of one owner
LONGEST_LEFT = timedelta(hours=1)  # until an entry expires, at most
MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True)
class Board:
    """An entry holds until its expiry, counted from its hearing with what was left at its sending: on its way it is
    held up for as long as its datagrams are, and no clocks are compared. What expired is kept as a mark for as long
    again, so that a slow datagram does not bring it back."""

    words: list[int] = field(default_factory=lambda: [0] * BUCKETS)  # a digest, as ``members.Members`` has one
    _held: dict[str, dict[str, tuple[Entry, timedelta, timedelta]]] = field(default_factory=dict)

    def hear(self, entry: Entry, at: timedelta) -> bool:
        """True where it is news."""
        of_owner = self._held.get(entry.owner, {})
        known = of_owner.get(entry.key)
        if known is not None and known[0].version >= entry.version:
            return False
        if (known is None and len(of_owner) >= MOST_OF_ONE) or (not of_owner and len(self._held) >= MOST):
            return False
        left = min(entry.left_ms * MILLISECOND, LONGEST_LEFT)
        if known is not None:
            self._mark(known[0])
        self._mark(entry)
        self._held.setdefault(entry.owner, of_owner)[entry.key] = entry, at + left, at + 2 * left
        return True

    def _mark(self, entry: Entry) -> None:
        """Into the digest, or out of it again. What has expired stays in it until its mark is dropped: both sides of a
        comparison drop theirs at about one time."""
        self.words[bucket_of(entry.owner)] ^= crc32(f"{entry.owner} {entry.key} {entry.version}".encode())

    def get(self, owner: str, key: str, at: timedelta) -> bytes | None:
        known = self._held.get(owner, {}).get(key)
        return known[0].value if known is not None and known[1] > at else None

    def all(self, key: str, at: timedelta) -> dict[str, bytes]:
        """By owner."""
        return {owner: got for owner in self._held if (got := self.get(owner, key, at)) is not None}

    def to_send(self, owner: str, at: timedelta) -> Iterator[Entry]:
        """What holds, with what is left of it."""
        for entry, until, _ in self._held.get(owner, {}).values():
            if until > at:
                yield as_of(entry, until - at)

    def left(self, entry: Entry, at: timedelta) -> Entry | None:
        """The same with what is left of it now; None where a newer one holds, or none."""
        known = self._held.get(entry.owner, {}).get(entry.key)
        if known is None or known[0].version != entry.version or known[1] <= at:
            return None
        return as_of(entry, known[1] - at)

    def expire(self, at: timedelta) -> None:
        for owner, of_owner in list(self._held.items()):
            for key, (entry, _, mark_until) in list(of_owner.items()):
                if mark_until <= at:
                    self._mark(entry)
                    del of_owner[key]
            if not of_owner:
                del self._held[owner]

    def forget(self, owner: str) -> None:
        for entry, _, _ in self._held.pop(owner, {}).values():
            self._mark(entry)


def as_of(entry: Entry, left: timedelta) -> Entry:
    return Entry(entry.owner, entry.key, entry.version, entry.value, max(ZERO_DURATION, left) // MILLISECOND)
