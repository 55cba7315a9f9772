"""Estimation of the offset and drift between two clocks, from events that two traces share; no I/O.

The model is ``there - here = offset + drift * (t - middle)``. An event that both traces recorded is a link:

- *drain*: a change of a host's state. Both instances receive it some milliseconds late, each with its own delay.
- *death*: a host died and cut its connections to both. The only delay is that of the network.
- *report*: a host's report that is unique in both traces: it was probed twice within one state of its load.
- *return*: a client that one instance moved and that came to the other. It arrives later by the time that the client
  takes to come back, so one direction bounds the offset from one side; with both, the middle is used, as in NTP.

The fit is iteratively reweighted least squares with Tukey's biweight, so that wrongly matched links get no weight, with
a prior on the drift of 100 parts in a million: two links a second apart must not yield a drift of a tenth.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import TypeVar

from bramblestile.trace.records import Ended, Listed, Moved, Probed, Record, Request, corrected_time

MAX_OFFSET_US = 5_000_000  # beyond this, a drain could be matched with a later one of the same host
DRIFT_PRIOR = 100e-6  # standard deviation; commodity quartz oscillators are within this
TUKEY_CONSTANT = 4.685  # 95% efficiency for normally distributed residuals (Beaton and Tukey, 1974)
MIN_SPREAD_US = 50.0  # the scheduling jitter of a thread; a smaller spread of residuals is not trusted
MAX_EVENTS = 50_000  # per trace; the same limit applies to open requests and to reports
DEATH_WINDOW_US = 200_000  # cuts of one host within this time are one death
MAX_RETURN_DELAY_US = 10_000_000  # a client that comes later does not come because of the move
MIN_LINKS = 3  # to do without reports, and to estimate the spread of a kind of link
MAX_ITERATIONS = 30
OFFSET_TOLERANCE_US = 0.5
DRIFT_TOLERANCE = 1e-9
NORMAL_MAD = 1.4826  # standard deviation of a normal distribution over its median absolute deviation
Z_95 = 1.96  # half width of a 95% interval, in standard deviations
TWO_SIDED = ("death", "drain", "report")
TYPICAL_US = {"death": 2_000.0, "drain": 10_000.0, "report": 100_000.0}  # spread where too few links show theirs


K = TypeVar("K")


@dataclass(slots=True)
class ClockEvents:
    """The events of one trace that can link its clock to another one. Times are corrected, in microseconds."""

    drains: dict[tuple[str, str], list[int]] = field(default_factory=dict)
    deaths: dict[str, list[int]] = field(default_factory=dict)
    reports: dict[tuple[object, ...], int] = field(default_factory=dict)  # -1: not unique
    moved: dict[str, list[int]] = field(default_factory=dict)  # by the client's key
    returned: dict[str, list[int]] = field(default_factory=dict)
    _keys: dict[str, str] = field(default_factory=dict)  # the keys of open requests
    _states: dict[str, str] = field(default_factory=dict)
    _events: int = 0

    def add(self, record: Record) -> None:
        """Add the event of a record, if it is one."""
        at = corrected_time(record)
        if isinstance(record, Listed):
            self._add_host_list(record, at)
        elif isinstance(record, Request):
            if record.key is not None:
                if len(self._keys) < MAX_EVENTS:
                    self._keys[record.id] = record.key
                if record.is_return:
                    self._remember(self.returned, record.key, at)
        elif isinstance(record, Moved):
            key = self._keys.get(record.id)
            if key is not None:
                self._remember(self.moved, key, at)
        elif isinstance(record, Ended):
            self._keys.pop(record.id, None)
            if record.status == "cut":
                times = self.deaths.get(record.host)
                if not times or at - times[-1] > DEATH_WINDOW_US:
                    self._remember(self.deaths, record.host, at)
        elif isinstance(record, Probed) and record.load is not None and len(self.reports) < MAX_EVENTS:
            report = (record.host, record.load, record.queue, record.inflight, record.backlog_s, record.latency_ms)
            self.reports[report] = -1 if report in self.reports else at

    def _add_host_list(self, record: Listed, at: int) -> None:
        for host in record.hosts:
            # Only a change of state is a link; lists also repeat the current state.
            if self._states.get(host.host, "running") != host.state and host.state != "running":
                self._remember(self.drains, (host.host, host.state), at)
            self._states[host.host] = host.state

    def _remember(self, events: dict[K, list[int]], key: K, at: int) -> None:
        """Store an event, up to the limit: traces of any length are read."""
        if self._events < MAX_EVENTS:
            self._events += 1
            events.setdefault(key, []).append(at)


@dataclass(slots=True, frozen=True)
class Link:
    """An event that both traces recorded, at ``here`` and ``there`` by their own clocks."""

    kind: str
    here: int
    there: int

    @property
    def difference_us(self) -> int:
        """The difference of the clocks, as this event shows it."""
        return self.there - self.here


@dataclass(slots=True, frozen=True)
class Estimate:
    """The estimated offset of another clock.

    ``offset_us`` is there minus here at ``middle_us``, with a 95% interval of plus or minus ``error_us``; ``drift`` is
    in seconds per second. ``link_counts`` holds the number of links used, by kind. ``method`` is "links", "returns"
    (clients that came back in both directions), or "nothing": then the offset is 0 and ``error_us`` infinite, and
    ``note`` may state a one-sided bound.
    """

    offset_us: float
    error_us: float
    drift: float
    drift_error: float
    middle_us: int
    link_counts: dict[str, int]
    method: str
    note: str = ""

    def correction_us(self, there: int) -> int:
        """Return what to add to a time of the other clock to get a time of this one."""
        return -round(self.offset_us + self.drift * (there - self.middle_us))


REFERENCE = Estimate(0.0, 0.0, 0.0, 0.0, 0, {}, "same clock")


def match_links(here: ClockEvents, there: ClockEvents) -> list[Link]:
    """Return all plausible two-sided links.

    Events are matched with the nearest one in time, each at most once, and not beyond MAX_OFFSET_US.
    """
    links: list[Link] = []
    for change in here.drains.keys() & there.drains.keys():
        links += _match_nearest("drain", here.drains[change], there.drains[change])
    for host in here.deaths.keys() & there.deaths.keys():
        links += _match_nearest("death", here.deaths[host], there.deaths[host])
    for report in here.reports.keys() & there.reports.keys():
        here_us, there_us = here.reports[report], there.reports[report]
        if here_us >= 0 and there_us >= 0 and abs(there_us - here_us) <= MAX_OFFSET_US:
            links.append(Link("report", here_us, there_us))
    return links


def _match_nearest(kind: str, here: list[int], there: list[int]) -> list[Link]:
    """Match events that are each other's nearest neighbour, to keep apart two drains of one host."""
    here, there = sorted(here), sorted(there)
    links = []
    for event in here:
        nearest = _nearest(there, event)
        if abs(nearest - event) <= MAX_OFFSET_US and _nearest(here, nearest) == event:
            links.append(Link(kind, event, nearest))
    return links


