"""The ordinary path of a placement: probes, weights, one weighted draw."""

from collections import Counter
from dataclasses import replace

import pytest

from tests.balancer_driver import SETTINGS, BalancerDriver, actions_of, make_backends
from vanegw import interface as api
from vanegw import rules


def count_placements(driver: BalancerDriver, draws: int) -> Counter[str]:
    """Place requests one by one, and count them by backend."""
    count: Counter[str] = Counter()
    for _ in range(draws):
        attempt = driver.place_request()
        driver.end_attempt(attempt, api.Status.SERVED, finished=True)
        count[attempt.backend] += 1
        driver.now_us += 10_000_000  # every report is out of date again, so each request sees the loads as set
    return count


def test_draw_follows_inverse_load() -> None:
    driver = BalancerDriver(loads={"b0": 0.3, "b1": 0.6})
    driver.set_list(*make_backends(2))
    count = count_placements(driver, 4000)
    expected = 2.0**rules.LOAD_EXPONENT
    assert count["b0"] / count["b1"] == pytest.approx(expected, rel=0.2)


def test_weight_of_an_idle_backend_is_limited() -> None:
    driver = BalancerDriver(loads={"b0": 0.0, "b1": 0.5, "b2": 0.5})
    driver.set_list(*make_backends(3))
    count = count_placements(driver, 3000)
    # A load of 0 counts as average / MIN_LOAD_DIVISOR; without that floor, b1 and b2 would get nothing.
    average = 1 / 3
    ratio = (0.5 / (average / rules.MIN_LOAD_DIVISOR)) ** rules.LOAD_EXPONENT
    assert count["b0"] / (count["b1"] + count["b2"]) == pytest.approx(min(ratio, 256) / 2, rel=0.5)
    assert count["b1"] > 0


def test_idle_backends_get_equal_shares() -> None:
    driver = BalancerDriver(loads={"b0": 0.0, "b1": 0.0})
    driver.set_list(*make_backends(2))
    count = count_placements(driver, 2000)
    assert count["b0"] == pytest.approx(1000, abs=120)


def test_listed_weight_scales_the_share() -> None:
    driver = BalancerDriver()
    driver.set_list(api.Backend("b0", "z0", weight=3.0), api.Backend("b1", "z0", weight=1.0))
    count = count_placements(driver, 3000)
    assert count["b0"] / count["b1"] == pytest.approx(3.0, rel=0.2)


def test_only_a_sample_is_probed_and_recent_reports_are_reused() -> None:
    driver = BalancerDriver()
    driver.set_list(*make_backends(200))
    actions = driver.request()
    assert len(actions_of(actions, api.Probe)) == rules.SAMPLE_SIZE
    driver = BalancerDriver()
    driver.set_list(*make_backends(3))
    driver.request()
    assert not actions_of(driver.request(), api.Probe)


def test_no_probes_where_they_are_not_allowed_or_no_load_is_reported() -> None:
    for settings in (replace(SETTINGS, may_probe=False), replace(SETTINGS, reports_load=False)):
        driver = BalancerDriver(settings)
        driver.set_list(*make_backends(4))
        assert [type(a) for a in driver.request()] == [api.Attempt]


def test_silent_backend_gets_one_probe_and_does_not_block_the_request() -> None:
    driver = BalancerDriver(silent_backends={"b0"})
    driver.set_list(*make_backends(3))
    first = driver.request()
    assert actions_of(first, api.Attempt)[0].backend != "b0"
    assert [p.backend for p in actions_of(driver.request(), api.Probe)].count("b0") == 0


@pytest.mark.parametrize("invalid", [float("nan"), -1.0, float("inf"), 1e9])
def test_implausible_reports_do_not_affect_weights(invalid: float) -> None:
    driver = BalancerDriver(loads={"b0": invalid, "b1": 0.5})
    driver.set_list(*make_backends(2))
    count = count_placements(driver, 600)
    assert count["b0"] == pytest.approx(300, abs=90)


def test_share_of_another_zone_falls_with_the_price_of_crossing() -> None:
    expensive, cheap = (BalancerDriver(replace(SETTINGS, cross_zone_price=p)) for p in (0.06, 0.001))
    for driver in (expensive, cheap):
        driver.set_list(api.Backend("b0", "z0"), api.Backend("b1", "z1"))
    other_zone = [count_placements(driver, 1000)["b1"] for driver in (expensive, cheap)]
    assert 0 < other_zone[0] < 330 < other_zone[1] < 550
