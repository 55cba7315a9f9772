"""How far two clocks differ, from what two traces both saw; no I/O.

The model: ``there - here = offset + drift x (t - middle)``. Three kinds of links are used:

- *drain*: a host's change of state that both were told. Both hear it some milliseconds late, each in its own way.
- *death*: a host that died cut its connections at both. No delay but the network's.
- *report*: a host's report that is one of its kind in both traces: it was asked twice within one state of its load.
- *return*: a client that one moved and that came again at the other. It comes late by the time that it takes to
  come back, so one way bounds the offset from one side; with both ways the middle is taken, as NTP does.

Estimates are by iterated re-weighting (Tukey's biweight), so a link that was matched wrongly counts for nothing, with
a prior on the drift of 100 parts in a million: two links a second apart must not claim a drift of a tenth.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import TypeVar

from bramblestile.trace.records import Ended, Listed, Moved, Probed, Record, Request, corrected

FARTHEST_US = 5_000_000  # clocks farther apart are not estimated: a minute's drain would match another's
DRIFT_PRIOR = 100e-6  # quartz as it is sold keeps within this
TUKEY = 4.685  # 95% efficiency on a normal spread (Beaton and Tukey, 1974)
LEAST_SCALE_US = 50.0  # residuals are not believed to be smaller than the jitter of a thread
MOST_EVENTS = 50_000  # of one kind and trace that are remembered
ONE_DEATH_US = 200_000  # cuts of one host within this are one death
RETURN_WITHIN_US = 10_000_000  # a client that comes later comes of its own accord
TWO_SIDED = ("death", "drain", "report")
TYPICAL_US = {"death": 2_000.0, "drain": 10_000.0, "report": 100_000.0}  # spread, until the links tell theirs


K = TypeVar("K")


@dataclass(slots=True)
class Seen:
    """What one trace tells of its clock. Times are corrected ones, in microseconds."""

    drains: dict[tuple[str, str], list[int]] = field(default_factory=dict)
    deaths: dict[str, list[int]] = field(default_factory=dict)
    reports: dict[tuple[object, ...], int] = field(default_factory=dict)  # -1: more than one of this kind
    moved: dict[str, list[int]] = field(default_factory=dict)  # by the client's key
    returned: dict[str, list[int]] = field(default_factory=dict)
    _keys: dict[str, str] = field(default_factory=dict)  # the keys of open requests
    _states: dict[str, str] = field(default_factory=dict)
    _events: int = 0

    def hear(self, record: Record) -> None:
        at = corrected(record)
        if isinstance(record, Listed):
            self._listed(record, at)
        elif isinstance(record, Request):
            if record.key is not None:
                if len(self._keys) < MOST_EVENTS:
                    self._keys[record.id] = record.key
                if record.is_return:
                    self._add(self.returned, record.key, at)
        elif isinstance(record, Moved):
            key = self._keys.get(record.id)
            if key is not None:
                self._add(self.moved, key, at)
        elif isinstance(record, Ended):
            self._keys.pop(record.id, None)
            if record.status == "cut":
                times = self.deaths.get(record.host)
                if not times or at - times[-1] > ONE_DEATH_US:
                    self._add(self.deaths, record.host, at)
        elif isinstance(record, Probed) and record.load is not None and len(self.reports) < MOST_EVENTS:
            what = (record.host, record.load, record.queue, record.inflight, record.backlog_s, record.latency_ms)
            self.reports[what] = -1 if what in self.reports else at

    def _listed(self, record: Listed, at: int) -> None:
        for host in record.hosts:
            # A change is a link; a list that says again what was known is none.
            if self._states.get(host.host, "running") != host.state and host.state != "running":
                self._add(self.drains, (host.host, host.state), at)
            self._states[host.host] = host.state

    def _add(self, events: dict[K, list[int]], key: K, at: int) -> None:
        """Up to the bound: a trace of any length is looked through."""
        if self._events < MOST_EVENTS:
            self._events += 1
            events.setdefault(key, []).append(at)


@dataclass(slots=True, frozen=True)
class Link:
    """Both saw it: ``here`` and ``there`` by their own clocks."""

    kind: str
    here: int
    there: int

    @property
    def apart(self) -> int:
        return self.there - self.here


@dataclass(slots=True, frozen=True)
class Estimate:
    """``offset_us``: there minus here at ``middle_us``, with a 95% interval of plus or minus ``within_us``;
    ``drift``: seconds a second. ``links``: how many of each kind count. ``by``: "links", "returns" (the clients that
    came back, both ways), or "nothing": then the offset is 0 and ``within_us`` infinite, or a one-sided bound says
    what is known."""

    offset_us: float
    within_us: float
    drift: float
    drift_within: float
    middle_us: int
    links: dict[str, int]
    by: str
    note: str = ""

    def at(self, there: int) -> int:
        """What to add to a time of the other clock to have it by ours."""
        return -round(self.offset_us + self.drift * (there - self.middle_us))


SAME = Estimate(0.0, 0.0, 0.0, 0.0, 0, {}, "same clock")


def links(here: Seen, there: Seen) -> list[Link]:
    """All two-sided links that may be true: nearest in time, each event once, not farther than clocks may be."""
    found: list[Link] = []
    for what in here.drains.keys() & there.drains.keys():
        found += _pairs("drain", here.drains[what], there.drains[what])
    for host in here.deaths.keys() & there.deaths.keys():
        found += _pairs("death", here.deaths[host], there.deaths[host])
    for report in here.reports.keys() & there.reports.keys():
        one, other = here.reports[report], there.reports[report]
        if one >= 0 and other >= 0 and abs(other - one) <= FARTHEST_US:
            found.append(Link("report", one, other))
    return found


def _pairs(kind: str, here: list[int], there: list[int]) -> list[Link]:
    """Nearest neighbours both ways: of two drains of one host each belongs to its own."""
    here, there = sorted(here), sorted(there)
    found = []
    for one in here:
        other = _nearest(there, one)
        if abs(other - one) <= FARTHEST_US and _nearest(here, other) == one:
            found.append(Link(kind, one, other))
    return found


def _nearest(times: list[int], at: int) -> int:
    n = bisect_left(times, at)
    return min(times[max(0, n - 1) : n + 1], key=lambda t: abs(t - at))


def returns(left: Seen, came: Seen) -> list[Link]:
    """Clients that ``left`` moved and that next came at the other: how long after, by the two clocks."""
    found = []
    for key, times in left.moved.items():
        back = sorted(came.returned.get(key, ()))
        for at in times:
            n = bisect_left(back, at - FARTHEST_US)
            if n < len(back) and back[n] - at <= RETURN_WITHIN_US:
                found.append(Link("return", at, back[n]))
    return found


def estimate(here: Seen, there: Seen) -> Estimate:
    both = links(here, there)
    strong = [link for link in both if link.kind != "report"]
    # Reports are many and coarse: they decide only where nothing better links the two.
    used = strong if len(strong) >= 3 else both
    made = _fit(used) if len(used) >= 2 else None
    if made is not None:
        return made
    out, back = returns(here, there), returns(there, here)
    if out and back:
        return _from_returns(out, back)
    if used:
        link = used[0]
        return Estimate(
            link.apart,
            2 * TYPICAL_US[link.kind],
            0.0,
            DRIFT_PRIOR,
            link.here,
            {link.kind: 1},
            "links",
            "one event only: its own delay is in the offset",
        )
    if out or back:
        one = min(link.apart for link in out or back)
        side = "less" if out else "more"
        bound = one if out else -one
        return Estimate(
            0.0,
            math.inf,
            0.0,
            DRIFT_PRIOR,
            0,
            {"return": len(out or back)},
            "nothing",
            f"clients came back one way only: the offset is {side} than {bound / 1000:.1f} ms",
        )
    return Estimate(0.0, math.inf, 0.0, DRIFT_PRIOR, 0, {}, "nothing", "nothing links these two traces")


def _scale(residuals: list[float]) -> float:
    """The spread that a normal law would have, from the median: a third of wrong links does not move it."""
    return max(1.4826 * median(map(abs, residuals)), LEAST_SCALE_US)


def _start(used: list[Link]) -> float:
    """The middle of the half of the links that lie closest together: wrong matches lie anywhere."""
    apart = sorted(link.apart for link in used)
    half = len(apart) // 2 + 1
    first = min(range(len(apart) - half + 1), key=lambda n: apart[n + half - 1] - apart[n])
    return median(apart[first : first + half])


def _fit(used: list[Link]) -> Estimate | None:
    middle = round(median(link.here for link in used))
    offset, drift = _start(used), 0.0
    weights: list[float] = []
    spread: dict[str, float] = {}
    for _ in range(30):
        residuals = [link.apart - offset - drift * (link.there - middle) for link in used]
        by_kind: dict[str, list[float]] = defaultdict(list)
        for link, residual in zip(used, residuals, strict=True):
            by_kind[link.kind].append(residual)
        spread = {kind: _scale(all_) if len(all_) >= 3 else TYPICAL_US[kind] for kind, all_ in by_kind.items()}
        weights = []
        for link, residual in zip(used, residuals, strict=True):
            u = residual / (TUKEY * spread[link.kind])
            weights.append((1 - u * u) ** 2 / spread[link.kind] ** 2 if abs(u) < 1 else 0.0)
        total = sum(weights)
        if total == 0:
            return None
        solved = _solve(used, weights, middle)
        done = abs(solved[0] - offset) < 0.5 and abs(solved[1] - drift) < 1e-9
        offset, drift = solved
        if done:
            break
    counted = [link for link, weight in zip(used, weights, strict=True) if weight > 0]
    var_offset, var_drift = _variances(used, weights, middle)
    kinds: dict[str, int] = {}
    for link in counted:
        kinds[link.kind] = kinds.get(link.kind, 0) + 1
    note = "" if len(counted) * 2 > len(used) else "most links disagree with this"
    return Estimate(
        offset, 1.96 * math.sqrt(var_offset), drift, 1.96 * math.sqrt(var_drift), middle, kinds, "links", note
    )


def _sums(used: list[Link], weights: list[float], middle: int) -> tuple[float, float, float, float, float]:
    s = st = stt = sy = sty = 0.0
    for link, w in zip(used, weights, strict=True):
        t = float(link.there - middle)
        s += w
        st += w * t
        stt += w * t * t
        sy += w * link.apart
        sty += w * t * link.apart
    return s, st, stt + 1 / DRIFT_PRIOR**2, sy, sty


def _solve(used: list[Link], weights: list[float], middle: int) -> tuple[float, float]:
    s, st, stt, sy, sty = _sums(used, weights, middle)
    det = s * stt - st * st
    return (stt * sy - st * sty) / det, (s * sty - st * sy) / det


def _variances(used: list[Link], weights: list[float], middle: int) -> tuple[float, float]:
    s, st, stt, _, _ = _sums(used, weights, middle)
    det = s * stt - st * st
    return stt / det, s / det


def _from_returns(out: list[Link], back: list[Link]) -> Estimate:
    """The quickest of each way took about as long: half their difference is the offset."""
    there, here = min(link.apart for link in out), min(link.apart for link in back)
    middle = round(median(link.here for link in out))
    n = min(len(out), len(back))
    # Both ways are positive spans but for the offset, so half their sum bounds the error whatever the clients do;
    # with many of them the quickest are alike, and the error falls as their number grows.
    bound = max(0.0, (there + here) / 2)
    return Estimate(
        (there - here) / 2,
        bound,
        0.0,
        DRIFT_PRIOR,
        middle,
        {"return": len(out) + len(back)},
        "returns",
        f"by {n} clients or more that came back each way; the bound holds whatever they do",
    )


def common(estimates: dict[tuple[int, int], Estimate], count: int) -> list[tuple[Estimate, int]]:
    """Each trace's estimate against the one that it is best known by, from the first on (Prim's tree over the
    uncertainties): ``(estimate, parent)``. The first and those that nothing links have their own number as parent.
    """
    made: list[tuple[Estimate, int] | None] = [None] * count
    made[0] = (SAME, 0)
    while True:
        best: tuple[float, int, int] | None = None
        for (one, other), known in estimates.items():
            for parent, child in ((one, other), (other, one)):
                if (
                    made[parent] is not None
                    and made[child] is None
                    and math.isfinite(known.within_us)
                    and (best is None or known.within_us < best[0])
                ):
                    best = (known.within_us, parent, child)
        if best is None:
            break
        _, parent, child = best
        made[child] = (_towards(estimates, parent, child), parent)
    unlinked = Estimate(0.0, math.inf, 0.0, DRIFT_PRIOR, 0, {}, "nothing", "nothing links it to the others")
    return [m if m is not None else (estimates.get((0, n), unlinked), n) for n, m in enumerate(made)]


def _towards(estimates: dict[tuple[int, int], Estimate], parent: int, child: int) -> Estimate:
    known = estimates.get((parent, child))
    if known is not None:
        return known
    other = estimates[child, parent]
    return Estimate(
        -other.offset_us,
        other.within_us,
        -other.drift,
        other.drift_within,
        other.middle_us,
        other.links,
        other.by,
        other.note,
    )


def correction(chain: list[tuple[Estimate, int]], trace: int) -> Iterable[Estimate]:
    """The estimates from a trace up to the first one."""
    while chain[trace][1] != trace:
        yield chain[trace][0]
        trace = chain[trace][1]