def _nearest(times: list[int], time: int) -> int:
    index = bisect_left(times, time)
    return min(times[max(0, index - 1) : index + 1], key=lambda other_time: abs(other_time - time))


def match_returns(origin: ClockEvents, destination: ClockEvents) -> list[Link]:
    """Return clients that ``origin`` moved and that came to ``destination``, with both times."""
    links = []
    for key, times in origin.moved.items():
        return_times = sorted(destination.returned.get(key, ()))
        for moved_us in times:
            index = bisect_left(return_times, moved_us - MAX_OFFSET_US)
            if index < len(return_times) and return_times[index] - moved_us <= MAX_RETURN_DELAY_US:
                links.append(Link("return", moved_us, return_times[index]))
    return links


def estimate_offset(here: ClockEvents, there: ClockEvents) -> Estimate:
    """Estimate the offset of the clock of ``there`` against that of ``here``."""
    matched = match_links(here, there)
    precise = [link for link in matched if link.kind != "report"]
    # Reports are many but imprecise: use them only without enough better links.
    links = precise if len(precise) >= MIN_LINKS else matched
    fitted = _fit(links) if len(links) >= 2 else None
    if fitted is not None:
        return fitted
    outbound, inbound = match_returns(here, there), match_returns(there, here)
    if outbound and inbound:
        return _estimate_from_returns(outbound, inbound)
    if links:
        link = links[0]
        return Estimate(
            link.difference_us,
            2 * TYPICAL_US[link.kind],
            0.0,
            DRIFT_PRIOR,
            link.here,
            {link.kind: 1},
            "links",
            "one event only: its own delay is in the offset",
        )
    if outbound or inbound:
        smallest = min(link.difference_us for link in outbound or inbound)
        side = "less" if outbound else "more"
        bound = smallest if outbound else -smallest
        return Estimate(
            0.0,
            math.inf,
            0.0,
            DRIFT_PRIOR,
            0,
            {"return": len(outbound or inbound)},
            "nothing",
            f"clients came back one way only: the offset is {side} than {bound / 1000:.1f} ms",
        )
    return Estimate(0.0, math.inf, 0.0, DRIFT_PRIOR, 0, {}, "nothing", "nothing links these two traces")


