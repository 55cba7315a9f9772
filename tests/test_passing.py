"""What one process has learned, for the next: the same hosts look the same to it, and budgets are not spent twice."""

from __future__ import annotations

import json
from dataclasses import replace

from vanegw import interface as api
from vanegw import passing
from vanegw.rules import Balancer
from vanegw.state import Lately

S = 1_000_000
FEED = api.RequestClass("feed", objective_us=800_000, deadline_us=3_200_000)
SETTINGS = api.Settings(
    classes=(FEED,), may_probe=True, cold_from=0.13, cold_us=21 * S, fall_multiple=4.0, fall_us=3 * S, try_limit=3
)
HOSTS = (api.Backend("a"), api.Backend("b"), api.Backend("c", started_us=40 * S))


def balancer(*hosts: api.Backend) -> Balancer:
    made = Balancer(SETTINGS, 1)
    made.handle(50 * S, api.BackendList(api.ListMode.COMPLETE, hosts))
    return made


def told(one: Balancer) -> list[dict[str, object]]:
    """As it comes out of the message."""
    return [json.loads(json.dumps(part)) for part in passing.learned(one)]


def seasoned() -> Balancer:
    one = balancer(*HOSTS)
    for name, load in (("a", 0.7), ("b", 0.2)):
        one.handle(51 * S, api.ProbeResult(name, api.Status.SERVED, 1000, api.Report(load=load)))
    one.handle(51 * S, api.ProbeResult("c", api.Status.TIMED_OUT, 500_000))
    for n in range(4):
        one.handle(51 * S + n, api.Request(f"r{n}", "feed", 3 * S))
    one.warmed = [50 * S + 7]
    return one


def test_the_next_process_sees_hosts_as_the_one_before_did() -> None:
    one, other = seasoned(), balancer(*HOSTS)
    for part in told(one):
        passing.recall(other, part)
    for name, known in one.backends.items():
        one.now = other.now = 52 * S
        assert other._load(other.backends[name]) == one._load(known)
        assert other._weight(other.backends[name]) == one._weight(known)
        assert other.backends[name].suspect_until == known.suspect_until
        assert other.backends[name].mute == known.mute
    assert one.backends["c"].mute
    assert (other.average, other.lateness, other.arrivals) == (one.average, one.lateness, one.arrivals)


def test_sends_to_cold_hosts_of_both_count_and_are_counted_once() -> None:
    """Guards rule 4: two processes are one balancer, with one part of a cold host's budget."""
    one, other = seasoned(), balancer(*HOSTS)
    other.warmed = [50 * S + 9]
    for _ in range(2):
        for part in told(one):
            passing.recall(other, part)
    assert other.warmed == [50 * S + 7, 50 * S + 9]


def test_a_host_that_has_started_anew_is_unknown_and_younger_figures_stand() -> None:
    other = balancer(replace(HOSTS[0], started_us=49 * S), HOSTS[1])
    other.handle(55 * S, api.ProbeResult("b", api.Status.SERVED, 1000, api.Report(load=0.5)))
    for part in told(seasoned()):
        passing.recall(other, part)
    assert other.backends["a"].load is None and other.backends["b"].load == 0.5 and set(other.backends) == {"a", "b"}


def test_many_hosts_come_in_parts_and_busy_times_are_bounded() -> None:
    one = balancer(*(api.Backend(f"h{n}") for n in range(2 * passing.PART + 1)))
    one.arrivals = Lately({n: n for n in range(10 * passing.RECENT)})
    parts = told(one)
    assert [len(part["hosts"]) for part in parts[:-1]] == [passing.PART, passing.PART, 1]  # type: ignore[arg-type]
    assert len(parts[-1]["own"]["arrivals"]) == passing.RECENT  # type: ignore[index]
