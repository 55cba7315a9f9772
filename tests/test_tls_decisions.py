"""What the modules of tls/ without I/O decide: budget, tickets, refusals, judgement. Times are told, nothing waits."""

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
NEVER, AT_ONCE = timedelta(0), timedelta(0)
T0 = timedelta(days=1)


# The budget.


def spend(
    made: HandshakeBudget,
    seconds: int,
    warmth: Callable[[timedelta], float],
    resumes: float = 0.0,
    seed: int = 1,
    rate: int = 200,
    most_wait: timedelta = NEVER,
) -> list[tuple[timedelta, float]]:
    """Many ask, more than may: when a handshake begins, and its cost."""
    r, taken, at = Random(seed), [], T0
    while at < T0 + seconds * S:
        at += timedelta(seconds=r.expovariate(rate))
        resumed = r.random() < resumes
        wait = made.reserve("h", resumed, warmth(at), at, most_wait)
        if wait is not None:
            assert wait <= most_wait
            taken.append((at + wait, made.rates.resumed_cost if resumed else 1.0))
    return taken


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("balancers", [1, 4])
def test_over_any_span_a_host_is_asked_for_its_burst_and_rate_at_most(seed: int, balancers: int) -> None:
    rates = HandshakeRates(full_per_s=40, burst=8, resumed_cost=0.2)
    made = HandshakeBudget(rates, balancers)
    taken = spend(made, 5, lambda at: 1.0, 0.5, seed, most_wait=50 * MS)
    taken.sort()
    for first in range(0, len(taken), 7):
        cost = 0.0
        for when, price in taken[first:]:
            cost += price
            span = (when - taken[first][0]).total_seconds()
            assert cost <= max(1, 8 / balancers) + 40 / balancers * span + 1.0 + 1e-6, (first, span)
    assert sum(price for _, price in taken) > 0.9 * 5 * 40 / balancers  # and what it bears is used


def test_a_cold_host_gets_its_part_and_no_host_is_starved() -> None:
    made = HandshakeBudget(HandshakeRates(full_per_s=40, burst=8))
    cold = spend(made, 5, lambda at: 0.13)
    assert len(cold) <= 1 + 40 * 0.13 * 5 + 1
    made = HandshakeBudget(HandshakeRates(full_per_s=40, burst=8))
    frozen = spend(made, 10, lambda at: 0.0)
    assert 0.9 * 4 * 10 <= len(frozen) <= 4 * 10 + 2  # a tenth always flows
    warming = HandshakeBudget(HandshakeRates(full_per_s=40, burst=8))
    taken = spend(warming, 10, lambda at: min(1.0, (at - T0) / (10 * S)))
    half = sum(when < T0 + 5 * S for when, _ in taken)
    assert half < len(taken) / 3


def test_resumed_handshakes_pass_where_full_ones_do_not() -> None:
    made = HandshakeBudget(HandshakeRates(full_per_s=10, burst=2, resumed_cost=0.2))
    assert [made.reserve("h", False, 1.0, T0, NEVER) for _ in range(3)] == [AT_ONCE, AT_ONCE, None]
    made = HandshakeBudget(HandshakeRates(full_per_s=10, burst=2, resumed_cost=0.2))
    assert [made.reserve("h", True, 1.0, T0, NEVER) for _ in range(11)] == [AT_ONCE] * 10 + [None]


def test_who_waits_waits_behind_those_before_and_who_would_wait_too_long_takes_nothing() -> None:
    made = HandshakeBudget(HandshakeRates(full_per_s=10, burst=1))
    waits = [made.reserve("h", False, 1.0, T0, 250 * MS) for _ in range(5)]
    assert waits == [AT_ONCE, 100 * MS, 200 * MS, None, None]
    assert made.reserve("h", False, 1.0, T0 + 300 * MS, NEVER) == AT_ONCE
    assert made.reserve("other", False, 1.0, T0, NEVER) == AT_ONCE


