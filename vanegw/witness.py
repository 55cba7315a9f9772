"""The decisions, with a witness: the same draws and answers, and what the module believed when it gave them.

Nothing is computed a second time: the figures noted are those that the module's own steps returned, so a trace
tells what was decided by. While nobody watches, the cost is one look at a flag.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from vanegw import interface as api
from vanegw.interface import State
from vanegw.rules import TOP_WEIGHT, Balancer
from vanegw.state import Flight, Known

ATTEMPT, REFUSE, FAIL = "attempt", "refuse", "fail"
FIRST, AGAIN, RETURN, RETRY = "first", "again", "return", "retry"


class Belief(NamedTuple):  # a tuple: a frozen dataclass takes five times as long to make, for each candidate
    """What was known of one sampled host. ``weight``: from 1 to 256, as the draw had it, whole; None: not in the draw.
    ``believed``: the load that counted, to 0.01, None where the module did not ask for it. Times in microseconds."""

    host: str
    weight: float | None
    load: float | None
    load_at: int
    believed: float | None
    placed: int
    warmth: float
    masked: bool
    draining: bool
    asked: bool
    tried: bool


class View(NamedTuple):
    """One decision on one request. ``host`` and ``until_us`` (absolute) of an attempt, ``wait_us`` of a
    refusal."""

    id: str
    what: str
    why: str
    number: int
    host: str | None
    until_us: int | None
    wait_us: int | None
    average: float
    lateness: float
    beliefs: list[Any]  # made by ``Witness.belief``


def rounded(value: float, parts: int) -> float:
    """To whole ``parts`` of one; what is negative or huge stays as it is. ``round`` with digits goes by way of a text
    and takes five times as long."""
    return int(value * parts + 0.5) / parts if 0 <= value < 1e12 else value


class Witness(Balancer):
    """``views``: the decisions of the last event handled, while ``watching``. ``counted``: what is counted of them,
    always: requests sent to cold hosts, and those given up, by the reason."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.watching = False
        # Called with a Belief's fields in their order: who keeps them in a form of his own need not make them twice.
        self.belief: Callable[..., Any] = Belief
        self.views: list[View] = []
        self.counted: list[str] = []
        self._weights: dict[str, float] = {}
        self._loads: dict[str, float] = {}

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        self.views = []
        self.counted = []
        return super().handle(now_us, event)

    def _place(self, flight: Flight) -> None:
        if self.watching:
            self._weights.clear()
            self._loads.clear()
        super()._place(flight)

    def _weight(self, known: Known) -> float:
        weight = super()._weight(known)
        if self.watching:
            self._weights[known.info.name] = weight
        return weight

    def _load(self, known: Known) -> float:
        load = super()._load(known)
        if self.watching:
            self._loads[known.info.name] = load
        return load

    def _attempt(self, flight: Flight, name: str) -> None:
        beliefs = self._beliefs(flight) if self.watching else []
        if self._warmth(self.backends[name]) < 1:
            self.counted.append("upstream_cold")
        super()._attempt(flight, name)
        if self.watching:
            made = self.actions[-1]
            assert isinstance(made, api.Attempt)
            self._saw(flight, ATTEMPT, beliefs, name, made.until_us, None)

    def _settle(self, flight: Flight) -> None:
        beliefs = self._beliefs(flight) if self.watching else []
        self.counted.append(f"given_up_{self._reason(flight)}")
        super()._settle(flight)
        if self.watching:
            made = self.actions[-1]
            refused = isinstance(made, api.Refuse)
            self._saw(
                flight,
                REFUSE if refused else FAIL,
                beliefs,
                None,
                None,
                made.retry_after_us if isinstance(made, api.Refuse) else None,
            )

    def _reason(self, flight: Flight) -> str:
        """Why a request gets no (further) attempt, in a word for a counter."""
        if self.now >= flight.deadline:
            return "late"
        if flight.tried:
            return "attempts" if len(flight.tried) >= self.settings.try_limit else "after_attempts"
        if not flight.looks:
            return "held_back"  # its tenant is over its share, or all is late
        running = [k for k in self.backends.values() if k.info.state is State.RUNNING]
        if not running:
            return "no_host"
        return "cold" if not flight.warms and any(self._warmth(k) < 1 for k in running) else "full"

    def _saw(
        self, flight: Flight, what: str, beliefs: list[Any], host: str | None, until_us: int | None, wait_us: int | None
    ) -> None:
        tried = len(flight.tried) - (what == ATTEMPT)
        asked = flight.request
        why = RETRY if tried else RETURN if asked.is_return else AGAIN if asked.is_retry else FIRST
        self.views.append(
            View(asked.id, what, why, tried, host, until_us, wait_us, self.average, self.lateness, beliefs)
        )

    def _beliefs(self, flight: Flight) -> list[Any]:
        weights, loads, now, make, tried = self._weights, self._loads, self.now, self.belief, flight.tried
        scale = TOP_WEIGHT / (max(weights.values(), default=0.0) or 1.0)
        found = []
        for name in flight.sample:
            known = self.backends.get(name)
            if known is None:  # it left the list between the sample and the choice
                continue
            weight, believed, info = weights.get(name), loads.get(name), known.info
            found.append(
                make(
                    name,
                    None if weight is None else (int(weight * scale + 0.5) or 1) / 1,
                    known.load,
                    known.load_at,
                    None if believed is None else rounded(believed, 100),
                    len(known.placed),
                    1.0 if info.started_us is None else rounded(self._warmth(known), 100),
                    now < known.suspect_until,
                    info.state is not State.RUNNING,
                    known.probed_at is not None,
                    name in tried,
                )
            )
        return found
