"""What a trace amounts to: counts by class, tenant, host and hall, and spans as histograms; no I/O.

The totals are the daemon's own counters for the same run (``as_counters``), which a test shows. Memory: a histogram
for each class and host, and a small one for each window, whose number is bounded.
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
    corrected,
)

LONGEST_US = 3_600_000_000
QUANTILES = (50.0, 90.0, 99.0, 99.9)
OUTCOMES = ("served", "refused", "failed", "left")
BY = ("class", "tenant", "host", "hall")
MOST_WINDOWS = 2000  # each some 20 KB
MOST_GROUPS = 10_000  # of one dimension: a trace of a client that names a tenant a request must not fill the memory
OTHERS = "(others)"


@dataclass(slots=True)
class Spans:
    """Microseconds: ``digits`` significant ones are kept."""

    histogram: HdrHistogram

    @classmethod
    def empty(cls, digits: int = 3) -> Spans:
        return cls(HdrHistogram(1, LONGEST_US, digits))

    def add(self, us: int) -> None:
        self.histogram.record_value(min(max(us, 1), LONGEST_US))

    def quantiles(self) -> dict[str, int]:
        if not self.histogram.get_total_count():
            return {}
        return {f"p{q:g}": int(self.histogram.get_value_at_percentile(q)) for q in QUANTILES}


@dataclass(slots=True)
class Group:
    """One class, tenant, host, hall or window. ``attempts`` and ``retries`` are upstream requests; ``placed``:
    connections that stood."""

    counts: Counter[str] = field(default_factory=Counter)
    up: Spans | None = None
    digits: int = 3

    def outcome(self, record: Answer) -> None:
        self.counts[record.outcome] += 1
        self.counts["answers"] += 1
        self.counts["tries"] += record.attempts
        if record.outcome == "served":
            if self.up is None:
                self.up = Spans.empty(self.digits)
            self.up.add(record.took_us)

    def row(self) -> dict[str, Any]:
        out: dict[str, Any] = {name: self.counts[name] for name in ("requests", *OUTCOMES)}
        out["attempts"] = self.counts["attempts"]
        out["retries"] = self.counts["retries"]
        answers = self.counts["answers"]
        out["attempts_per_request"] = round(self.counts["tries"] / answers, 3) if answers else None
        out["placed"] = self.counts["placed"]
        out["moved"] = self.counts["moved"]
        out["cut"] = self.counts["ended_cut"]
        if self.up is not None:
            out.update({f"up_{name}_us": us for name, us in self.up.quantiles().items()})
        return out


@dataclass(slots=True)
class Summary:
    """Fed with records in any order. ``window_us``: 0 for no windows."""

    window_us: int = 0
    halls: dict[str, str] = field(default_factory=dict)  # by instance
    total: Group = field(default_factory=Group)
    groups: dict[str, dict[str, Group]] = field(default_factory=lambda: {name: {} for name in BY})
    windows: dict[int, Group] = field(default_factory=dict)
    kinds: Counter[str] = field(default_factory=Counter)
    moves: Counter[str] = field(default_factory=Counter)  # by reason
    ends: Counter[str] = field(default_factory=Counter)  # by status, those of moved connections apart
    statuses: Counter[str] = field(default_factory=Counter)  # of upstream requests
    lost: Counter[str] = field(default_factory=Counter)
    resumed: int = 0
    first: int | None = None
    last: int | None = None

    def add_all(self, rows: Iterable[Record]) -> None:
        for row in rows:
            self.add(row)

    def add(self, record: Record) -> None:
        at = corrected(record)
        self.first = at if self.first is None else min(self.first, at)
        self.last = at if self.last is None else max(self.last, at)
        self.kinds[type(record).__name__] += 1
        if isinstance(record, Answer):
            for group in self._of(at, record, cls=record.cls, tenant=record.tenant, host=record.host):
                group.outcome(record)
        elif isinstance(record, Request):
            for group in self._of(at, record, cls=record.cls, tenant=record.tenant):
                group.counts["requests"] += 1
            self.resumed += record.bound_to is not None
        elif isinstance(record, Attempt):
            self.statuses[record.status] += 1
            for group in self._of(at, record, host=record.host):
                group.counts["attempts"] += 1
                group.counts["retries"] += record.number > 0
        elif isinstance(record, Stand):
            self._count(at, record, "placed", record.host)
        elif isinstance(record, Moved):
            self.moves[record.reason] += 1
            self._count(at, record, "moved", record.host)
        elif isinstance(record, Ended):
            self.ends["moved" if record.moved else record.status] += 1
            if not record.moved:
                self._count(at, record, f"ended_{record.status}", record.host)
        elif isinstance(record, Started):
            self.halls[record.src] = record.hall
        elif isinstance(record, Lost):
            self.lost[record.why] += record.count

    def _count(self, at: int, record: Record, what: str, host: str) -> None:
        for group in self._of(at, record, host=host):
            group.counts[what] += 1

    def _of(
        self, at: int, record: Record, cls: str | None = None, tenant: str | None = None, host: str | None = None
    ) -> list[Group]:
        """All the groups that a record belongs to."""
        found = [self.total]
        named = {"class": cls, "tenant": tenant, "host": host, "hall": self.halls.get(record.src, record.src or "-")}
        for dimension, name in named.items():
            if name is not None:
                known = self.groups[dimension]
                if name not in known and len(known) >= MOST_GROUPS:
                    name = OTHERS
                found.append(known.setdefault(name, Group(digits=2 if dimension in ("tenant", "host") else 3)))
        if self.window_us:
            start = at // self.window_us * self.window_us
            if start not in self.windows and len(self.windows) >= MOST_WINDOWS:
                raise TraceError(f"more than {MOST_WINDOWS} windows: choose wider ones")
            found.append(self.windows.setdefault(start, Group(digits=2)))
        return found

    def as_counters(self) -> dict[str, int]:
        """Under the names of the daemon's counters, for the same run and no sampling."""
        made = {
            "requests": self.kinds["Request"],
            "resumed": self.resumed,
            "answered_served": self.total.counts["served"],
            "answered_refused": self.total.counts["refused"],
            "answered_failed": self.total.counts["failed"],
            "downstream_left": self.total.counts["left"],
            "moved": self.ends["moved"],
            **{f"ended_{status}": count for status, count in self.ends.items() if status != "moved"},
        }
        return {name: count for name, count in made.items() if count}

    def as_json(self) -> dict[str, Any]:
        return {
            "from_us": self.first,
            "to_us": self.last,
            "total": self.total.row(),
            **{f"by_{name}": {key: group.row() for key, group in sorted(self.groups[name].items())} for name in BY},
            "windows": [{"from_us": at, **group.row()} for at, group in sorted(self.windows.items())],
            "upstream": dict(sorted(self.statuses.items())),
            "moves": dict(sorted(self.moves.items())),
            "ends": dict(sorted(self.ends.items())),
            "lost": dict(sorted(self.lost.items())),
            "counters": self.as_counters(),
        }

    def rows(self) -> list[dict[str, Any]]:
        """One flat row for each group, for CSV."""
        out = [{"by": "total", "name": "", **self.total.row()}]
        for name in BY:
            out += [{"by": name, "name": key, **group.row()} for key, group in sorted(self.groups[name].items())]
        return out + [{"by": "window", "name": str(at), **group.row()} for at, group in sorted(self.windows.items())]


