"""Merging several traces into one, in the order of a common clock.

The first pass collects the events that link the clocks. The second one goes through the blocks of all files in the
order of their corrected start times, and holds only the blocks that it has reached: memory is bounded by how far the
files overlap.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from bramblestile.trace.clocks import ClockEvents, Estimate, estimate_offset, path_to_reference, spanning_tree
from bramblestile.trace.files import BlockLocation, Reader
from bramblestile.trace.records import Record, corrected_time

BLOCK_START_MARGIN_US = 1000  # ample: over a block, drift shifts a record by far less than a microsecond
Progress = Callable[[Iterator[Record], str], Iterator[Record]]


@dataclass(slots=True, frozen=True)
class MergeInput:
    """One input file of a merge.

    ``corrections`` lead from its clock to the common one; they are empty for the first file and for one without links.
    """

    reader: Reader
    name: str
    corrections: tuple[Estimate, ...]
    estimate: Estimate
    compared_with: str  # the name of the file that its clock was compared with

    def shift_us(self, at: int) -> int:
        """Return what to add to a time of this file."""
        moved = at
        for step in self.corrections:
            moved += step.correction_us(moved)
        return moved - at

    def clock_entry(self) -> dict[str, Any]:
        """Return how this file's clock was corrected, as an entry of the merged file's description.

        ``by`` is the method of the estimate, ``against`` the file whose clock this one was compared with, and ``links``
        the number of events used that both files hold, by kind.
        """
        estimate = self.estimate
        return {
            "file": self.name,
            "by": estimate.method,
            "against": self.compared_with,
            "offset_us": round(estimate.offset_us),
            "within_us": None if estimate.error_us == float("inf") else round(estimate.error_us),
            "drift_ppm": round(estimate.drift * 1e6, 2),
            "links": estimate.link_counts,
            "note": estimate.note,
        }


def _clock_of(reader: Reader, file_index: int) -> str:
    """Return the name of a file's clock: files of one instance share it, a file without an instance has its own."""
    name = reader.description.get("instance")
    return f"i{name}" if isinstance(name, str) and name else f"#{file_index}"


def align(readers: Sequence[Reader], progress: Progress) -> list[MergeInput]:
    """Make the first pass: find the corrections of each file's clock to that of the first file."""
    clocks: dict[str, ClockEvents] = {}
    first_with_clock: dict[str, int] = {}
    names = [reader.path.name for reader in readers]
    for index, reader in enumerate(readers):
        clock = _clock_of(reader, index)
        first_with_clock.setdefault(clock, index)
        events = clocks.setdefault(clock, ClockEvents())
        for record in progress(reader.read(), f"{names[index]}: collecting clock links"):
            events.add(record)
        reader.clear_damage_and_unknown_fields()
    clock_names = list(clocks)
    estimates = {
        (a, b): estimate_offset(clocks[clock_names[a]], clocks[clock_names[b]])
        for a in range(len(clock_names))
        for b in range(a + 1, len(clock_names))
    }
    tree = spanning_tree(estimates, len(clock_names))
    inputs = []
    for index, reader in enumerate(readers):
        clock_index = clock_names.index(_clock_of(reader, index))
        estimate, parent = tree[clock_index]
        inputs.append(
            MergeInput(
                reader,
                names[index],
                tuple(path_to_reference(tree, clock_index)),
                estimate,
                names[first_with_clock[clock_names[parent]]],
            )
        )
    return inputs


def merge_records(inputs: Sequence[MergeInput]) -> Iterator[Record]:
    """Yield all records by corrected time, ties in the order of the files.

    This is the second pass over the files; ``align`` makes the first, which finds the clock corrections.
    """
    queue: list[tuple[int, int, int, BlockLocation]] = []
    for index, source in enumerate(inputs):
        for block_index, location in enumerate(source.reader.block_locations()):
            queue.append(
                (
                    location.frame.first_us + source.shift_us(location.frame.first_us) - BLOCK_START_MARGIN_US,
                    index,
                    block_index,
                    location,
                )
            )
    queue.sort(key=lambda entry: entry[:3])
    heap: list[tuple[int, int, int, Record]] = []
    sequence = 0
    for earliest_us, index, _, location in queue:
        while heap and heap[0][0] < earliest_us:
            yield heapq.heappop(heap)[3]
        source = inputs[index]
        for record in source.reader.read_block(location):
            shift = source.shift_us(corrected_time(record))
            record.adj += shift
            sequence += 1
            heapq.heappush(heap, (corrected_time(record), index, sequence, record))
    while heap:
        yield heapq.heappop(heap)[3]