def _robust_spread(residuals: list[float]) -> float:
    """Return the standard deviation, estimated from the median absolute deviation.

    It tolerates a third of wrong links.
    """
    return max(NORMAL_MAD * median(map(abs, residuals)), MIN_SPREAD_US)


def _initial_offset(links: list[Link]) -> float:
    """Return the median of the closest half of the differences: those of wrong matches are scattered."""
    differences = sorted(link.difference_us for link in links)
    half_count = len(differences) // 2 + 1
    first = min(
        range(len(differences) - half_count + 1), key=lambda n: differences[n + half_count - 1] - differences[n]
    )
    return median(differences[first : first + half_count])


def _fit(links: list[Link]) -> Estimate | None:
    """Fit offset and drift to the links; None if they all got weight 0."""
    middle_us = round(median(link.here for link in links))
    offset, drift = _initial_offset(links), 0.0
    weights: list[float] = []
    spread: dict[str, float] = {}
    for _ in range(MAX_ITERATIONS):
        residuals = [link.difference_us - offset - drift * (link.there - middle_us) for link in links]
        by_kind: dict[str, list[float]] = defaultdict(list)
        for link, residual in zip(links, residuals, strict=True):
            by_kind[link.kind].append(residual)
        spread = {
            kind: _robust_spread(values) if len(values) >= MIN_LINKS else TYPICAL_US[kind]
            for kind, values in by_kind.items()
        }
        weights = []
        for link, residual in zip(links, residuals, strict=True):
            scaled = residual / (TUKEY_CONSTANT * spread[link.kind])
            weights.append((1 - scaled * scaled) ** 2 / spread[link.kind] ** 2 if abs(scaled) < 1 else 0.0)
        total = sum(weights)
        if total == 0:
            return None
        solution = _solve_normal_equations(links, weights, middle_us)
        converged = abs(solution[0] - offset) < OFFSET_TOLERANCE_US and abs(solution[1] - drift) < DRIFT_TOLERANCE
        offset, drift = solution
        if converged:
            break
    used_links = [link for link, weight in zip(links, weights, strict=True) if weight > 0]
    var_offset, var_drift = _variances(links, weights, middle_us)
    kinds: dict[str, int] = {}
    for link in used_links:
        kinds[link.kind] = kinds.get(link.kind, 0) + 1
    note = "" if len(used_links) * 2 > len(links) else "most links disagree with this"
    return Estimate(
        offset, Z_95 * math.sqrt(var_offset), drift, Z_95 * math.sqrt(var_drift), middle_us, kinds, "links", note
    )


