"""The queue of updates to gossip: each is sent a bounded number of times, the least often sent ones first."""

from __future__ import annotations

import math
from collections.abc import Hashable

from bramblestile.fleet.messages import Entry, MemberRecord, State, to_msgpack

RETRANSMIT_MULTIPLIER = 3  # times log2 of the fleet's size: how often a member sends each update (SWIM, 4.1)
MAX_QUEUED = 4096  # updates; beyond it the most often sent one is dropped, and anti-entropy makes up for it
MIN_UPDATE_BYTES = 16  # no update is smaller, so with less space left none is looked for


def queue_key(update: MemberRecord | Entry) -> Hashable:
    """Return the key under which a newer update replaces an older one.

    Accusations are kept apart by accuser, as receivers count accusers. An accusation that was refuted meanwhile is
    older than what its receivers know, and they do not pass it on.
    """
    if isinstance(update, Entry):
        return update.owner, update.key
    return update.name, update.accuser if update.state in (State.SUSPECT, State.DEAD) else None, "fact"


class BroadcastQueue:
    """Updates that are still to be sent, by the number of times each was sent."""

    def __init__(self) -> None:
        # One level per number of transmits; each holds updates with their encoded size.
        self._levels: list[dict[Hashable, tuple[MemberRecord | Entry, int]]] = [{}]
        self._transmits: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._transmits)

    def add(self, update: MemberRecord | Entry) -> None:
        """Queue an update in place of an older one of the same key."""
        key = queue_key(update)
        self._remove(key)
        self._insert(key, 0, (update, len(to_msgpack(update)) + 1))
        if len(self._transmits) > MAX_QUEUED:
            self._remove(next(iter(next(level for level in reversed(self._levels) if level))))

    def next_batch(self, free_bytes: int, member_count: int) -> list[MemberRecord | Entry]:
        """Return as many updates as fit into ``free_bytes``, and count each as sent once more."""
        retransmit_limit = RETRANSMIT_MULTIPLIER * max(1, math.ceil(math.log2(member_count + 1)))
        batch = []
        for level in self._levels:
            for key, (update, size) in level.items():
                if free_bytes < MIN_UPDATE_BYTES:
                    break
                if size <= free_bytes:
                    free_bytes -= size
                    batch.append((key, update))
        for key, _ in batch:
            transmits = self._transmits[key] + 1
            queued = self._remove(key)
            if queued is not None and transmits < retransmit_limit:
                self._insert(key, transmits, queued)
        return [update for _, update in batch]

    def _insert(self, key: Hashable, transmits: int, queued: tuple[MemberRecord | Entry, int]) -> None:
        while len(self._levels) <= transmits:
            self._levels.append({})
        self._levels[transmits][key] = queued
        self._transmits[key] = transmits

    def _remove(self, key: Hashable) -> tuple[MemberRecord | Entry, int] | None:
        transmits = self._transmits.pop(key, None)
        return None if transmits is None else self._levels[transmits].pop(key)
