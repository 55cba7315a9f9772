"""The recorder: what it keeps, drops, rotates, and how it takes a folder that fails."""

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


# The witness.


def test_a_witness_changes_no_decision_and_tells_what_the_draw_went_by() -> None:
    plain, watched = BalancerDriver(seed=5), BalancerDriver(seed=5)
    watched.balancer = witness = RecordingBalancer(SETTINGS, 5)
    witness.recording = True
    r = Random(3)
    for driver in (plain, watched):
        driver.set_list(*make_backends(6))
    for n in range(200):
        load = r.random()
        for driver in (plain, watched):
            driver.loads[f"b{n % 6}"] = load
            driver.now_us += 40_000
            for attempt in (a for a in driver.request() if isinstance(a, api.Attempt)):
                if n % 3:
                    driver.open_connection(attempt)
                else:
                    driver.end_attempt(attempt, api.Status.NO_ROOM)
    assert plain.all_actions == watched.all_actions
    watched.now_us += 10_000_000  # every figure is asked for anew: none of the drawn ones can refuse it
    event = api.Request("x", "feed", remaining_us=3_200_000)
    made = witness.handle(watched.now_us, event)
    for action in [a for a in made if isinstance(a, api.Probe)]:
        made = witness.handle(
            watched.now_us, api.ProbeResult(action.backend, api.Status.SERVED, 1, api.Report(load=0.2))
        )
    (view,) = witness.decisions
    chosen = next(b for b in view.candidates if b.backend == view.backend)
    assert view.id == "x" and chosen.weight is not None and chosen.load is not None
    assert max(b.weight or 0 for b in view.candidates) == 256
    assert all(b.estimated_load is not None for b in view.candidates)


def test_a_refusal_tells_the_hosts_that_were_full() -> None:
    driver = BalancerDriver()
    driver.balancer = witness = RecordingBalancer(SETTINGS, 1)
    witness.recording = True
    driver.set_list(*make_backends(2))
    driver.loads = {"b0": 0.95, "b1": 0.9}
    driver.request()
    (view,) = witness.decisions
    assert view.decision == "refuse" and view.retry_after_us == 0 and view.backend is None
    assert {(b.backend, b.load, b.weight) for b in view.candidates} == {("b0", 0.95, None), ("b1", 0.9, None)}


# Sampling.


def story(name: str, outcome: str = "served", end: str = "served", cls: str = "feed") -> list[Record]:
    out: list[Record] = [
        Request(name, "lines", cls, 1, at=1),
        Attempt(name, 0, "a", "up", 1, at=2),
        Answer(name, outcome, cls, 1, 1, at=3),
    ]
    return out + ([Stand(name, "a", at=4), Ended(name, "a", end, 1, at=5)] if outcome == "served" else [])


def play(sampler: Sampler, records: list[Record]) -> list[Record]:
    return [out for record in records for out in sampler.offer(record)]


@pytest.mark.parametrize(
    "kept",
    [
        story("r", "refused"),
        story("r", "failed"),
        story("r", "left"),
        story("r", end="cut"),
        story("r", end="timed_out"),
        [*story("r")[:4], Moved("r", "a", "hush", at=5), Ended("r", "a", "cancelled", 1, moved=True, at=6)],
        story("r", cls="edit"),
    ],
)
def test_what_went_wrong_is_kept_whole_and_in_order(kept: list[Record]) -> None:
    sampler = Sampler({"feed": 0.0})
    assert play(sampler, kept) == kept and sampler.held_count == 0 and sampler.flush() == []


def test_what_went_well_is_kept_by_its_share_and_alike_everywhere() -> None:
    r = Random(1)
    stories = [story(f"{r.getrandbits(64):016x}") for _ in range(2000)]
    kept = [play(Sampler({"feed": 0.1}), one) for one in stories]
    again = [play(Sampler({"feed": 0.1}), one) for one in stories]
    assert kept == again and all(one in ([], before) for one, before in zip(kept, stories, strict=True))
    assert 150 <= sum(map(bool, kept)) <= 250
    sampler = Sampler({"feed": 0.0})
    assert play(sampler, stories[0]) == [] and (sampler.held_count, sampler.dropped) == (0, 5)
    assert play(sampler, [Note("", "a", "delay", 1.0, at=1)])  # a note of no known story is no story's loss