def _weighted_sums(links: list[Link], weights: list[float], middle_us: int) -> tuple[float, float, float, float, float]:
    """Return the sums of the normal equations, including the prior on the drift."""
    s = st = stt = sy = sty = 0.0
    for link, w in zip(links, weights, strict=True):
        t = float(link.there - middle_us)
        s += w
        st += w * t
        stt += w * t * t
        sy += w * link.difference_us
        sty += w * t * link.difference_us
    return s, st, stt + 1 / DRIFT_PRIOR**2, sy, sty


def _solve_normal_equations(links: list[Link], weights: list[float], middle_us: int) -> tuple[float, float]:
    """Return offset and drift."""
    s, st, stt, sy, sty = _weighted_sums(links, weights, middle_us)
    det = s * stt - st * st
    return (stt * sy - st * sty) / det, (s * sty - st * sy) / det


def _variances(links: list[Link], weights: list[float], middle_us: int) -> tuple[float, float]:
    """Return the variances of offset and drift."""
    s, st, stt, _, _ = _weighted_sums(links, weights, middle_us)
    det = s * stt - st * st
    return stt / det, s / det


def _estimate_from_returns(outbound: list[Link], inbound: list[Link]) -> Estimate:
    """Estimate the offset as half the difference of the shortest delays of both directions."""
    outbound_us, inbound_us = min(link.difference_us for link in outbound), min(link.difference_us for link in inbound)
    middle_us = round(median(link.here for link in outbound))
    clients = min(len(outbound), len(inbound))
    # Apart from the offset, both delays are positive, so half their sum bounds the error whatever the clients do. With
    # many clients the shortest delays of both directions are similar, and the error decreases as their number grows.
    bound = max(0.0, (outbound_us + inbound_us) / 2)
    return Estimate(
        (outbound_us - inbound_us) / 2,
        bound,
        0.0,
        DRIFT_PRIOR,
        middle_us,
        {"return": len(outbound) + len(inbound)},
        "returns",
        f"by {clients} clients or more that came back each way; the bound holds whatever they do",
    )


def spanning_tree(estimates: dict[tuple[int, int], Estimate], count: int) -> list[tuple[Estimate, int]]:
    """Connect each trace to the first one through the most precise estimates (Prim's algorithm).

    Returns an ``(estimate, parent)`` for each trace. The first trace, and those without a link to it, are their own
    parent.
    """
    tree: list[tuple[Estimate, int] | None] = [None] * count
    tree[0] = (REFERENCE, 0)
    while True:
        best: tuple[float, int, int] | None = None
        for (first, second), candidate in estimates.items():
            for parent, child in ((first, second), (second, first)):
                if (
                    tree[parent] is not None
                    and tree[child] is None
                    and math.isfinite(candidate.error_us)
                    and (best is None or candidate.error_us < best[0])
                ):
                    best = (candidate.error_us, parent, child)
        if best is None:
            break
        _, parent, child = best
        tree[child] = (_directed(estimates, parent, child), parent)
    unlinked = Estimate(0.0, math.inf, 0.0, DRIFT_PRIOR, 0, {}, "nothing", "nothing links it to the others")
    return [
        entry if entry is not None else (estimates.get((0, trace), unlinked), trace) for trace, entry in enumerate(tree)
    ]


def _directed(estimates: dict[tuple[int, int], Estimate], parent: int, child: int) -> Estimate:
    """Return the estimate of ``child`` against ``parent``, inverting it if needed."""
    direct = estimates.get((parent, child))
    if direct is not None:
        return direct
    reverse = estimates[child, parent]
    return Estimate(
        -reverse.offset_us,
        reverse.error_us,
        -reverse.drift,
        reverse.drift_error,
        reverse.middle_us,
        reverse.link_counts,
        reverse.method,
        reverse.note,
    )


def path_to_reference(tree: list[tuple[Estimate, int]], trace: int) -> Iterable[Estimate]:
    """Yield the estimates on the path from a trace to the first one."""
    while tree[trace][1] != trace:
        yield tree[trace][0]
        trace = tree[trace][1]
