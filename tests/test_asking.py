"""When discovery is asked: the arithmetic for every kind of settings, and what a service that serves in turn bears."""

from __future__ import annotations

import heapq
from dataclasses import replace
from random import Random

import pytest

from tests.relay import SETTINGS, Relay, fleet, only
from vanegw import asking, rules
from vanegw import interface as api

ASKED = replace(SETTINGS, list_on_request=True)
GRACES = [500_000, 750_000, 1_000_000, 1_500_000, 3_000_000]


@pytest.mark.parametrize("grace", GRACES)
def test_a_watch_that_falls_silent_is_replaced_before_its_news_count_as_told(grace: int) -> None:
    """Seen: held for 8 s and given up 2 s later, then asked again within 2 s more; a request went to a host 1.44 s
    after its drain counted as told."""
    for settings in (ASKED, SETTINGS):
        pace = asking.pace(replace(settings, drain_grace_us=grace))
        assert pace.silent <= asking.TOLD_US + grace - asking.MARGIN_US
        assert pace.hold >= asking.LEAST_HOLD_US


@pytest.mark.parametrize("grace", GRACES)
def test_a_refused_call_is_followed_by_an_answer_in_time(grace: int) -> None:
    pace = asking.pace(replace(ASKED, drain_grace_us=grace))
    assert pace.refused <= asking.TOLD_US and pace.first_again + pace.answer <= asking.TOLD_US


@pytest.mark.parametrize("grace", [100_000, 500_000, 1_000_000])
def test_an_agent_that_pushes_is_asked_again_within_the_grace(grace: int) -> None:
    """What it has counts as told from the moment that it is back."""
    pace = asking.pace(replace(SETTINGS, drain_grace_us=grace))
    assert max(pace.first_again, pace.again) <= grace / 4


def test_the_module_asks_within_these_spans() -> None:
    for settings in (ASKED, SETTINGS):
        pace, latest = asking.pace(settings), [0, 0, 0]
        for seed in range(300):
            relay = Relay(settings, seed=seed)
            relay.show(*fleet(2), mode=api.ListMode.RESTORED)
            if settings.list_on_request:
                (timer,) = [t for t in only(relay.seen, api.SetTimer) if t.token == rules.ASK]
                latest[0] = max(latest[0], timer.after_us)
            for failure in (1, 2, 2, 2):
                (timer,) = only(relay.tell(api.BackendList(api.ListMode.UNAVAILABLE)), api.SetTimer)
                latest[failure] = max(latest[failure], timer.after_us)
        for failures, most in enumerate(latest):
            spread = pace.spread(failures)
            assert most <= spread and (most > 0.9 * spread or not (failures or settings.list_on_request))


def heard_after(seed: int, balancers: int, per_s: float, limit: float = 2.0, down: float = 8.0) -> list[float]:
    """A service is down, its calls waiting for ``limit`` and then refused, and comes back; it serves in turn. When each
    balancer has its answer, in seconds after the return."""
    random, pace = Random(seed), asking.pace(ASKED)
    heard: list[float] = []
    # All watches end when it goes down, at 0.
    calls = [(random.random() * pace.spread(1) / 1e6, 1, n) for n in range(balancers)]
    heapq.heapify(calls)
    free = down  # when the service has done all it has taken on
    while calls:
        at, failures, who = heapq.heappop(calls)
        begins = max(free, at)
        if begins > at + limit:
            again = at + limit + random.random() * pace.spread(failures + 1) / 1e6
            heapq.heappush(calls, (again, failures + 1, who))
            continue
        free = begins + 1 / per_s
        heard.append(free - down)
    return heard


@pytest.mark.parametrize("balancers", [1, 20, 200])
def test_a_service_that_serves_in_turn_is_back_with_all_balancers_in_time(balancers: int) -> None:
    """200 balancers and 40 calls a second, as on the fleet days: five seconds of work. Nobody is left out for longer,
    as no answer is given up by whoever asked for it."""
    last = [max(heard_after(seed, balancers, 40.0)) for seed in range(500)]
    assert max(last) <= asking.TOLD_US / 1e6 + 1
    assert sum(last) / len(last) <= max(balancers / 40.0, 1.5) + 1


def test_an_answer_that_is_given_up_early_would_leave_balancers_out() -> None:
    """What the bound on an answer guards against, planted: the service works for those who have gone."""
    random, served, at = Random(1), 0, 0.0
    for _ in range(400):  # a queue of two seconds: each call is reached 1.9 to 2.0 s after it came
        at += 1 / 40
        served += 1.9 + 0.1 * random.random() <= asking.ANSWER_US / 1e6
    assert served == 400