def test_stories_that_are_held_are_bounded_and_the_oldest_is_given_up() -> None:
    sampler = Sampler({"feed": 0.0}, max_held=10)
    for n in range(6):
        assert play(sampler, story(f"r{n}")[:4]) == []
    assert sampler.held_count <= 10 and sampler.evicted == 16
    assert play(sampler, [story("r5", end="cut")[4]]) == story("r5", end="cut")
    assert play(sampler, [story("r0", end="cut")[4]]) == [story("r0", end="cut")[4]]  # what is left of it
    assert len(sampler.flush()) == 4 and sampler.held_count == 0


# Losses, pace, rotation.


def test_losses_are_told_once_by_reason_and_come_back_where_they_could_not_be_written() -> None:
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
    told = losses.drain(20)
    assert [(t.count, t.why, t.since, t.at) for t in told] == [(2000, "buffer", 7, 20), (3, "disk", 9, 20)]
    assert losses.drain(21) == []
    losses.restore(told)
    losses.add("disk", 1, 30)
    assert [(t.count, t.since) for t in losses.drain(31)] == [(2000, 7), (4, 9)]


def test_a_failing_folder_is_tried_again_ever_more_seldom_but_never_given_up() -> None:
    pace, now, pauses = RetryBackoff(), timedelta(0), []
    for _ in range(12):
        pace.record_failure(now)
        pauses.append(pace.next_try - now)
        assert not pace.may_retry(pace.next_try - timedelta(microseconds=1)) and pace.may_retry(pace.next_try)
        now = pace.next_try
    assert pauses[:3] == [INITIAL_BACKOFF, 2 * INITIAL_BACKOFF, 4 * INITIAL_BACKOFF] and pauses[-1] == MAX_BACKOFF
    pace.record_success()
    assert pace.may_retry(timedelta(0))


def test_rotation_by_size_and_age_and_only_own_files_go() -> None:
    limits = RetentionLimits(file_bytes=100, file_age=60 * SECOND, total_bytes=400)
    assert rotation_due(limits, 100, SECOND, SECOND) and rotation_due(limits, 1, SECOND, 61 * SECOND)
    assert not rotation_due(limits, 99, SECOND, 60 * SECOND)
    names = [file_name("n1", timedelta(seconds=1_796_000_000 + n)) for n in range(6)]
    assert names == sorted(names) and file_name("a/../b", SECOND).startswith("a_.._b-")
    others = [file_name("n10", SECOND), file_name("n2", SECOND), "n1-notes.trace", "n1-x.txt", names[0] + ".part"]
    files = [StoredFile(name, 100) for name in [*reversed(names), *others]]
    assert files_to_remove(limits, "n1", files, names[5]) == names[:2]
    assert files_to_remove(limits, "n1", files, None) == names[:3]
    assert files_to_remove(limits, "n1", [StoredFile(names[5], 9999)], names[5]) == []


# The recorder on a folder that fails.


class Faulty:
    """A file that takes so many bytes and then fails, or takes a part only."""

    def __init__(self, file: BinaryIO, fault: Callable[[int], int]) -> None:
        self.file, self.fault = file, fault

    def write(self, data: bytes) -> int:
        return self.file.write(memoryview(data)[: self.fault(len(data))])

    def truncate(self, size: int) -> int:
        return self.file.truncate(size)

    def close(self) -> None:
        self.file.close()


class Bench:
    """A recorder with a clock by hand and no thread."""

    def __init__(self, folder: Path, fault: Callable[[int], int] | None = None, **plan: Any) -> None:
        self.folder, self.fault = folder, fault
        self.now = timedelta(seconds=1_796_000_000)
        self.counters = Counters()
        self.recorder = Recorder(
            RecorderConfig(folder, "n1", "bergen-hall", **plan), self.counters, self.open, lambda: self.now
        )
        self.records = Fleet(rate=100.0).records()

    def open(self, path: Path) -> BinaryIO:
        file = open_file(path)
        return Faulty(file, self.fault) if self.fault else file  # type: ignore[return-value]

    def feed(self, count: int) -> list[Record]:
        rows = list(itertools.islice(self.records, count))
        for row in rows:
            self.recorder._emit(row)
        return rows

    def flush(self, seconds: float = 1.0) -> None:
        self.now += timedelta(seconds=seconds)
        self.recorder.flush()

    def read(self) -> list[Record]:
        out: list[Record] = []
        for path in sorted(self.folder.iterdir()):
            with Reader(path) as reader:
                out += reader.read()
                assert not reader.damage_count, reader.damage
        return out


