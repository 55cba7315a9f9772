"""Summaries of traces: counts and latency histograms by class, tenant, host, hall and time window; no I/O.

For a trace without sampling, the totals equal the daemon's own counters for the same run (``as_counters``); a test
checks this. The memory is bounded: one histogram per class and host, and a small one per window, whose number is
limited.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from bramblestile.trace.frames import TraceError
from bramblestile.trace.records import (
    Answer,
    Attempt,
    Ended,
    Lost,
    Moved,
    Record,
    Request,
    Stand,
    Started,
    corrected_time,
)

MAX_LATENCY_US = 3_600_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
OUTCOMES = ("served", "refused", "failed", "left")
DIMENSIONS = ("class", "tenant", "host", "hall")
MAX_WINDOWS = 2000  # each takes about 20 KB
MAX_GROUPS = 10_000  # per dimension: a client that sends a new tenant with each request must not exhaust the memory
OVERFLOW_GROUP = "(others)"


@dataclass(slots=True)
class LatencyHistogram:
    """A histogram of durations in microseconds, with ``digits`` significant digits."""

    histogram: HdrHistogram

    @classmethod
    def empty(cls, digits: int = 3) -> LatencyHistogram:
        """Create an empty histogram."""
        return cls(HdrHistogram(1, MAX_LATENCY_US, digits))

    def add(self, us: int) -> None:
        """Add a duration, clamped to the range of the histogram."""
        self.histogram.record_value(min(max(us, 1), MAX_LATENCY_US))

    def percentiles(self) -> dict[str, int]:
        """Return PERCENTILES by name, such as p50; empty if there are no values."""
        if not self.histogram.get_total_count():
            return {}
        return {
            f"p{percentile:g}": int(self.histogram.get_value_at_percentile(percentile)) for percentile in PERCENTILES
        }


@dataclass(slots=True)
class Group:
    """The figures of one class, tenant, host, hall or window.

    ``attempts`` and ``retries`` count upstream requests, ``placed`` established connections. ``time_to_up`` is the time
    from the arrival of a request to its answer "served".
    """

    counts: Counter[str] = field(default_factory=Counter)
    time_to_up: LatencyHistogram | None = None
    digits: int = 3

    def add_answer(self, record: Answer) -> None:
        """Count a final answer."""
        self.counts[record.outcome] += 1
        self.counts["answers"] += 1
        self.counts["tries"] += record.attempts
        if record.outcome == "served":
            if self.time_to_up is None:
                self.time_to_up = LatencyHistogram.empty(self.digits)
            self.time_to_up.add(record.took_us)

    def as_row(self) -> dict[str, Any]:
        """Return the figures as a flat row."""
        row: dict[str, Any] = {name: self.counts[name] for name in ("requests", *OUTCOMES)}
        row["attempts"] = self.counts["attempts"]
        row["retries"] = self.counts["retries"]
        answers = self.counts["answers"]
        row["attempts_per_request"] = round(self.counts["tries"] / answers, 3) if answers else None
        row["placed"] = self.counts["placed"]
        row["moved"] = self.counts["moved"]
        row["cut"] = self.counts["ended_cut"]
        if self.time_to_up is not None:
            row.update({f"up_{name}_us": us for name, us in self.time_to_up.percentiles().items()})
        return row


@dataclass(slots=True)
class Summary:
    """Sums up records, in any order. ``window_us`` is the length of a window, 0 for none."""

    window_us: int = 0
    halls: dict[str, str] = field(default_factory=dict)  # by instance
    total: Group = field(default_factory=Group)
    groups: dict[str, dict[str, Group]] = field(default_factory=lambda: {name: {} for name in DIMENSIONS})
    windows: dict[int, Group] = field(default_factory=dict)
    kinds: Counter[str] = field(default_factory=Counter)
    moves: Counter[str] = field(default_factory=Counter)  # by reason
    ends: Counter[str] = field(default_factory=Counter)  # by status; moved connections are counted as "moved"
    statuses: Counter[str] = field(default_factory=Counter)  # of upstream requests
    lost: Counter[str] = field(default_factory=Counter)
    resumed: int = 0
    first: int | None = None  # corrected time in microseconds
    last: int | None = None

    def add_all(self, records: Iterable[Record]) -> None:
        """Add records."""
        for record in records:
            self.add(record)

    def add(self, record: Record) -> None:
        """Add one record."""
        at = corrected_time(record)
        self.first = at if self.first is None else min(self.first, at)
        self.last = at if self.last is None else max(self.last, at)
        self.kinds[type(record).__name__] += 1
        if isinstance(record, Answer):
            for group in self._groups_for(at, record, cls=record.cls, tenant=record.tenant, host=record.host):
                group.add_answer(record)
        elif isinstance(record, Request):
            for group in self._groups_for(at, record, cls=record.cls, tenant=record.tenant):
                group.counts["requests"] += 1
            self.resumed += record.bound_to is not None
        elif isinstance(record, Attempt):
            self.statuses[record.status] += 1
            for group in self._groups_for(at, record, host=record.host):
                group.counts["attempts"] += 1
                group.counts["retries"] += record.number > 0
        elif isinstance(record, Stand):
            self._increment(at, record, "placed", record.host)
        elif isinstance(record, Moved):
            self.moves[record.reason] += 1
            self._increment(at, record, "moved", record.host)
        elif isinstance(record, Ended):
            self.ends["moved" if record.moved else record.status] += 1
            if not record.moved:
                self._increment(at, record, f"ended_{record.status}", record.host)
        elif isinstance(record, Started):
            self.halls[record.src] = record.hall
        elif isinstance(record, Lost):
            self.lost[record.why] += record.count

    def _increment(self, at: int, record: Record, counter: str, host: str) -> None:
        for group in self._groups_for(at, record, host=host):
            group.counts[counter] += 1

    def _groups_for(
        self, at: int, record: Record, cls: str | None = None, tenant: str | None = None, host: str | None = None
    ) -> list[Group]:
        """Return all groups that a record belongs to.

        Raises:
            TraceError: there are more than MAX_WINDOWS windows.
        """
        groups = [self.total]
        names = {"class": cls, "tenant": tenant, "host": host, "hall": self.halls.get(record.src, record.src or "-")}
        for dimension, name in names.items():
            if name is not None:
                existing = self.groups[dimension]
                if name not in existing and len(existing) >= MAX_GROUPS:
                    name = OVERFLOW_GROUP
                groups.append(existing.setdefault(name, Group(digits=2 if dimension in ("tenant", "host") else 3)))
        if self.window_us:
            start = at // self.window_us * self.window_us
            if start not in self.windows and len(self.windows) >= MAX_WINDOWS:
                raise TraceError(f"more than {MAX_WINDOWS} windows: choose a longer window")
            groups.append(self.windows.setdefault(start, Group(digits=2)))
        return groups

    def as_counters(self) -> dict[str, int]:
        """Return the totals under the names of the daemon's counters, without zeros."""
        counters = {
            "requests": self.kinds["Request"],
            "resumed": self.resumed,
            "answered_served": self.total.counts["served"],
            "answered_refused": self.total.counts["refused"],
            "answered_failed": self.total.counts["failed"],
            "downstream_left": self.total.counts["left"],
            "moved": self.ends["moved"],
            **{f"ended_{status}": count for status, count in self.ends.items() if status != "moved"},
        }
        return {name: count for name, count in counters.items() if count}

    def as_json(self) -> dict[str, Any]:
        """Return everything, as the tool prints it in JSON."""
        return {
            "from_us": self.first,
            "to_us": self.last,
            "total": self.total.as_row(),
            **{
                f"by_{dimension}": {name: group.as_row() for name, group in sorted(self.groups[dimension].items())}
                for dimension in DIMENSIONS
            },
            "windows": [{"from_us": at, **group.as_row()} for at, group in sorted(self.windows.items())],
            "upstream": dict(sorted(self.statuses.items())),
            "moves": dict(sorted(self.moves.items())),
            "ends": dict(sorted(self.ends.items())),
            "lost": dict(sorted(self.lost.items())),
            "counters": self.as_counters(),
        }

    def as_rows(self) -> list[dict[str, Any]]:
        """Return one flat row per group, as the tool prints it in CSV and tables."""
        rows = [{"by": "total", "name": "", **self.total.as_row()}]
        for dimension in DIMENSIONS:
            rows += [
                {"by": dimension, "name": name, **group.as_row()}
                for name, group in sorted(self.groups[dimension].items())
            ]
        return rows + [
            {"by": "window", "name": str(at), **group.as_row()} for at, group in sorted(self.windows.items())
        ]


