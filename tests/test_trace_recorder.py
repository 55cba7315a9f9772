"""Tests of the recorder: sampling, losses, rotation, and failing folders."""

from __future__ import annotations

import errno
import itertools
import os
import threading
from collections import Counter as Count
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any, BinaryIO

import pytest

from bramblestile.memory.counters import Counters
from bramblestile.trace import Reader
from bramblestile.trace.losses import INITIAL_BACKOFF, MAX_BACKOFF, LossCounter, RetryBackoff
from bramblestile.trace.recorder import Recorder, RecorderConfig, open_file
from bramblestile.trace.records import Answer, Attempt, Decision, Ended, Lost, Moved, Note, Record, Request, Stand
from bramblestile.trace.retention import RetentionLimits, StoredFile, file_name, files_to_remove, rotation_due
from bramblestile.trace.sampling import Sampler
from tests.balancer_driver import SETTINGS, BalancerDriver, make_backends
from tests.fleet import Fleet
from vanegw import interface as api
from vanegw.recording import RecordingBalancer

SECOND = timedelta(seconds=1)


# Recording of decisions.


def test_recording_changes_no_decision_and_shows_the_weights_of_the_draw() -> None:
    plain, recorded = BalancerDriver(seed=5), BalancerDriver(seed=5)
    recorded.balancer = balancer = RecordingBalancer(SETTINGS, 5)
    balancer.recording = True
    rng = Random(3)
    for driver in (plain, recorded):
        driver.set_list(*make_backends(6))
    for n in range(200):
        load = rng.random()
        for driver in (plain, recorded):
            driver.loads[f"b{n % 6}"] = load
            driver.now_us += 40_000
            for attempt in (a for a in driver.request() if isinstance(a, api.Attempt)):
                if n % 3:
                    driver.open_connection(attempt)
                else:
                    driver.end_attempt(attempt, api.Status.NO_ROOM)
    assert plain.all_actions == recorded.all_actions
    recorded.now_us += 10_000_000  # all load figures expire, so the random ones above cannot cause a refusal
    event = api.Request("x", "feed", remaining_us=3_200_000)
    actions = balancer.handle(recorded.now_us, event)
    for action in [a for a in actions if isinstance(a, api.Probe)]:
        actions = balancer.handle(
            recorded.now_us, api.ProbeResult(action.backend, api.Status.SERVED, 1, api.Report(load=0.2))
        )
    (decision,) = balancer.decisions
    chosen = next(b for b in decision.candidates if b.backend == decision.backend)
    assert decision.id == "x" and chosen.weight is not None and chosen.load is not None
    assert max(b.weight or 0 for b in decision.candidates) == 256
    assert all(b.estimated_load is not None for b in decision.candidates)


def test_a_refusal_lists_the_full_hosts() -> None:
    driver = BalancerDriver()
    driver.balancer = balancer = RecordingBalancer(SETTINGS, 1)
    balancer.recording = True
    driver.set_list(*make_backends(2))
    driver.loads = {"b0": 0.95, "b1": 0.9}
    driver.request()
    (decision,) = balancer.decisions
    assert decision.decision == "refuse" and decision.retry_after_us == 0 and decision.backend is None
    assert {(b.backend, b.load, b.weight) for b in decision.candidates} == {("b0", 0.95, None), ("b1", 0.9, None)}


# Sampling.


def request_records(
    request_id: str, outcome: str = "served", status: str = "served", cls: str = "feed"
) -> list[Record]:
    records: list[Record] = [
        Request(request_id, "lines", cls, 1, at=1),
        Attempt(request_id, 0, "a", "up", 1, at=2),
        Answer(request_id, outcome, cls, 1, 1, at=3),
    ]
    return records + (
        [Stand(request_id, "a", at=4), Ended(request_id, "a", status, 1, at=5)] if outcome == "served" else []
    )


def offer_all(sampler: Sampler, records: list[Record]) -> list[Record]:
    return [kept for record in records for kept in sampler.offer(record)]


@pytest.mark.parametrize(
    "records",
    [
        request_records("r", "refused"),
        request_records("r", "failed"),
        request_records("r", "left"),
        request_records("r", status="cut"),
        request_records("r", status="timed_out"),
        [*request_records("r")[:4], Moved("r", "a", "hush", at=5), Ended("r", "a", "cancelled", 1, moved=True, at=6)],
        request_records("r", cls="edit"),
    ],
)
def test_a_failed_request_is_kept_completely_and_in_order(records: list[Record]) -> None:
    sampler = Sampler({"feed": 0.0})
    assert offer_all(sampler, records) == records and sampler.held_count == 0 and sampler.flush() == []


