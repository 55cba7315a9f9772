"""Limits on the handshakes that an upstream host is asked for. No I/O.

A full handshake costs the host milliseconds of CPU time (benchmarks/tls_cost.py), a resumed one a fifth of it or less.
After a host restarts, all session tickets are void, all its connections are established again, and the host is cold:
without a limit, full handshakes would take the little capacity that it has. Each host therefore has a token bucket of
full handshakes. Its rate falls with the host's warmth and with the handshake times that are measured. A handshake that
does not fit waits for a bounded time or is made with another host; there is no queue.

Guarantees:

- In any period ``t``, a host is asked for at most ``burst + rate * t`` of handshake cost.
- A host that was asked for nothing for ``1 / (rate * MIN_RATE_FACTOR)`` seconds is always admitted a handshake, so no
  host is starved.
- Memory is bounded by ``MAX_HOSTS``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta

MIN_RATE_FACTOR = 0.1  # the share of the configured rate that even the coldest and slowest host gets
SLOW_RATIO = 3.0  # an average this many times the host's fastest full handshake indicates a host short of CPU time
# After a slow handshake the rate is multiplied by DECREASE_FACTOR, after any other RATE_INCREASE of the configured
# rate is added: multiplicative decrease and additive increase, as in TCP.
DECREASE_FACTOR, RATE_INCREASE = 0.7, 0.02
MIN_SLOW_DURATION = timedelta(milliseconds=25)  # measured times include delays of our own threads, so less is not slow
AVERAGING_WINDOW = 8  # handshakes; a single slow one may be caused by our own process
DECREASE_INTERVAL = timedelta(seconds=1)  # handshakes that were in progress together have one cause, and one decrease
BASELINE_GROWTH = 1.01  # per handshake, so that a host whose network path got longer does not look slow for ever
MAX_HOSTS = 4096


@dataclass(slots=True, frozen=True)
class HandshakeRates:
    """The limits for one host.

    ``full_per_s`` is the number of full handshakes per second that a warm host can serve for all balancers together,
    ``burst`` the size of the token bucket. ``resumed_cost`` is the cost of a resumed handshake relative to a full one.
    """

    full_per_s: float = 40.0
    burst: float = 8.0
    resumed_cost: float = 0.2


@dataclass(slots=True)
class _Host:
    tokens: float
    refilled_at: timedelta
    rate_factor: float = 1.0  # lowered by slow handshakes
    baseline: timedelta | None = None  # the fastest full handshake
    average: timedelta = timedelta(0)
    decreased_at: timedelta | None = None


class HandshakeBudget:
    """Token buckets of all hosts. Not thread-safe: the dialer holds a lock."""

    def __init__(self, rates: HandshakeRates, balancers: int = 1) -> None:
        self.rates = rates
        self.balancers = max(1, balancers)
        self._hosts: dict[str, _Host] = {}

    def _host(self, name: str, now: timedelta) -> _Host:
        host = self._hosts.pop(name, None)
        if host is None:
            if len(self._hosts) >= MAX_HOSTS:
                del self._hosts[next(iter(self._hosts))]  # the least recently used one
            host = _Host(self._burst(), now)
        self._hosts[name] = host
        return host

    def _burst(self) -> float:
        """Return this balancer's share of the burst, at least 1: a smaller bucket would never admit a handshake."""
        return max(1.0, self.rates.burst / self.balancers)

    def rate(self, name: str, warmth: float, now: timedelta) -> float:
        """Return the full handshakes per second that this balancer may ask of the host.

        ``warmth`` is the share of its capacity that the host has reached since its start.
        """
        factor = max(MIN_RATE_FACTOR, min(1.0, warmth) * self._host(name, now).rate_factor)
        return self.rates.full_per_s / self.balancers * factor

    def reserve(self, name: str, resumes: bool, warmth: float, now: timedelta, max_wait: timedelta) -> timedelta | None:
        """Reserve a handshake and return the time to wait before it may begin.

        Returns None, and reserves nothing, if that time would exceed ``max_wait``.
        """
        host, rate = self._host(name, now), self.rate(name, warmth, now)
        elapsed_s = max(0.0, (now - host.refilled_at).total_seconds())
        # The burst shrinks with the warmth as the rate does, since a full burst alone could overload a cold host.
        capacity = max(1.0, self._burst() * max(MIN_RATE_FACTOR, min(1.0, warmth)))
        host.tokens, host.refilled_at = min(capacity, host.tokens + elapsed_s * rate), now
        cost = self.rates.resumed_cost if resumes else 1.0
        deficit = cost - host.tokens
        wait = timedelta(microseconds=math.ceil(max(0.0, deficit) / rate * 1e6))
        if wait > max_wait:
            return None
        host.tokens -= cost  # may become negative: later reservations wait behind this one
        return wait

    def refund(self, name: str, resumes: bool, now: timedelta) -> None:
        """Return the tokens of a handshake that did not take place, because the connection failed."""
        host = self._host(name, now)
        host.tokens = min(self._burst(), host.tokens + (self.rates.resumed_cost if resumes else 1.0))

    def charge_full(self, name: str, now: timedelta) -> None:
        """Charge the rest of a full handshake, because the host did not accept the session that was offered."""
        self._host(name, now).tokens -= 1.0 - self.rates.resumed_cost

    def record_duration(self, name: str, duration: timedelta, now: timedelta) -> None:
        """Adjust the host's rate to the duration of a full handshake."""
        host = self._host(name, now)
        if host.baseline is None:
            host.average = duration
        if host.baseline is None or duration < host.baseline:
            host.baseline = duration
        host.average += (duration - host.average) / AVERAGING_WINDOW
        if host.average <= max(host.baseline * SLOW_RATIO, MIN_SLOW_DURATION):
            host.rate_factor = min(1.0, host.rate_factor + RATE_INCREASE)
        elif host.decreased_at is None or now - host.decreased_at >= DECREASE_INTERVAL:
            host.rate_factor, host.decreased_at = max(MIN_RATE_FACTOR, host.rate_factor * DECREASE_FACTOR), now
        host.baseline *= BASELINE_GROWTH

    def reset(self, name: str) -> None:
        """Discard the state of a host that restarted or disappeared.

        It begins again with a full bucket, whose size its warmth limits.
        """
        self._hosts.pop(name, None)
