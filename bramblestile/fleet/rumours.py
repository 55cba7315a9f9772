"""What is still to be passed on: each piece of news a bounded number of times, the least often told first."""

from __future__ import annotations

import math
from collections.abc import Hashable

from bramblestile.fleet.messages import Entry, Fact, State, encoded

MULTIPLE = 3  # times log2 of the fleet's size is how often each member passes a piece of news on (SWIM, 4.1)
MOST = 4096  # pieces of news at once; the most often told goes. Digests make up for it
SMALLEST = 16  # bytes of a piece of news at least: with less room left nobody looks for one that fits


def key_of(item: Fact | Entry) -> Hashable:
    """Newer news of the same thing takes the older's place. Each accuser's word goes its own way, as they are counted;
    one that has been contradicted meanwhile is older than what its hearers know, and ends with them."""
    if isinstance(item, Entry):
        return item.owner, item.key
    return item.name, item.by if item.state in (State.SUSPECT, State.DEAD) else None, "fact"


class Rumours:
    def __init__(self) -> None:
        self._levels: list[dict[Hashable, tuple[Fact | Entry, int]]] = [{}]  # by how often told: each with its bytes
        self._at: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._at)

    def add(self, item: Fact | Entry) -> None:
        key = key_of(item)
        self._drop(key)
        self._put(key, 0, (item, len(encoded(item)) + 1))
        if len(self._at) > MOST:
            self._drop(next(iter(next(level for level in reversed(self._levels) if level))))

    def pick(self, room: int, members: int) -> list[Fact | Entry]:
        """As many as go into ``room`` bytes, counted as told once more."""
        times = MULTIPLE * max(1, math.ceil(math.log2(members + 1)))
        found = []
        for level in self._levels:
            for key, (item, size) in level.items():
                if room < SMALLEST:
                    break
                if size <= room:
                    room -= size
                    found.append((key, item))
        for key, _ in found:
            told = self._at[key] + 1
            held = self._drop(key)
            if held is not None and told < times:
                self._put(key, told, held)
        return [item for _, item in found]

    def _put(self, key: Hashable, told: int, held: tuple[Fact | Entry, int]) -> None:
        while len(self._levels) <= told:
            self._levels.append({})
        self._levels[told][key] = held
        self._at[key] = told

    def _drop(self, key: Hashable) -> tuple[Fact | Entry, int] | None:
        told = self._at.pop(key, None)
        return None if told is None else self._levels[told].pop(key)
