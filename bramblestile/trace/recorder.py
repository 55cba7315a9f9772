"""The recorder in the daemon: a bounded queue, and one thread that writes what is in it.

Guarantees: no method that a request calls waits, touches a file or raises; what is flushed is in the file before the
next flush begins, so a killed program loses at most the last ``flush`` span (and what sampling holds); a folder that
fails costs records, which are counted and told in the trace, and recording resumes by itself.
"""

from __future__ import annotations

import os
import threading
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any, BinaryIO

from bramblestile import __version__
from bramblestile.clock import MICROSECOND, now
from bramblestile.log import Log, add_sink, remove_sink
from bramblestile.memory.counters import Counters
from bramblestile.trace import frames, records
from bramblestile.trace.files import Writer
from bramblestile.trace.intake import BUFFER, DISK, HELD, Losses, Pace
from bramblestile.trace.keeping import Limits, Stored, file_name, is_due, to_remove
from bramblestile.trace.records import Record
from bramblestile.trace.sampling import Sampler
from bramblestile.tracing import Tracer
from vanegw import interface as api
from vanegw.recording import DecisionSnapshot, round_to_fraction

LEVEL = 1  # zstandard's: the daemon's core has better to do
BLOCK = 4096  # records of one block: encoding one holds the interpreter for some 3 ms at a time
STOP_WITHIN = timedelta(milliseconds=300)  # of the 600 ms between the last move and SIGKILL


@dataclass(slots=True, frozen=True)
class Plan:
    """What an operator's file says of tracing. ``keep``: the sampler's shares, by class."""

    directory: Path
    instance: str
    hall: str
    flush: timedelta = timedelta(seconds=1)
    buffer: int = 8192
    limits: Limits = field(default_factory=Limits)
    keep: Mapping[str, float] = field(default_factory=dict)


def open_file(path: Path) -> BinaryIO:
    """Unbuffered: what ``write`` has taken survives the program."""
    return open(path, "xb", buffering=0)


class _Whole:
    """A raw file whose writes are whole or raise: a raw file may take a part and say so only by its count."""

    def __init__(self, file: BinaryIO) -> None:
        self.file = file

    def write(self, data: bytes) -> int:
        view = memoryview(data)
        while view:
            taken = self.file.write(view)
            if not taken:
                raise OSError("the file takes nothing")
            view = view[taken:]
        return len(data)