# Comparison of two summaries.

SIGNIFICANT_Z = 3.0  # in standard errors; a larger difference is hardly due to chance


def z_score(count_a: int, total_a: int, count_b: int, total_b: int) -> float | None:
    """Return the difference of two shares in standard errors (pooled two-proportion z-test).

    None if one of the totals is 0.
    """
    if not total_a or not total_b:
        return None
    pooled = (count_a + count_b) / (total_a + total_b)
    if pooled in (0.0, 1.0):
        return 0.0
    return (count_b / total_b - count_a / total_a) / math.sqrt(pooled * (1 - pooled) * (1 / total_a + 1 / total_b))


def compare(first: Summary, second: Summary) -> list[dict[str, Any]]:
    """Compare two summaries.

    By class: the shares of the outcomes and the time to up. By host: its share of all placements, and the shares of its
    connections that were cut or moved.
    """
    rows: list[dict[str, Any]] = []
    for name in sorted({*first.groups["class"], *second.groups["class"]}):
        a, b = (s.groups["class"].get(name, Group()) for s in (first, second))
        for measure in OUTCOMES:
            rows.append(
                _share_difference(
                    "class",
                    name,
                    measure,
                    a.counts[measure],
                    a.counts["answers"],
                    b.counts[measure],
                    b.counts["answers"],
                )
            )
        for measure in ("p50", "p99"):
            values = [g.time_to_up.percentiles().get(measure) if g.time_to_up else None for g in (a, b)]
            rows.append(
                {
                    "by": "class",
                    "name": name,
                    "what": f"up_{measure}_us",
                    "a": values[0],
                    "b": values[1],
                    "z": None,
                    "beyond_chance": None,
                }
            )
    placed = [sum(g.counts["placed"] for g in s.groups["host"].values()) for s in (first, second)]
    for name in sorted({*first.groups["host"], *second.groups["host"]}):
        a, b = (s.groups["host"].get(name, Group()) for s in (first, second))
        rows.append(
            _share_difference("host", name, "placed", a.counts["placed"], placed[0], b.counts["placed"], placed[1])
        )
        for measure in ("ended_cut", "moved"):
            if a.counts[measure] or b.counts[measure]:
                rows.append(
                    _share_difference(
                        "host",
                        name,
                        measure,
                        a.counts[measure],
                        a.counts["placed"],
                        b.counts[measure],
                        b.counts["placed"],
                    )
                )
    return rows


def _share_difference(
    dimension: str, name: str, measure: str, a: int, total_a: int, b: int, total_b: int
) -> dict[str, Any]:
    """Return one compared share (``a`` of ``total_a`` and ``b`` of ``total_b``) with its z-score."""
    z = z_score(a, total_a, b, total_b)
    return {
        "by": dimension,
        "name": name,
        "what": measure,
        "a": round(a / total_a, 4) if total_a else None,
        "b": round(b / total_b, 4) if total_b else None,
        "z": None if z is None else round(z, 1),
        "beyond_chance": None if z is None else abs(z) > SIGNIFICANT_Z,
    }