def test_successful_requests_are_sampled_by_share_and_deterministically() -> None:
    r = Random(1)
    requests = [request_records(f"{r.getrandbits(64):016x}") for _ in range(2000)]
    kept = [offer_all(Sampler({"feed": 0.1}), records) for records in requests]
    kept_again = [offer_all(Sampler({"feed": 0.1}), records) for records in requests]
    assert kept == kept_again and all(
        records in ([], original) for records, original in zip(kept, requests, strict=True)
    )
    assert 150 <= sum(map(bool, kept)) <= 250
    sampler = Sampler({"feed": 0.0})
    assert offer_all(sampler, requests[0]) == [] and (sampler.held_count, sampler.dropped) == (0, 5)
    assert offer_all(sampler, [Note("", "a", "delay", 1.0, at=1)])  # a note without a request is kept


def test_held_records_are_bounded_and_the_oldest_request_is_evicted() -> None:
    sampler = Sampler({"feed": 0.0}, max_held=10)
    for n in range(6):
        assert offer_all(sampler, request_records(f"r{n}")[:4]) == []
    assert sampler.held_count <= 10 and sampler.evicted == 16
    assert offer_all(sampler, [request_records("r5", status="cut")[4]]) == request_records("r5", status="cut")
    # The first records of r0 were evicted.
    assert offer_all(sampler, [request_records("r0", status="cut")[4]]) == [request_records("r0", status="cut")[4]]
    assert len(sampler.flush()) == 4 and sampler.held_count == 0


# Losses, backoff, rotation.


