"""What one balancer remembers of a backend and of a request. Records only: every decision is in rules.py."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from hashlib import blake2b
from itertools import takewhile

from vanegw import interface as api

_TAGS = 2**64
_SPREAD = 0x9E3779B97F4A7C15  # an odd multiplier whose bits are well spread


@dataclass(slots=True)
class Known:
    """What this balancer knows of one backend."""

    info: api.Backend
    load: float | None = None
    load_at: int = 0
    backlog_s: float = 0.0
    placed: list[int] = field(default_factory=list)  # when own placements were made that no report shows yet
    warmed: list[int] = field(default_factory=list)  # when this balancer sent to it while it was cold, of late
    suspect_until: float = -math.inf
    strikes: int = 0
    mute: bool = False  # at its last failure it said nothing
    delay_s: float = 0.0  # seconds that a message took there at the last note
    delay_at: int = 0
    relieved_at: float = -math.inf  # when connections were last moved off it for its load
    probed_at: int | None = None  # when the probe that is out was sent
    open: dict[str, None] = field(default_factory=dict)  # own connections, in order
    tag: int = field(init=False)  # a number made from the name, the same at every balancer

    def __post_init__(self) -> None:
        self.tag = int.from_bytes(blake2b(self.info.name.encode(), digest_size=8).digest(), "big")


@dataclass(slots=True)
class Flight:
    """A request that is owed its one answer, or a connection that stands."""

    request: api.Request
    cls: api.RequestClass
    deadline: int
    sample: list[str] = field(default_factory=list)
    looks: int = 0  # samples that were full: the first, one of new figures, those that fail but answer
    tried: list[str] = field(default_factory=list)
    out: bool = False  # an attempt is out
    ran_on: api.Backend | None = None  # the first backend on which it may have run
    ran_at: int = 0
    stands: bool = False
    load: float = 0.0  # what its connection costs, in microseconds of work a second; 0: not told yet


class Lately(dict[str | int, int]):
    """Who came when, in the order of time, each once and by the latest time."""

    def add(self, who: str | int, at: int) -> None:
        self.pop(who, None)
        self[who] = at

    def forget(self, until: float) -> None:
        """Those who came by then."""
        for who in list(takewhile(lambda one: self[one] <= until, self)):
            del self[who]


def closeness(known: Known, group: int) -> float:
    """A number in (0, 1] that every balancer finds alike for a backend and a group, and that looks random."""
    mixed = (known.tag ^ group * _SPREAD) * _SPREAD % _TAGS
    mixed = (mixed ^ mixed >> 32) * _SPREAD % _TAGS
    return (mixed + 1) / _TAGS