# The difference between two.

CHANCE = 3.0  # standard errors beyond which a difference is hardly chance


def z_of(one: int, of_one: int, other: int, of_other: int) -> float | None:
    """Standard errors between two shares (the pooled two-proportion test); None where there is nothing to test."""
    if not of_one or not of_other:
        return None
    pooled = (one + other) / (of_one + of_other)
    if pooled in (0.0, 1.0):
        return 0.0
    return (other / of_other - one / of_one) / math.sqrt(pooled * (1 - pooled) * (1 / of_one + 1 / of_other))


def differences(one: Summary, other: Summary) -> list[dict[str, Any]]:
    """By class the shares of the outcomes and the time to up, by host its share of all placements."""
    out: list[dict[str, Any]] = []
    for name in sorted({*one.groups["class"], *other.groups["class"]}):
        a, b = (s.groups["class"].get(name, Group()) for s in (one, other))
        for what in OUTCOMES:
            out.append(
                _share("class", name, what, a.counts[what], a.counts["answers"], b.counts[what], b.counts["answers"])
            )
        for what in ("p50", "p99"):
            values = [g.up.quantiles().get(what) if g.up else None for g in (a, b)]
            out.append(
                {
                    "by": "class",
                    "name": name,
                    "what": f"up_{what}_us",
                    "a": values[0],
                    "b": values[1],
                    "z": None,
                    "beyond_chance": None,
                }
            )
    placed = [sum(g.counts["placed"] for g in s.groups["host"].values()) for s in (one, other)]
    for name in sorted({*one.groups["host"], *other.groups["host"]}):
        a, b = (s.groups["host"].get(name, Group()) for s in (one, other))
        out.append(_share("host", name, "placed", a.counts["placed"], placed[0], b.counts["placed"], placed[1]))
        for what in ("ended_cut", "moved"):
            if a.counts[what] or b.counts[what]:
                out.append(
                    _share("host", name, what, a.counts[what], a.counts["placed"], b.counts[what], b.counts["placed"])
                )
    return out


def _share(by: str, name: str, what: str, a: int, of_a: int, b: int, of_b: int) -> dict[str, Any]:
    z = z_of(a, of_a, b, of_b)
    return {
        "by": by,
        "name": name,
        "what": what,
        "a": round(a / of_a, 4) if of_a else None,
        "b": round(b / of_b, 4) if of_b else None,
        "z": None if z is None else round(z, 1),
        "beyond_chance": None if z is None else abs(z) > CHANCE,
    }