def test_losses_are_reported_once_per_reason_and_restored_after_a_failed_write() -> None:
    losses = LossCounter()

    def add() -> None:
        for _ in range(500):
            losses.add("buffer", 1, 7)

    threads = [threading.Thread(target=add) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    losses.add("disk", 3, 9)
    records = losses.drain(20)
    assert [(record.count, record.why, record.since, record.at) for record in records] == [
        (2000, "buffer", 7, 20),
        (3, "disk", 9, 20),
    ]
    assert losses.drain(21) == []
    losses.restore(records)
    losses.add("disk", 1, 30)
    assert [(record.count, record.since) for record in losses.drain(31)] == [(2000, 7), (4, 9)]


def test_a_failing_folder_is_retried_with_exponential_backoff_without_end() -> None:
    backoff, now, delays = RetryBackoff(), timedelta(0), []
    for _ in range(12):
        backoff.record_failure(now)
        delays.append(backoff.next_try - now)
        assert not backoff.may_retry(backoff.next_try - timedelta(microseconds=1)) and backoff.may_retry(
            backoff.next_try
        )
        now = backoff.next_try
    assert delays[:3] == [INITIAL_BACKOFF, 2 * INITIAL_BACKOFF, 4 * INITIAL_BACKOFF] and delays[-1] == MAX_BACKOFF
    backoff.record_success()
    assert backoff.may_retry(timedelta(0))


def test_files_rotate_by_size_and_age_and_only_own_files_are_removed() -> None:
    limits = RetentionLimits(file_bytes=100, file_age=60 * SECOND, total_bytes=400)
    assert rotation_due(limits, 100, SECOND, SECOND) and rotation_due(limits, 1, SECOND, 61 * SECOND)
    assert not rotation_due(limits, 99, SECOND, 60 * SECOND)
    names = [file_name("n1", timedelta(seconds=1_796_000_000 + n)) for n in range(6)]
    assert names == sorted(names) and file_name("a/../b", SECOND).startswith("a_.._b-")
    foreign_names = [
        file_name("n10", SECOND),
        file_name("n2", SECOND),
        "n1-notes.trace",
        "n1-x.txt",
        names[0] + ".part",
    ]
    files = [StoredFile(name, 100) for name in [*reversed(names), *foreign_names]]
    assert files_to_remove(limits, "n1", files, names[5]) == names[:2]
    assert files_to_remove(limits, "n1", files, None) == names[:3]
    assert files_to_remove(limits, "n1", [StoredFile(names[5], 9999)], names[5]) == []


# The recorder, also with a failing folder.


class FaultyFile:
    """A file that writes only as many bytes as a callback allows; the callback may raise."""

    def __init__(self, file: BinaryIO, writable_bytes: Callable[[int], int]) -> None:
        self.file, self.writable_bytes = file, writable_bytes

    def write(self, data: bytes) -> int:
        return self.file.write(memoryview(data)[: self.writable_bytes(len(data))])

    def truncate(self, size: int) -> int:
        return self.file.truncate(size)

    def close(self) -> None:
        self.file.close()


class RecorderHarness:
    """A recorder without a thread, with a manual clock and records of the simulated fleet."""

    def __init__(self, folder: Path, writable_bytes: Callable[[int], int] | None = None, **config: Any) -> None:
        self.folder, self.writable_bytes = folder, writable_bytes
        self.now = timedelta(seconds=1_796_000_000)
        self.counters = Counters()
        self.recorder = Recorder(
            RecorderConfig(folder, "n1", "bergen-hall", **config), self.counters, self.open, lambda: self.now
        )
        self.records = Fleet(rate=100.0).records()

    def open(self, path: Path) -> BinaryIO:
        file = open_file(path)
        return FaultyFile(file, self.writable_bytes) if self.writable_bytes else file  # type: ignore[return-value]

    def emit(self, count: int) -> list[Record]:
        records = list(itertools.islice(self.records, count))
        for record in records:
            self.recorder._emit(record)
        return records

    def flush(self, seconds: float = 1.0) -> None:
        self.now += timedelta(seconds=seconds)
        self.recorder.flush()

    def read(self) -> list[Record]:
        records: list[Record] = []
        for path in sorted(self.folder.iterdir()):
            with Reader(path) as reader:
                records += reader.read()
                assert not reader.damage_count, reader.damage
        return records


def test_flushed_records_are_in_the_open_file_with_their_source(tmp_path: Path) -> None:
    harness = RecorderHarness(tmp_path)
    sent = harness.emit(5000)
    harness.flush()
    assert harness.read() == sent and sent[0].src == "n1"  # the file is still open
    later = harness.emit(10)
    harness.flush()
    assert harness.read() == sent + later
    assert harness.counters.get("trace_records") == 5010


def test_a_full_queue_drops_records_and_reports_the_loss(tmp_path: Path) -> None:
    harness = RecorderHarness(tmp_path, buffer_size=100)
    sent = harness.emit(250)
    harness.flush()
    lost, *kept = harness.read()
    assert isinstance(lost, Lost) and (lost.count, lost.why, lost.since) == (150, "buffer", sent[100].at)
    assert kept == sent[:100] and harness.counters.get("trace_lost") == 150
    later = harness.emit(5)
    harness.flush()
    assert harness.read()[101:] == later


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("partial_write", [False, True])
def test_a_failing_disk_costs_reported_records_and_recording_resumes(
    tmp_path: Path, error_number: int, partial_write: bool
) -> None:
    broken: list[int] = []

    def writable_bytes(size: int) -> int:
        if not broken:
            return size
        if partial_write and broken[0] == 0:
            broken[0] = 1
            return size // 2  # a full disk accepts a part, and fails at the next call
        raise OSError(error_number, os.strerror(error_number))

    harness = RecorderHarness(tmp_path, writable_bytes)
    first = harness.emit(50)
    harness.flush()
    broken.append(0)
    lost = harness.emit(30)
    harness.flush()
    assert harness.read() == first  # the partial block was removed
    harness.emit(20)
    harness.flush(0.5)  # within the backoff: not tried
    broken.clear()
    last = harness.emit(10)
    harness.flush(2.0)
    records = harness.read()
    losses = [r for r in records if isinstance(r, Lost)]
    assert [(t.count, t.why, t.since) for t in losses] == [(50, "disk", lost[0].at)]
    assert [r for r in records if not isinstance(r, Lost)] == first + last
    assert harness.counters.get("trace_lost") == 50 and harness.counters.get("trace_failed") == 1


def test_an_unwritable_folder_is_used_as_soon_as_it_becomes_writable(tmp_path: Path) -> None:
    (tmp_path / "f").write_text("in the way")
    harness = RecorderHarness(tmp_path / "f")
    harness.emit(5)
    harness.flush()
    (tmp_path / "f").unlink()
    (tmp_path / "f").mkdir()
    sent = harness.emit(5)
    harness.flush(5)
    assert [type(r) for r in harness.read()][:1] == [Lost] and harness.read()[1:] == sent


def test_a_record_that_cannot_be_encoded_is_counted_as_lost(tmp_path: Path) -> None:
    harness = RecorderHarness(tmp_path)
    harness.recorder._emit(Stand("r", "a", at=1 << 70))
    harness.flush()
    sent = harness.emit(3)
    harness.flush(5)
    assert [(type(r), getattr(r, "count", 1)) for r in harness.read()][:1] == [(Lost, 1)] and harness.read()[1:] == sent


def test_files_rotate_within_the_total_size_limit(tmp_path: Path) -> None:
    harness = RecorderHarness(
        tmp_path, limits=RetentionLimits(file_bytes=20_000, file_age=30 * SECOND, total_bytes=60_000)
    )
    for _ in range(30):
        harness.emit(200)
        harness.flush(3)
        assert sum(p.stat().st_size for p in tmp_path.iterdir()) <= 70_000
    names = sorted(p.name for p in tmp_path.iterdir())
    assert len(names) >= 2 and harness.counters.get("trace_files_removed") >= 3
    assert len(harness.read()) < 6000 and harness.read()[-1].src == "n1"


def test_the_simulated_fleet_yields_every_kind_of_record() -> None:
    """Other tests and the benchmarks rely on this."""
    records = list(itertools.islice(Fleet(script=((1, "drain", "1"), (2, "die", "2")), rate=60.0).records(), 6000))
    kinds = Count(type(r).__name__ for r in records)
    assert set(kinds) >= {
        "Request",
        "Decision",
        "ProbeSent",
        "Probed",
        "Attempt",
        "Answer",
        "Stand",
        "Ended",
        "Moved",
        "Listed",
    }
    answers = Count(r.id for r in records if isinstance(r, Answer))
    assert max(answers.values()) == 1
    assert all(r.candidates for r in records if isinstance(r, Decision) and r.what == "attempt")