def test_what_is_flushed_is_in_the_file_at_once_with_its_source(tmp_path: Path) -> None:
    bench = Bench(tmp_path)
    fed = bench.feed(5000)
    bench.flush()
    assert bench.read() == fed and fed[0].src == "n1"  # the file is still open
    more = bench.feed(10)
    bench.flush()
    assert bench.read() == fed + more
    assert bench.counters.get("trace_records") == 5010


def test_a_full_queue_drops_counts_and_tells(tmp_path: Path) -> None:
    bench = Bench(tmp_path, buffer_size=100)
    fed = bench.feed(250)
    bench.flush()
    lost, *kept = bench.read()
    assert isinstance(lost, Lost) and (lost.count, lost.why, lost.since) == (150, "buffer", fed[100].at)
    assert kept == fed[:100] and bench.counters.get("trace_lost") == 150
    more = bench.feed(5)
    bench.flush()
    assert bench.read()[101:] == more


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("partly", [False, True])
def test_a_disk_that_fails_costs_records_that_are_told_and_recording_resumes(
    tmp_path: Path, number: int, partly: bool
) -> None:
    broken: list[int] = []

    def fault(size: int) -> int:
        if not broken:
            return size
        if partly and broken[0] == 0:
            broken[0] = 1
            return size // 2  # a full disk takes what it can, and fails at the next call
        raise OSError(number, os.strerror(number))

    bench = Bench(tmp_path, fault)
    first = bench.feed(50)
    bench.flush()
    broken.append(0)
    lost = bench.feed(30)
    bench.flush()
    assert bench.read() == first  # the half block is taken back
    bench.feed(20)
    bench.flush(0.5)  # within the pause: not tried
    broken.clear()
    last = bench.feed(10)
    bench.flush(2.0)
    got = bench.read()
    told = [r for r in got if isinstance(r, Lost)]
    assert [(t.count, t.why, t.since) for t in told] == [(50, "disk", lost[0].at)]
    assert [r for r in got if not isinstance(r, Lost)] == first + last
    assert bench.counters.get("trace_lost") == 50 and bench.counters.get("trace_failed") == 1


def test_a_folder_that_cannot_be_written_fails_no_start_and_is_used_once_it_can(tmp_path: Path) -> None:
    (tmp_path / "f").write_text("in the way")
    bench = Bench(tmp_path / "f")
    bench.feed(5)
    bench.flush()
    (tmp_path / "f").unlink()
    (tmp_path / "f").mkdir()
    fed = bench.feed(5)
    bench.flush(5)
    assert [type(r) for r in bench.read()][:1] == [Lost] and bench.read()[1:] == fed


def test_a_record_that_no_file_can_hold_ends_nothing(tmp_path: Path) -> None:
    bench = Bench(tmp_path)
    bench.recorder._emit(Stand("r", "a", at=1 << 70))
    bench.flush()
    fed = bench.feed(3)
    bench.flush(5)
    assert [(type(r), getattr(r, "count", 1)) for r in bench.read()][:1] == [(Lost, 1)] and bench.read()[1:] == fed


def test_files_rotate_and_the_total_is_bounded(tmp_path: Path) -> None:
    bench = Bench(tmp_path, limits=RetentionLimits(file_bytes=20_000, file_age=30 * SECOND, total_bytes=60_000))
    for _ in range(30):
        bench.feed(200)
        bench.flush(3)
        assert sum(p.stat().st_size for p in tmp_path.iterdir()) <= 70_000
    names = sorted(p.name for p in tmp_path.iterdir())
    assert len(names) >= 2 and bench.counters.get("trace_files_removed") >= 3
    assert len(bench.read()) < 6000 and bench.read()[-1].src == "n1"


def test_the_mix_has_every_step_of_a_request_in_it() -> None:
    """What the other tests and the measurements stand on."""
    rows = list(itertools.islice(Fleet(script=((1, "drain", "1"), (2, "die", "2")), rate=60.0).records(), 6000))
    kinds = Count(type(r).__name__ for r in rows)
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
    answers = Count(r.id for r in rows if isinstance(r, Answer))
    assert max(answers.values()) == 1
    assert all(r.candidates for r in rows if isinstance(r, Decision) and r.what == "attempt")
