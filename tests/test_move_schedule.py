"""Whom to move when, on a scripted clock."""

from __future__ import annotations

from datetime import timedelta
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from bramblestile.operations.move_schedule import MoveSchedule

MS = timedelta(milliseconds=1)


def test_the_standing_are_spread_evenly_over_the_time_there_is() -> None:
    plan, standing = MoveSchedule(100 * MS, 1100 * MS), list(range(50))
    left = []
    for at in range(0, 1101, 20):
        for one in plan.due(at * MS, list(standing)):
            standing.remove(one)
        left.append(len(standing))
    assert left[5] == 50 and 23 <= left[30] <= 27 and left[-1] == 0
    assert max(a - b for a, b in pairwise(left)) <= 2  # no rush, not even at the end


@given(st.lists(st.integers(0, 400), min_size=1, max_size=40), st.lists(st.integers(0, 1500), max_size=60))
def test_whoever_stands_at_the_end_is_due_however_late_it_came(came: list[int], looks: list[int]) -> None:
    plan, gone = MoveSchedule(100 * MS, 1000 * MS), set[int]()
    for at in sorted([*looks, 1000]):
        here = [n for n, since in enumerate(came) if since <= at and n not in gone]
        due = plan.due(at * MS, here)
        assert set(due) <= set(here) and (at >= 100 or not due)
        gone.update(due)
    assert len(gone) == len(came)
