"""State that one balancer keeps for each backend and each request. Records only: every decision is in rules.py."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from hashlib import blake2b
from itertools import takewhile

from vanegw import interface as api

_HASH_RANGE = 2**64
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 / golden ratio, odd: spreads neighbouring inputs over all bits


@dataclass(slots=True)
class BackendState:
    """What this balancer knows of one backend. Times are those of ``Balancer.handle``, in microseconds."""

    info: api.Backend
    load: float | None = None  # as last reported
    load_at_us: int = 0
    backlog_s: float = 0.0  # as last reported
    unreported_placements_us: list[int] = field(default_factory=list)  # times of own placements not yet in a report
    masked_until_us: float = -math.inf
    consecutive_failures: int = 0  # counted up to rules.MAX_CONSECUTIVE_FAILURES
    last_failure_was_timeout: bool = False
    message_delay_s: float = 0.0  # as last noted or reported
    message_delay_at_us: int = 0
    last_shed_at_us: float = -math.inf  # when connections were last moved away because of its load
    probe_sent_at_us: int | None = None  # None while no probe is outstanding
    connections: dict[str, None] = field(default_factory=dict)  # request ids of own open connections, in order
    name_hash: int = field(init=False)  # the same in every process

    def __post_init__(self) -> None:
        self.name_hash = int.from_bytes(blake2b(self.info.name.encode(), digest_size=8).digest(), "big")

    def discard_placements_until(self, time_us: int) -> None:
        """Forget the unreported placements that were made at or before this time."""
        self.unreported_placements_us = [at_us for at_us in self.unreported_placements_us if at_us > time_us]


@dataclass(slots=True)
class TrackedRequest:
    """A request that has not been answered yet, or an open connection."""

    request: api.Request
    request_class: api.RequestClass
    deadline_us: int
    sample: list[str] = field(default_factory=list)  # names of the backends among which it is placed
    full_samples: int = 0  # samples found full: the first, one with new reports, one of backends that fail but answer
    may_use_cold: bool = True  # whether it may go to a backend that is still warming up
    attempted: list[str] = field(default_factory=list)  # names of the backends tried, one for each attempt
    attempt_pending: bool = False
    attempt_started_at_us: int = 0  # when the latest attempt was chosen, before anything was sent
    attempt_backend: api.Backend | None = None  # its backend, as it was listed then
    first_run_backend: api.Backend | None = None  # the first backend on which the request may have run
    started_at_us: int = 0  # when it may first have run, or when its connection opened
    is_open: bool = False
    load: float = 0.0  # of its connection, in microseconds of work a second; 0: not reported yet


class LastSeenTimes(dict[str | int, int]):
    """Maps each key to the time at which it was last seen, ordered by that time."""

    def record(self, key: str | int, time_us: int) -> None:
        """Set the key's time, which must not be earlier than any time recorded so far."""
        self.pop(key, None)
        self[key] = time_us

    def discard_until(self, time_us: float) -> None:
        """Remove every key last seen at or before this time."""
        for key in list(takewhile(lambda key: self[key] <= time_us, self)):
            del self[key]


def rendezvous_hash(backend: BackendState, group: int) -> float:
    """Hash a backend and a group to a number in (0, 1], evenly spread and the same in every process."""
    mixed = (backend.name_hash ^ group * _HASH_MULTIPLIER) * _HASH_MULTIPLIER % _HASH_RANGE
    mixed = (mixed ^ mixed >> 32) * _HASH_MULTIPLIER % _HASH_RANGE
    return (mixed + 1) / _HASH_RANGE
