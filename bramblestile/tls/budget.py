"""How many handshakes an upstream host is asked for; no I/O.

A full handshake costs the host milliseconds of a core (benchmarks/tls_cost.py), a resumed one a fifth or less. After a
restart all tickets are void, all connections that stood come back, and the host is cold: left to themselves they would
spend on signatures what little it has. So each host has a bucket of full handshakes, filled at a rate that falls with
its warmth and with the handshake times seen. What does not fit waits within bounds, or goes elsewhere; nothing queues.

Guarantees: over any span t a host is asked for at most burst + rate * t of cost; a host that has spent nothing for
1 / (rate * FLOOR) seconds always admits one, so that none is starved; memory is bounded by ``MOST_HOSTS``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta

MIN_RATE_FACTOR = 0.1  # of the configured rate: what the coldest and slowest host still gets
SLOW = 3.0  # a full handshake that takes so many times the host's least is a sign of a core that has none to spare
FALL, RISE = 0.7, 0.02  # of the rate, after a slow handshake and after each that was not: down fast, up slow, as TCP
LEAST_SLOW = timedelta(milliseconds=25)  # below this none is slow: our own threads' turns are in the time seen too
SMOOTH = 8  # handshakes over which the time is averaged: a single slow one may be our own fault
FALL_EVERY = timedelta(seconds=1)  # the rate falls once for one cause, not with each handshake that was under way
BASE_DRIFT = 1.01  # of the least seen, with each handshake: a host moved farther away must not seem slow for ever
MAX_HOSTS = 4096


@dataclass(slots=True, frozen=True)
class HandshakeRates:
    """``full_per_s``: full handshakes a second that a warm host bears, from all balancers together. ``resumed``: the
    cost of a resumed one, as a part of a full one's."""

    full_per_s: float = 40.0
    burst: float = 8.0
    resumed_cost: float = 0.2


@dataclass(slots=True)
class _Host:
    tokens: float
    at: timedelta
    factor: float = 1.0  # what the handshake times have left of the rate
    least: timedelta | None = None
    usual: timedelta = timedelta(0)  # averaged
    fell: timedelta | None = None


class HandshakeBudget:
    """Not for several threads at once: the dialer holds a lock."""

    def __init__(self, rates: HandshakeRates, balancers: int = 1) -> None:
        self.rates = rates
        self.balancers = max(1, balancers)
        self._hosts: dict[str, _Host] = {}

    def _host(self, name: str, now: timedelta) -> _Host:
        host = self._hosts.pop(name, None)
        if host is None:
            if len(self._hosts) >= MAX_HOSTS:
                del self._hosts[next(iter(self._hosts))]  # the one that nobody has asked for the longest
            host = _Host(self._burst(), now)
        self._hosts[name] = host
        return host

    def _burst(self) -> float:
        """Each balancer has its part; one whole handshake at least, or a small part would admit none ever."""
        return max(1.0, self.rates.burst / self.balancers)

    def rate(self, name: str, warmth: float, now: timedelta) -> float:
        """Full handshakes a second that this balancer may ask of the host."""
        part = max(MIN_RATE_FACTOR, min(1.0, warmth) * self._host(name, now).factor)
        return self.rates.full_per_s / self.balancers * part

    def reserve(
        self, name: str, resumes: bool, warmth: float, now: timedelta, most_wait: timedelta
    ) -> timedelta | None:
        """After what wait a handshake may begin; None: not within ``most_wait``, and nothing is taken."""
        host, rate = self._host(name, now), self.rate(name, warmth, now)
        passed = max(0.0, (now - host.at).total_seconds())
        # A cold host's burst is as small as its rate: it is the burst that would push it over.
        cap = max(1.0, self._burst() * max(MIN_RATE_FACTOR, min(1.0, warmth)))
        host.tokens, host.at = min(cap, host.tokens + passed * rate), now
        cost = self.rates.resumed_cost if resumes else 1.0
        short = cost - host.tokens
        wait = timedelta(microseconds=math.ceil(max(0.0, short) / rate * 1e6))
        if wait > most_wait:
            return None
        host.tokens -= cost  # below nothing: who comes next waits behind this one
        return wait

    def refund(self, name: str, resumes: bool, now: timedelta) -> None:
        """It was not made after all: nobody answered the dial."""
        host = self._host(name, now)
        host.tokens = min(self._burst(), host.tokens + (self.rates.resumed_cost if resumes else 1.0))

    def charge_full(self, name: str, now: timedelta) -> None:
        """A ticket was not taken, so the handshake that was paid as resumed was a full one."""
        self._host(name, now).tokens -= 1.0 - self.rates.resumed_cost

    def record_duration(self, name: str, took: timedelta, now: timedelta) -> None:
        """A full handshake's time, by which the rate learns what the host bears."""
        host = self._host(name, now)
        if host.least is None:
            host.usual = took
        if host.least is None or took < host.least:
            host.least = took
        host.usual += (took - host.usual) / SMOOTH
        if host.usual <= max(host.least * SLOW, LEAST_SLOW):
            host.factor = min(1.0, host.factor + RISE)
        elif host.fell is None or now - host.fell >= FALL_EVERY:
            host.factor, host.fell = max(MIN_RATE_FACTOR, host.factor * FALL), now
        host.least *= BASE_DRIFT

    def reset(self, name: str) -> None:
        """Another start of the host, or none: what was learned is void. Its bucket is full, as small as its warmth."""
        self._hosts.pop(name, None)
