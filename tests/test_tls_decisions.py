"""Unit tests of the modules of tls/ without I/O: budget, session cache, refused hosts and verification.

Times are arguments, so nothing waits.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from random import Random

import pytest

from bramblestile.tls import budget, refused_hosts
from bramblestile.tls.budget import HandshakeBudget, HandshakeRates
from bramblestile.tls.refused_hosts import RefusedHosts
from bramblestile.tls.session_cache import SessionCache, SessionKey
from bramblestile.tls.verification import (
    CertificateInfo,
    ExpectedName,
    FailureReason,
    NameKind,
    RevocationList,
    VerificationFailure,
    matches_name,
    next_expiry,
    parse_name,
    verify_chain,
)

S, MS = timedelta(seconds=1), timedelta(milliseconds=1)
ZERO = timedelta(0)
T0 = timedelta(days=1)


# Handshake budget.


def admitted_handshakes(
    handshakes: HandshakeBudget,
    seconds: int,
    warmth: Callable[[timedelta], float],
    resumed_share: float = 0.0,
    seed: int = 1,
    arrivals_per_s: int = 200,
    max_wait: timedelta = ZERO,
) -> list[tuple[timedelta, float]]:
    """Ask for more handshakes than the budget admits; return the start time and the cost of each admitted one."""
    rng, admitted, at = Random(seed), [], T0
    while at < T0 + seconds * S:
        at += timedelta(seconds=rng.expovariate(arrivals_per_s))
        resumes = rng.random() < resumed_share
        wait = handshakes.reserve("h", resumes, warmth(at), at, max_wait)
        if wait is not None:
            assert wait <= max_wait
            admitted.append((at + wait, handshakes.rates.resumed_cost if resumes else 1.0))
    return admitted


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("balancers", [1, 4])
def test_cost_in_any_period_is_bounded_by_burst_and_rate(seed: int, balancers: int) -> None:
    rates = HandshakeRates(full_per_s=40, burst=8, resumed_cost=0.2)
    handshakes = HandshakeBudget(rates, balancers)
    admitted = admitted_handshakes(handshakes, 5, lambda at: 1.0, 0.5, seed, max_wait=50 * MS)
    admitted.sort()
    for first in range(0, len(admitted), 7):
        total_cost = 0.0
        for started_at, cost in admitted[first:]:
            total_cost += cost
            period_s = (started_at - admitted[first][0]).total_seconds()
            assert total_cost <= max(1, 8 / balancers) + 40 / balancers * period_s + 1.0 + 1e-6, (first, period_s)
    assert sum(cost for _, cost in admitted) > 0.9 * 5 * 40 / balancers  # and the rate is used up


def test_cold_host_gets_a_reduced_rate_and_no_host_is_starved() -> None:
    handshakes = HandshakeBudget(HandshakeRates(full_per_s=40, burst=8))
    cold = admitted_handshakes(handshakes, 5, lambda at: 0.13)
    assert len(cold) <= 1 + 40 * 0.13 * 5 + 1
    handshakes = HandshakeBudget(HandshakeRates(full_per_s=40, burst=8))
    coldest = admitted_handshakes(handshakes, 10, lambda at: 0.0)
    assert 0.9 * 4 * 10 <= len(coldest) <= 4 * 10 + 2  # a tenth of the rate is always granted
    warming = HandshakeBudget(HandshakeRates(full_per_s=40, burst=8))
    admitted = admitted_handshakes(warming, 10, lambda at: min(1.0, (at - T0) / (10 * S)))
    in_first_half = sum(started_at < T0 + 5 * S for started_at, _ in admitted)
    assert in_first_half < len(admitted) / 3


def test_resumed_handshakes_are_admitted_where_full_ones_are_not() -> None:
    handshakes = HandshakeBudget(HandshakeRates(full_per_s=10, burst=2, resumed_cost=0.2))
    assert [handshakes.reserve("h", False, 1.0, T0, ZERO) for _ in range(3)] == [ZERO, ZERO, None]
    handshakes = HandshakeBudget(HandshakeRates(full_per_s=10, burst=2, resumed_cost=0.2))
    assert [handshakes.reserve("h", True, 1.0, T0, ZERO) for _ in range(11)] == [ZERO] * 10 + [None]


def test_reservations_wait_in_order_and_one_that_would_wait_too_long_takes_no_tokens() -> None:
    handshakes = HandshakeBudget(HandshakeRates(full_per_s=10, burst=1))
    waits = [handshakes.reserve("h", False, 1.0, T0, 250 * MS) for _ in range(5)]
    assert waits == [ZERO, 100 * MS, 200 * MS, None, None]
    assert handshakes.reserve("h", False, 1.0, T0 + 300 * MS, ZERO) == ZERO
    assert handshakes.reserve("other", False, 1.0, T0, ZERO) == ZERO


def test_failed_connection_is_refunded_and_rejected_session_is_charged_as_a_full_handshake() -> None:
    handshakes = HandshakeBudget(HandshakeRates(full_per_s=1, burst=1, resumed_cost=0.5))
    assert handshakes.reserve("h", False, 1.0, T0, ZERO) == ZERO
    handshakes.refund("h", False, T0)
    assert handshakes.reserve("h", True, 1.0, T0, ZERO) == ZERO
    handshakes.charge_full("h", T0)
    assert handshakes.reserve("h", True, 1.0, T0, ZERO) is None


def test_slow_handshakes_lower_the_rate_and_fast_ones_restore_it() -> None:
    handshakes = HandshakeBudget(HandshakeRates(full_per_s=100, burst=10))
    for _ in range(10):
        handshakes.record_duration("h", 4 * MS, T0)
    assert handshakes.rate("h", 1.0, T0) == 100
    handshakes.record_duration("h", 100 * MS, T0)
    assert handshakes.rate("h", 1.0, T0) == 100  # a single slow one has no effect
    for _ in range(20):
        handshakes.record_duration("h", 60 * MS, T0)
    assert handshakes.rate("h", 1.0, T0) == 70  # slow ones that were in progress together count once
    for n in range(1, 20):
        handshakes.record_duration("h", 60 * MS, T0 + n * S)
    assert handshakes.rate("h", 1.0, T0) == pytest.approx(100 * budget.MIN_RATE_FACTOR)
    for _ in range(80):
        handshakes.record_duration("h", 4 * MS, T0 + 60 * S)
    assert handshakes.rate("h", 1.0, T0) == 100
    handshakes.record_duration("near", MS / 10, T0)
    handshakes.record_duration("near", 4 * MS, T0)  # forty times the fastest one, but below MIN_SLOW_DURATION
    assert handshakes.rate("near", 1.0, T0) == 100


def test_host_with_a_longer_network_path_does_not_look_slow_for_ever() -> None:
    handshakes = HandshakeBudget(HandshakeRates(full_per_s=100))
    handshakes.record_duration("h", 4 * MS, T0)
    for _ in range(400):
        handshakes.record_duration("h", 30 * MS, T0)
    assert handshakes.rate("h", 1.0, T0) == 100


def test_number_of_budgeted_hosts_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(budget, "MAX_HOSTS", 10)
    handshakes = HandshakeBudget(HandshakeRates())
    for n in range(1000):
        handshakes.reserve(f"h{n}", False, 1.0, T0, ZERO)
    assert len(handshakes._hosts) == 10


# Session cache.

KEY = SessionKey("h", None, "h.test", 1)


def test_sessions_are_used_once_newest_first_and_expire() -> None:
    cache = SessionCache(sessions_per_host=3, max_age=10 * S)
    for n in range(5):
        cache.store(KEY, n, (), T0 + n * S, 8 * S)
    assert cache.count("h") == 3
    assert [t.session if (t := cache.acquire(KEY, T0 + 4 * S)) else None for _ in range(4)] == [4, 3, 2, None]
    cache.store(KEY, "expired", (), T0, 8 * S)
    cache.store(KEY, "older than max_age", (), T0, 100 * S)
    assert cache.acquire(KEY, T0 + 10 * S) is None and cache.count("h") == 0
    cache.store(KEY, "1.2", (), T0, 8 * S, single_use=False)
    assert all(cache.acquire(KEY, T0) for _ in range(9))  # TLS 1.2 sessions are reused
    cache.store(KEY, "no lifetime", (), T0, ZERO)
    assert cache.count("h") == 1


@pytest.mark.parametrize(
    "other",
    [SessionKey("h", S, "h.test", 1), SessionKey("h", None, "else.test", 1), SessionKey("h", None, "h.test", 2)],
)
def test_session_belongs_to_one_start_time_one_name_and_one_trust_store(other: SessionKey) -> None:
    cache = SessionCache()
    cache.store(KEY, 1, (), T0, S)
    assert cache.acquire(other, T0) is None
    assert cache.acquire(KEY, T0) is None  # the other key has removed the session
    cache.store(KEY, 1, (), T0, S)
    cache.store(other, 2, (), T0, S)
    assert cache.count("h") == 1 and cache.acquire(other, T0) is not None


# Refused hosts.


def test_recheck_interval_of_refused_host_grows_and_changed_files_cause_a_recheck_at_once() -> None:
    refused = RefusedHosts()
    expired, wrong_name = (
        VerificationFailure(FailureReason.EXPIRED, "x"),
        VerificationFailure(FailureReason.WRONG_NAME, "y"),
    )
    assert refused.add("h", expired, T0) and not refused.add("h", expired, T0) and refused.add("h", wrong_name, T0)
    checks_s, at = [], T0
    for _ in range(1000):
        at += 100 * MS
        for host in refused.due(at):
            checks_s.append((at - T0) / S)
            refused.record_failed_recheck(host, at)
    assert checks_s[:5] == [1, 3, 7, 15, 30] and len(checks_s) == 4 + (100 - 15) // 15
    refused.recheck_all(at)
    assert refused.due(at) == ["h"] and refused.time_to_recheck(at) == ZERO
    assert refused.remove("h") is not None and refused.remove("h") is None and refused.time_to_recheck(at) is None


def test_number_of_refused_hosts_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(refused_hosts, "MAX_HOSTS", 10)
    refused = RefusedHosts()
    for n in range(1000):
        refused.add(f"h{n}", VerificationFailure(FailureReason.OTHER, ""), T0)
    assert len(refused.hosts()) == 10


# Verification.

NOW = datetime(2026, 12, 1, 12, tzinfo=UTC)
DAY = timedelta(days=1)


def certificate(
    subject: str = "CN=h",
    not_before: datetime = NOW - DAY,
    not_after: datetime = NOW + DAY,
    dns_names: tuple[str, ...] = ("h.test",),
    serial: int = 7,
) -> CertificateInfo:
    return CertificateInfo(subject, "CN=ca", serial, not_before, not_after, dns_names)


HOST = ExpectedName(NameKind.DNS, "h.test")


@pytest.mark.parametrize(
    ("now", "reason"),
    [
        (NOW + DAY, None),
        (NOW + DAY + timedelta(microseconds=1), FailureReason.EXPIRED),
        (NOW - DAY, None),
        (NOW - DAY - timedelta(microseconds=1), FailureReason.NOT_YET_VALID),
    ],
)
def test_certificate_is_valid_from_not_before_to_not_after_inclusive(
    now: datetime, reason: FailureReason | None
) -> None:
    failure = verify_chain([certificate()], HOST, now, RevocationList())
    assert (failure.reason if failure else None) is reason


def test_every_certificate_of_the_chain_is_checked() -> None:
    expired = certificate("CN=middle", not_after=NOW - timedelta(hours=30))
    failure = verify_chain([certificate(), expired], HOST, NOW, RevocationList())
    assert failure == VerificationFailure(
        FailureReason.EXPIRED, "issuer CN=middle: expired 2026-11-30 06:00:00Z, 1 d 6 h ago"
    )
    failure = verify_chain([certificate(), certificate(serial=9)], HOST, NOW, RevocationList({"CN=ca": frozenset({9})}))
    assert failure is not None and failure.reason is FailureReason.REVOKED
    assert verify_chain([certificate()], HOST, NOW, RevocationList({"CN=else": frozenset({7})})) is None
    assert (failure := verify_chain([], HOST, NOW, RevocationList())) and failure.reason is FailureReason.NO_CERTIFICATE


@pytest.mark.parametrize(
    ("name", "pattern", "expected"),
    [
        ("a.b.test", "a.b.test", True),
        ("a.b.test", "*.b.test", True),
        ("a.b.test", "*.test", False),
        ("b.test", "*.test", False),
        ("a.b.test", "*.*.test", False),
        ("a.b.test", "a.*.test", False),
        ("a.b.test", "A.B.TEST", True),
        ("xa.b.test", "*a.b.test", False),
        (".b.test", "*.b.test", False),
    ],
)
def test_wildcard_matches_the_whole_leftmost_label_only(name: str, pattern: str, expected: bool) -> None:
    assert matches_name(ExpectedName(NameKind.DNS, name), certificate(dns_names=(pattern,))) is expected


def test_kind_of_a_name_follows_from_its_form() -> None:
    assert [parse_name(text).kind for text in ("b0", "10.0.0.1", "::1", "spiffe://x/y", "B0.Test")] == [
        NameKind.DNS,
        NameKind.IP,
        NameKind.IP,
        NameKind.URI,
        NameKind.DNS,
    ]
    for invalid in ("", "a..b", "a b", "å.test", "x" * 64, "*.test", "a.test."):
        with pytest.raises(ValueError, match="is no name that a certificate can prove"):
            parse_name(invalid)


def test_next_expiry_reports_certificates_that_expire_soon_but_not_expired_ones() -> None:
    chain = [certificate(not_after=NOW + 10 * DAY), certificate("CN=middle", not_after=NOW + 3 * DAY)]
    assert next_expiry(chain, NOW, 14 * DAY) == (chain[1], 3 * DAY)
    assert next_expiry(chain, NOW, 2 * DAY) is None and next_expiry(chain, NOW + 4 * DAY, 14 * DAY) is None
