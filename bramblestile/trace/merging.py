"""Several traces to one, on one clock and in its order, in memory bounded by how far the files overlap.

Two passes: the first gathers what links the clocks, the second sweeps over the blocks of all files by their corrected
times and holds only blocks that the sweep has reached.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from bramblestile.trace.clocks import Estimate, Seen, common, correction, estimate
from bramblestile.trace.files import Place, Reader
from bramblestile.trace.records import Record, corrected

Progress = Callable[[Iterator[Record], str], Iterator[Record]]


@dataclass(slots=True, frozen=True)
class Part:
    """One file of a merge. ``chain``: from its clock to the common one; empty for the first, and where nothing
    links it."""

    reader: Reader
    name: str
    chain: tuple[Estimate, ...]
    best: Estimate
    known_by: str  # the file that its clock was compared with

    def shift(self, at: int) -> int:
        """What to add to a time of this file."""
        moved = at
        for step in self.chain:
            moved += step.at(moved)
        return moved - at

    def told(self) -> dict[str, Any]:
        """For the description of the file that is made."""
        e = self.best
        return {
            "file": self.name,
            "by": e.by,
            "against": self.known_by,
            "offset_us": round(e.offset_us),
            "within_us": None if e.within_us == float("inf") else round(e.within_us),
            "drift_ppm": round(e.drift * 1e6, 2),
            "links": e.links,
            "note": e.note,
        }


def _clock_of(reader: Reader, number: int) -> str:
    """Files of one instance share a clock; a file that tells none has one of its own."""
    name = reader.description.get("instance")
    return f"i{name}" if isinstance(name, str) and name else f"#{number}"


def align(readers: Sequence[Reader], progress: Progress) -> list[Part]:
    """First pass: each file's way to the clock of the first."""
    clocks: dict[str, Seen] = {}
    first_of: dict[str, int] = {}
    names = [reader.path.name for reader in readers]
    for n, reader in enumerate(readers):
        clock = _clock_of(reader, n)
        first_of.setdefault(clock, n)
        seen = clocks.setdefault(clock, Seen())
        for record in progress(reader.read(), f"{names[n]}: looking for links"):
            seen.hear(record)
        reader.forget()
    order = list(clocks)
    known = {
        (a, b): estimate(clocks[order[a]], clocks[order[b]])
        for a in range(len(order))
        for b in range(a + 1, len(order))
    }
    chain = common(known, len(order))
    parts = []
    for n, reader in enumerate(readers):
        number = order.index(_clock_of(reader, n))
        best, parent = chain[number]
        parts.append(Part(reader, names[n], tuple(correction(chain, number)), best, names[first_of[order[parent]]]))
    return parts


def sweep(parts: Sequence[Part]) -> Iterator[Record]:
    """Second pass: all records in the order of their corrected times; ties in the order of the files."""
    places: list[tuple[int, int, int, Place]] = []
    for n, part in enumerate(parts):
        for m, place in enumerate(part.reader.places()):
            # A block's ends, corrected; drift over a block is far below a microsecond a record, so 1 ms is ample.
            places.append((place.frame.first + part.shift(place.frame.first) - 1000, n, m, place))
    places.sort(key=lambda p: p[:3])
    held: list[tuple[int, int, int, Record]] = []
    count = 0
    for start, n, _, place in places:
        while held and held[0][0] < start:
            yield heapq.heappop(held)[3]
        part = parts[n]
        for record in part.reader.block(place):
            moved = part.shift(corrected(record))
            record.adj += moved
            count += 1
            heapq.heappush(held, (corrected(record), n, count, record))
    while held:
        yield heapq.heappop(held)[3]