class Shaper(Tracer):
    """Makes a record of each thing that it is told; where the record goes is its maker's choice."""

    watching = True
    belief = records.Candidate

    def __init__(self, put: Callable[[Record], None]) -> None:
        self._put = put

    def request(self, at: timedelta, front: str, request: api.Request, bound_to: str | None) -> None:
        self._put(
            records.Request(
                request.id,
                front,
                request.cls,
                request.remaining_us,
                request.tenant,
                _hex(request.key),
                _hex(request.group),
                request.load_hint,
                request.is_retry,
                request.is_return,
                bound_to,
                at=at // MICROSECOND,
            )
        )

    def decision(self, at: timedelta, view: DecisionSnapshot) -> None:
        self._put(
            records.Decision(
                view.id,
                view.decision,
                view.cause,
                view.attempt,
                view.backend,
                None if view.until_us is None else view.until_us - at // MICROSECOND,
                view.retry_after_us,
                round_to_fraction(view.average_load, 1000),
                round_to_fraction(view.timeout_rate, 1000),
                view.candidates,
                at=at // MICROSECOND,
            )
        )

    def probe_sent(self, at: timedelta, front: str, host: str) -> None:
        self._put(records.ProbeSent(host, front, at=at // MICROSECOND))

    def probed(self, at: timedelta, front: str, result: api.ProbeResult) -> None:
        said = result.report or api.Report()
        self._put(
            records.Probed(
                result.backend,
                result.status.name.lower(),
                result.took_us,
                front,
                said.load,
                said.utilisation,
                said.queue,
                said.inflight,
                said.backlog_s,
                said.latency_ms,
                at=at // MICROSECOND,
            )
        )

    def attempt(
        self, at: timedelta, id: str, number: int, host: str, status: str, took_us: int, detail: str = ""
    ) -> None:
        self._put(records.Attempt(id, number, host, status, took_us, detail or None, at=at // MICROSECOND))

    def answer(
        self,
        at: timedelta,
        request: api.Request,
        outcome: str,
        attempts: int,
        took: timedelta,
        host: str | None = None,
        wait_us: int | None = None,
    ) -> None:
        self._put(
            records.Answer(
                request.id,
                outcome,
                request.cls,
                attempts,
                took // MICROSECOND,
                request.tenant,
                host,
                wait_us,
                at=at // MICROSECOND,
            )
        )

    def stand(self, at: timedelta, id: str, host: str, resumed: bool) -> None:
        self._put(records.Stand(id, host, resumed, at=at // MICROSECOND))

    def note(self, at: timedelta, note: api.Note) -> None:
        self._put(
            records.Note(
                note.id, note.backend, note.kind.name.lower(), round_to_fraction(note.value, 1000), at=at // MICROSECOND
            )
        )

    def moved(self, at: timedelta, id: str, host: str, reason: str) -> None:
        self._put(records.Moved(id, host, reason, at=at // MICROSECOND))

    def ended(self, at: timedelta, id: str, host: str, status: str, took: timedelta, moved: bool) -> None:
        self._put(records.Ended(id, host, status, took // MICROSECOND, moved, at=at // MICROSECOND))

    def listed(self, at: timedelta, front: str, event: api.BackendList) -> None:
        self._put(
            records.Listed(
                front,
                event.mode.value,
                [records.HostState(b.name, b.state.value, b.zone, b.weight, b.started_us or 0) for b in event.backends],
                at=at // MICROSECOND,
            )
        )

    def started(self, at: timedelta, hall: str, fronts: Sequence[str]) -> None:
        self._put(records.Started(hall, __version__, ",".join(fronts), at=at // MICROSECOND))

    def stopped(self, at: timedelta, standing: int) -> None:
        self._put(records.Stopped(standing, at=at // MICROSECOND))

    def reloaded(self, at: timedelta, taken: bool, text: str) -> None:
        self._put(records.Reloaded(taken, text, at=at // MICROSECOND))


class Recorder(Shaper):
    def __init__(
        self,
        plan: Plan,
        counters: Counters,
        open_: Callable[[Path], BinaryIO] = open_file,
        clock: Callable[[], timedelta] = now,
    ) -> None:
        super().__init__(self._take)
        self.plan = plan
        self.losses = Losses()
        self.sampler = Sampler(plan.keep)
        self._counters = counters
        self._open = open_
        self._clock = clock
        self._log = Log(part="trace")
        self._pace = Pace()
        self._queue: deque[Record] = deque()
        self._most = plan.buffer
        self._wake = threading.Event()
        self._stopping = False
        self._thread: threading.Thread | None = None
        self._file: BinaryIO | None = None
        self._writer: Writer | None = None
        self._name: str | None = None
        self._opened = timedelta(0)
        self._counted = 0  # losses that the counters have heard of
        self._sound = 0  # bytes of the open file that are whole blocks

    # Called on the way of a request, by way of the methods above.

    def _take(self, record: Record) -> None:
        queue = self._queue
        # Several threads may pass the test together: the queue is over its bound by their number at most.
        waiting, most = len(queue), self._most
        if waiting >= most:
            self.losses.add(BUFFER, 1, record.at)
            self._wake.set()
            return
        queue.append(record)
        if waiting == most // 2:
            self._wake.set()

    def logged(self, level: str, event: str, text: str, fields: dict[str, Any]) -> None:
        """A sink of the log's."""
        if fields.get("part") != "trace":  # our own troubles must not feed themselves
            id_ = fields.get("id")
            self._put(
                records.Logged(level, event, text, None if id_ is None else str(id_), at=self._clock() // MICROSECOND)
            )

    # The writer's thread.

    def start(self) -> None:
        add_sink(self.logged)
        self._thread = threading.Thread(target=self._run, name="trace", daemon=True)
        self._thread.start()

    def stop(self, within: timedelta = STOP_WITHIN) -> None:
        """Writes what is there and closes the file, in bounded time: a folder that hangs must hold up no exit."""
        remove_sink(self.logged)
        self._stopping = True
        self._wake.set()
        if self._thread is not None:
            self._thread.join(within.total_seconds())

    def _run(self) -> None:
        while not self._stopping:
            self._wake.wait(self.plan.flush.total_seconds())
            self._wake.clear()
            self.flush()
        self.flush(last=True)
        self._close()

    def flush(self, last: bool = False) -> None:
        """Writes what the queue holds now. Called by the writer's thread (and by tests, which start none)."""
        at = self._clock()
        self._counters.add("trace_lost", self.losses.total - self._counted)
        self._counted = self.losses.total
        taken = [self._queue.popleft() for _ in range(len(self._queue))]
        rows = taken
        if self.plan.keep:
            rows = [kept for record in taken for kept in self.sampler.offer(record)]
        if last:
            rows += self.sampler.rest()
        self.losses.add(HELD, self.sampler.given_up, at // MICROSECOND)
        self.sampler.given_up = 0
        if not rows:
            return
        if not self._pace.may_try(at):
            self.losses.add(DISK, len(rows), rows[0].at)
            return
        for start in range(0, len(rows), BLOCK):
            if not self._write(rows[start : start + BLOCK], at):
                self.losses.add(DISK, len(rows) - start, rows[start].at)
                return
        self._pace.succeeded()

    def _write(self, rows: list[Record], at: timedelta) -> bool:
        told = self.losses.take(at // MICROSECOND)
        rows = [*told, *rows]
        for record in rows:
            record.src = self.plan.instance
        try:
            writer = self._ready(at)
            writer.write(rows)
        except Exception as error:
            # Whatever it is, a record that cannot be encoded included: the program serves on without its trace.
            self._counters.add("trace_failed")
            self._log.seldom("trace not written", directory=self.plan.directory, error=repr(error))
            self._pace.failed(at)
            self._give_up()
            self.losses.put_back(told)
            return False
        self._sound = writer.bytes
        self._counters.add("trace_records", len(rows))
        return True

    def _ready(self, at: timedelta) -> Writer:
        if self._writer is not None and is_due(self.plan.limits, self._writer.bytes, self._opened, at):
            self._close()
        if self._writer is None:
            self._name = file_name(self.plan.instance, at)
            self._make_room()
            self._file = self._open(self.plan.directory / self._name)
            self._sound = 0
            self._writer = Writer(
                _Whole(self._file),
                {
                    "instance": self.plan.instance,
                    "hall": self.plan.hall,
                    "program": __version__,
                    "opened_us": at // MICROSECOND,
                    "flush_us": self.plan.flush // MICROSECOND,
                    "keep": dict(self.plan.keep),
                },
                LEVEL,
                BLOCK,
                frames.ROWS,
            )
            self._opened = at
        return self._writer

    def _make_room(self) -> None:
        with os.scandir(self.plan.directory) as entries:
            files = [Stored(e.name, e.stat().st_size) for e in entries if e.is_file(follow_symlinks=False)]
        for name in to_remove(self.plan.limits, self.plan.instance, files, self._name):
            with suppress(FileNotFoundError):
                (self.plan.directory / name).unlink()
            self._counters.add("trace_files_removed")

    def _give_up(self) -> None:
        """After a failed write the file ends with its last whole block; one without a block goes. A disk that is full
        for days must not fill with empty files."""
        if self._file is not None and self._name is not None:
            with suppress(Exception):
                if self._sound:
                    self._file.truncate(self._sound)
                else:
                    (self.plan.directory / self._name).unlink()
        self._close()

    def _close(self) -> None:
        if self._file is not None:
            with suppress(OSError):
                self._file.close()
        self._file = self._writer = None


def _hex(value: int | None) -> str | None:
    return None if value is None else f"{value:016x}"