def test_what_was_not_made_is_given_back_and_what_was_more_is_charged() -> None:
    made = HandshakeBudget(HandshakeRates(full_per_s=1, burst=1, resumed_cost=0.5))
    assert made.reserve("h", False, 1.0, T0, NEVER) == AT_ONCE
    made.refund("h", False, T0)
    assert made.reserve("h", True, 1.0, T0, NEVER) == AT_ONCE
    made.charge_full("h", T0)  # the ticket was not taken
    assert made.reserve("h", True, 1.0, T0, NEVER) is None


def test_handshakes_that_grow_slow_shrink_the_rate_and_quick_ones_bring_it_back() -> None:
    made = HandshakeBudget(HandshakeRates(full_per_s=100, burst=10))
    for _ in range(10):
        made.record_duration("h", 4 * MS, T0)
    assert made.rate("h", 1.0, T0) == 100
    made.record_duration("h", 100 * MS, T0)
    assert made.rate("h", 1.0, T0) == 100  # one alone proves nothing
    for _ in range(20):
        made.record_duration("h", 60 * MS, T0)
    assert made.rate("h", 1.0, T0) == 70  # nor do those that were under way together prove more than one thing
    for n in range(1, 20):
        made.record_duration("h", 60 * MS, T0 + n * S)
    assert made.rate("h", 1.0, T0) == pytest.approx(100 * budget.MIN_RATE_FACTOR)
    for _ in range(80):
        made.record_duration("h", 4 * MS, T0 + 60 * S)
    assert made.rate("h", 1.0, T0) == 100
    made.record_duration("near", MS / 10, T0)
    made.record_duration("near", 4 * MS, T0)  # forty times the least, and still nothing
    assert made.rate("near", 1.0, T0) == 100


def test_a_host_that_has_moved_farther_away_does_not_seem_slow_for_ever() -> None:
    made = HandshakeBudget(HandshakeRates(full_per_s=100))
    made.record_duration("h", 4 * MS, T0)
    for _ in range(400):
        made.record_duration("h", 30 * MS, T0)
    assert made.rate("h", 1.0, T0) == 100


