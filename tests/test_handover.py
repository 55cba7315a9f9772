"""What one process has learned is used by the next, and no budget is spent twice."""

from __future__ import annotations

import json
from dataclasses import replace

from vanegw import handover
from vanegw import interface as api
from vanegw.rules import Balancer
from vanegw.state import LastSeenTimes

SECOND_US = 1_000_000
FEED = api.RequestClass("feed", objective_us=800_000, deadline_us=3_200_000)
SETTINGS = api.Settings(
    classes=(FEED,),
    may_probe=True,
    cold_from=0.13,
    cold_us=21 * SECOND_US,
    fall_multiple=4.0,
    fall_us=3 * SECOND_US,
    try_limit=3,
)
BACKENDS = (api.Backend("a"), api.Backend("b"), api.Backend("c", started_us=40 * SECOND_US))


def make_balancer(*backends: api.Backend) -> Balancer:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(50 * SECOND_US, api.BackendList(api.ListMode.COMPLETE, backends))
    return balancer


def exported_parts(balancer: Balancer) -> list[dict[str, object]]:
    """Return the exported state as it is read from the messages."""
    return [json.loads(json.dumps(part)) for part in handover.export_state(balancer)]


def make_experienced_balancer() -> Balancer:
    """Return a balancer with reports, a masked backend, arrivals and an attempt at a cold backend."""
    balancer = make_balancer(*BACKENDS)
    for name, load in (("a", 0.7), ("b", 0.2)):
        balancer.handle(51 * SECOND_US, api.ProbeResult(name, api.Status.SERVED, 1000, api.Report(load=load)))
    balancer.handle(51 * SECOND_US, api.ProbeResult("c", api.Status.TIMED_OUT, 500_000))
    for n in range(4):
        balancer.handle(51 * SECOND_US + n, api.Request(f"r{n}", "feed", 3 * SECOND_US))
    balancer.cold_attempts_us = [50 * SECOND_US + 7]
    return balancer


def test_next_process_judges_backends_like_the_previous_one() -> None:
    previous, successor = make_experienced_balancer(), make_balancer(*BACKENDS)
    for part in exported_parts(previous):
        handover.import_state(successor, part)
    for name, backend in previous.backends.items():
        previous.now_us = successor.now_us = 52 * SECOND_US
        assert successor._estimated_load(successor.backends[name]) == previous._estimated_load(backend)
        assert successor._weight(successor.backends[name]) == previous._weight(backend)
        assert successor.backends[name].masked_until_us == backend.masked_until_us
        assert successor.backends[name].last_failure_was_timeout == backend.last_failure_was_timeout
    assert previous.backends["c"].last_failure_was_timeout
    assert (successor.average_load, successor.timeout_rate, successor.recent_arrivals) == (
        previous.average_load,
        previous.timeout_rate,
        previous.recent_arrivals,
    )


def test_attempts_at_cold_backends_are_merged_and_counted_once() -> None:
    """Guards rule 4: the two processes are one balancer, with one share of the budget for cold backends."""
    previous, successor = make_experienced_balancer(), make_balancer(*BACKENDS)
    successor.cold_attempts_us = [50 * SECOND_US + 9]
    for _ in range(2):
        for part in exported_parts(previous):
            handover.import_state(successor, part)
    assert successor.cold_attempts_us == [50 * SECOND_US + 7, 50 * SECOND_US + 9]


def test_restarted_backend_is_skipped_and_newer_reports_are_kept() -> None:
    successor = make_balancer(replace(BACKENDS[0], started_us=49 * SECOND_US), BACKENDS[1])
    successor.handle(55 * SECOND_US, api.ProbeResult("b", api.Status.SERVED, 1000, api.Report(load=0.5)))
    for part in exported_parts(make_experienced_balancer()):
        handover.import_state(successor, part)
    backends = successor.backends
    assert backends["a"].load is None and backends["b"].load == 0.5 and set(backends) == {"a", "b"}


def test_many_backends_are_split_into_parts_and_recent_times_are_bounded() -> None:
    balancer = make_balancer(*(api.Backend(f"h{n}") for n in range(2 * handover.BACKENDS_PER_PART + 1)))
    balancer.recent_arrivals = LastSeenTimes({n: n for n in range(10 * handover.MAX_RECENT_TIMES)})
    parts = exported_parts(balancer)
    sizes = [len(part["hosts"]) for part in parts[:-1]]  # type: ignore[arg-type]
    assert sizes == [handover.BACKENDS_PER_PART, handover.BACKENDS_PER_PART, 1]
    assert len(parts[-1]["own"]["arrivals"]) == handover.MAX_RECENT_TIMES  # type: ignore[index]
