"""The sum of all relays' sends to a cold host: thousands of drawn fleets that share nothing, none beyond its budget."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest

from tests.relay import CLASS, Relay, only
from vanegw import interface as api
from vanegw import warming

S = 1_000_000
BASE = api.Settings(classes=(CLASS,), zone="z0", cold_from=0.13, cold_us=21 * S, fall_multiple=4.0, fall_us=3 * S)
May = Callable[[api.Settings, int, float, float, float, list[float]], bool]


def most(calls: float) -> float:
    """What a window may hold: its budget, and what counts as chance."""
    return calls + 2 * math.sqrt(calls) + 2


def calls_in(settings: api.Settings, fills: float, first_us: float, last_us: float) -> float:
    """The budget of a window, from the settings alone: multiple x present capacity x its length."""
    def area(at: float) -> float:
        at = max(0.0, min(at, settings.cold_us))
        return settings.cold_from * at + (1 - settings.cold_from) * at * at / 2 / settings.cold_us

    return settings.fall_multiple * fills * (area(last_us) - area(first_us)) / settings.cold_us


def dealt(settings: api.Settings, place: int, fills: float, age: float, since: float, sent: list[float]) -> bool:
    ramp = warming.Ramp(settings, fills, age, since)
    return sum(age - at < settings.fall_us for at in sent) < ramp.part(place)


def chance_of_each(settings: api.Settings, place: int, fills: float, age: float, since: float,
                   sent: list[float]) -> bool:
    """Planted: the budget shared by chance, as it was: each relay rounds its part up by a draw in each window."""
    drawn = Random(f"{place} {age // settings.fall_us} {since}").random()
    room = calls_in(settings, fills, max(0.0, age), max(0.0, age) + 1) * settings.fall_us / settings.balancers
    return sum(age - at < settings.fall_us for at in sent) + drawn < room


def worst(seed: int, relays: int, may: May) -> float:
    """By how much the fullest window of one cold host exceeds what it may hold. Drawn: its size, how cold it is, who
    has how much traffic, rushes and calm, who is killed, and when it is back."""
    random = Random(f"{seed} {relays}")
    settings = replace(BASE, balancers=relays, cold_from=random.uniform(0.05, 0.4),
                       fall_us=random.choice([1, 3]) * S, cold_us=random.choice([10, 21]) * S)
    fills = random.choice([3.0, 10.0, 60.0]) * random.uniform(0.5, 2)
    first = random.randrange(10**9)
    since = [-1e9] * relays
    sent: list[list[float]] = [[] for _ in range(relays)]
    # All that a window may hold, asked for several times over, by few, by many, or by all at one moment.
    wants = random.choice([1.5, 5.0]) * most(calls_in(settings, fills, settings.fall_us, 3 * settings.fall_us))
    share = [random.lognormvariate(0, random.choice([0.1, 1.5])) for _ in range(relays)]
    events: list[tuple[float, int]] = []
    for who in random.choices(range(relays), share, k=int(wants * 2) + relays):
        at = random.uniform(0, min(4 * settings.fall_us, settings.cold_us - settings.fall_us))
        if random.random() < 0.5:
            at = random.choice([0.0, settings.fall_us / 3, settings.fall_us]) + random.random() * 50_000
        events.append((at, who))
    if random.random() < 0.3:  # all have more than enough, just before a window is over and just after, and again
        rushes = [windows * settings.fall_us for windows in (0.9, 1.1, random.uniform(1.2, 2))]
        events += [(rush, who) for rush in rushes for who in range(relays) for _ in range(1 + int(wants / relays))]
    heapq.heapify(events)
    killed = {who: random.uniform(0, 3 * settings.fall_us) for who in range(relays) if random.random() < 0.7}
    if random.random() < 0.5:
        killed = {}
    times: list[float] = []
    while events:
        age, who = heapq.heappop(events)
        if who in killed and age >= killed[who]:  # it is back after 0.2 s and knows nothing of what it did
            since[who], sent[who] = killed.pop(who) + 200_000, []
        if age < since[who]:
            continue
        if may(settings, first + who, fills, age, since[who], sent[who]):
            sent[who].append(age)
            times.append(age)
    over, begin = -math.inf, 0
    for end, at in enumerate(times):
        while times[begin] <= at - settings.fall_us:
            begin += 1
        first_us = max(0.0, at - settings.fall_us)
        calls = calls_in(settings, fills, first_us, first_us + settings.fall_us)
        over = max(over, end - begin + 1 - most(calls))
    return over


@pytest.mark.parametrize("relays", [1, 2, 3, 7, 20, 30, 60, 200])
def test_no_fleet_sends_a_cold_host_more_than_its_budget_and_chance(relays: int) -> None:
    assert max(worst(seed, relays, dealt) for seed in range(400)) <= 0


def test_a_budget_that_each_rounds_up_by_chance_is_found() -> None:
    """Alone the draws spread by a root of N; with windows that meet, and with restarts, they go beyond."""
    assert max(worst(seed, 200, chance_of_each) for seed in range(100)) > 0


def turns(settings: api.Settings, place: int, fills: float, age: float, since: float, sent: list[float]) -> bool:
    """Planted: the calls of each window fall to other relays than those of the one before."""
    part = warming.Ramp(settings, fills, age, since).part(place + 7 * int(age // settings.fall_us))
    return sum(age - at < settings.fall_us for at in sent) < part


def forgets(settings: api.Settings, place: int, fills: float, age: float, since: float, sent: list[float]) -> bool:
    """Planted: one that has just started uses the calls of the process before it again."""
    return dealt(settings, place, fills, age, -1e9, sent)


@pytest.mark.parametrize("may", [turns, forgets])
def test_calls_that_are_used_twice_in_a_window_are_found(may: May) -> None:
    assert max(worst(seed, relays, may) for seed in range(100) for relays in (7, 200)) > 0


@pytest.mark.parametrize("relays", [1, 3, 30, 200])
def test_the_parts_of_all_add_up_to_what_is_dealt_out(relays: int) -> None:
    settings = replace(BASE, balancers=relays)
    for age in range(0, 21 * S, 700_000):
        ramp = warming.Ramp(settings, 40.0, age, -1e9)
        calls = calls_in(settings, 40.0, max(0, age - 3 * S), max(3 * S, age))
        assert sum(ramp.part(7919 + place) for place in range(relays)) == ramp.calls()
        assert int(calls) <= ramp.calls() <= most(calls)


def test_a_process_that_has_just_started_uses_no_call_of_the_one_before() -> None:
    settings = replace(BASE, balancers=30)
    for place in range(30):
        assert warming.Ramp(settings, 400.0, 5 * S, 5 * S).part(place) == 0
        assert warming.Ramp(settings, 400.0, 5 * S, 2 * S + 1).part(place) == 0
        assert warming.Ramp(settings, 400.0, 5 * S, 2 * S).part(place) > 0
        assert warming.Ramp(settings, 400.0, 1, -1).part(place) > 0  # it was there before the host


def test_a_host_that_is_cold_at_no_part_or_warm_from_the_start_has_a_budget_that_grows() -> None:
    for cold_from in (0.01, 0.5, 1.0):
        settings = replace(BASE, cold_from=cold_from)
        told = [warming.Ramp(settings, 40.0, age, -1e9).calls() for age in range(0, 40 * S, S)]
        assert told == sorted(told) and told[0] > 0


def test_one_cold_host_of_a_zone_is_not_sent_what_those_of_other_zones_may_bear() -> None:
    """Seen: the budget of all cold hosts together went to the one that was near. Both zones' balancers in a rush."""
    born = 100 * S
    settings = replace(BASE, cross_zone_price=1.0, drain_grace_us=S, try_limit=6, balancers=40,
                       tenants=(api.Tenant("t", 1.0, 2000.0),))
    hosts = [api.Backend(f"b{n}", zone="z0" if n in (0, 11, 12) else "z1", started_us=born if n < 11 else None)
             for n in range(40)]
    full = {host.name: 0.95 if host.started_us is None else 0.0 for host in hosts}
    sent: dict[str, list[int]] = {host.name: [] for host in hosts}
    fleet = []
    for number in range(40):
        relay = Relay(replace(settings, self_index=number, zone=f"z{number % 2}"), number, born - S, full)
        relay.show(*hosts[11:])
        relay.now = born + 2 * S
        relay.show(*hosts)
        fleet.append(relay)
    for _ in range(60):
        for relay in fleet:
            relay.now += 50_000
            for attempt in only(relay.request(tenant="t"), api.Attempt):
                sent[attempt.backend].append(relay.now - born)
    for host in hosts[:11]:
        calls = calls_in(settings, 50.0, 2 * S, 5 * S)
        assert len(sent[host.name]) <= most(calls), host.name
    assert len(sent["b0"]) >= 0.6 * calls  # and it is not left idle either