def test_budgets_are_bounded_in_number(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(budget, "MAX_HOSTS", 10)
    made = HandshakeBudget(HandshakeRates())
    for n in range(1000):
        made.reserve(f"h{n}", False, 1.0, T0, NEVER)
    assert len(made._hosts) == 10


# Tickets.

KEY = SessionKey("h", None, "h.test", 1)


def test_a_ticket_serves_once_the_youngest_first_and_never_too_old() -> None:
    made = SessionCache(per_host=3, age=10 * S)
    for n in range(5):
        made.put(KEY, n, (), T0 + n * S, 8 * S)
    assert made.count("h") == 3
    assert [t.session if (t := made.take(KEY, T0 + 4 * S)) else None for _ in range(4)] == [4, 3, 2, None]
    made.put(KEY, "old", (), T0, 8 * S)
    made.put(KEY, "older than we keep", (), T0, 100 * S)
    assert made.take(KEY, T0 + 10 * S) is None and made.count("h") == 0
    made.put(KEY, "1.2", (), T0, 8 * S, once=False)
    assert all(made.take(KEY, T0) for _ in range(9))  # TLS 1.2's are used again
    made.put(KEY, "nothing left", (), T0, NEVER)
    assert made.count("h") == 1


@pytest.mark.parametrize(
    "other",
    [SessionKey("h", S, "h.test", 1), SessionKey("h", None, "else.test", 1), SessionKey("h", None, "h.test", 2)],
)
def test_a_ticket_is_of_one_start_one_name_and_one_trust(other: SessionKey) -> None:
    made = SessionCache()
    made.put(KEY, 1, (), T0, S)
    assert made.take(other, T0) is None
    assert made.take(KEY, T0) is None  # seen as another, it is another: what was held is void for good
    made.put(KEY, 1, (), T0, S)
    made.put(other, 2, (), T0, S)
    assert made.count("h") == 1 and made.take(other, T0) is not None


# Refusals.


def test_a_refused_host_is_looked_at_ever_more_seldom_and_at_once_when_our_files_change() -> None:
    made = RefusedHosts()
    expired, wrong = VerificationFailure(FailureReason.EXPIRED, "x"), VerificationFailure(FailureReason.WRONG_NAME, "y")
    assert made.add("h", expired, T0) and not made.add("h", expired, T0) and made.add("h", wrong, T0)
    looks, at = [], T0
    for _ in range(1000):
        at += 100 * MS
        for host in made.due(at):
            looks.append((at - T0) / S)
            made.record_failed_recheck(host, at)
    assert looks[:5] == [1, 3, 7, 15, 30] and len(looks) == 4 + (100 - 15) // 15
    made.recheck_all(at)
    assert made.due(at) == ["h"] and made.time_to_recheck(at) == NEVER
    assert made.remove("h") is not None and made.remove("h") is None and made.time_to_recheck(at) is None


def test_refusals_are_bounded_in_number(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(refused_hosts, "MAX_HOSTS", 10)
    made = RefusedHosts()
    for n in range(1000):
        made.add(f"h{n}", VerificationFailure(FailureReason.OTHER, ""), T0)
    assert len(made.hosts()) == 10


# Judgement.

NOW = datetime(2026, 12, 1, 12, tzinfo=UTC)
DAY = timedelta(days=1)


def facts(
    subject: str = "CN=h",
    since: datetime = NOW - DAY,
    until: datetime = NOW + DAY,
    dns: tuple[str, ...] = ("h.test",),
    serial: int = 7,
) -> CertificateInfo:
    return CertificateInfo(subject, "CN=ca", serial, since, until, dns)


HOST = ExpectedName(NameKind.DNS, "h.test")


@pytest.mark.parametrize(
    ("now", "kind"),
    [
        (NOW + DAY, None),
        (NOW + DAY + timedelta(microseconds=1), FailureReason.EXPIRED),
        (NOW - DAY, None),
        (NOW - DAY - timedelta(microseconds=1), FailureReason.NOT_YET_VALID),
    ],
)
def test_a_certificate_holds_from_its_first_to_its_last_instant(now: datetime, kind: FailureReason | None) -> None:
    found = verify_chain([facts()], HOST, now, RevocationList())
    assert (found.reason if found else None) is kind


def test_each_certificate_of_the_chain_counts_and_the_leaf_is_told_first() -> None:
    old = facts("CN=middle", until=NOW - timedelta(hours=30))
    found = verify_chain([facts(), old], HOST, NOW, RevocationList())
    assert found == VerificationFailure(
        FailureReason.EXPIRED, "issuer CN=middle: expired 2026-11-30 06:00:00Z, 1 d 6 h ago"
    )
    found = verify_chain([facts(), facts(serial=9)], HOST, NOW, RevocationList({"CN=ca": frozenset({9})}))
    assert found is not None and found.reason is FailureReason.REVOKED
    assert verify_chain([facts()], HOST, NOW, RevocationList({"CN=else": frozenset({7})})) is None
    assert (found := verify_chain([], HOST, NOW, RevocationList())) and found.reason is FailureReason.NO_CERTIFICATE


@pytest.mark.parametrize(
    ("name", "pattern", "good"),
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
def test_a_wildcard_stands_for_the_whole_leftmost_label(name: str, pattern: str, good: bool) -> None:
    assert matches_name(ExpectedName(NameKind.DNS, name), facts(dns=(pattern,))) is good


def test_names_are_told_by_their_form() -> None:
    assert [parse_name(t).kind for t in ("b0", "10.0.0.1", "::1", "spiffe://x/y", "B0.Test")] == [
        NameKind.DNS,
        NameKind.IP,
        NameKind.IP,
        NameKind.URI,
        NameKind.DNS,
    ]
    for bad in ("", "a..b", "a b", "å.test", "x" * 64, "*.test", "a.test."):
        with pytest.raises(ValueError, match="is no name that a certificate can prove"):
            parse_name(bad)


def test_what_expires_soon_is_told_and_what_has_expired_is_anothers_affair() -> None:
    chain = [facts(until=NOW + 10 * DAY), facts("CN=middle", until=NOW + 3 * DAY)]
    assert next_expiry(chain, NOW, 14 * DAY) == (chain[1], 3 * DAY)
    assert next_expiry(chain, NOW, 2 * DAY) is None and next_expiry(chain, NOW + 4 * DAY, 14 * DAY) is None
