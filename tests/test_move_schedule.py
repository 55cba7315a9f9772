"""The schedule of moves, on a simulated clock."""

from __future__ import annotations

from datetime import timedelta
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from bramblestile.operations.move_schedule import MoveSchedule

MS = timedelta(milliseconds=1)


def test_moves_are_spread_evenly_over_the_period() -> None:
    schedule, remaining = MoveSchedule(100 * MS, 1100 * MS), list(range(50))
    counts = []
    for time_ms in range(0, 1101, 20):
        for connection in schedule.due(time_ms * MS, list(remaining)):
            remaining.remove(connection)
        counts.append(len(remaining))
    assert counts[5] == 50 and 23 <= counts[30] <= 27 and counts[-1] == 0
    assert max(a - b for a, b in pairwise(counts)) <= 2  # no burst, not even at the end


@given(st.lists(st.integers(0, 400), min_size=1, max_size=40), st.lists(st.integers(0, 1500), max_size=60))
def test_all_remaining_connections_are_due_at_the_end(established_ms: list[int], polled_ms: list[int]) -> None:
    schedule, moved = MoveSchedule(100 * MS, 1000 * MS), set[int]()
    for time_ms in sorted([*polled_ms, 1000]):
        remaining = [n for n, since_ms in enumerate(established_ms) if since_ms <= time_ms and n not in moved]
        due = schedule.due(time_ms * MS, remaining)
        assert set(due) <= set(remaining) and (time_ms >= 100 or not due)
        moved.update(due)
    assert len(moved) == len(established_ms)
