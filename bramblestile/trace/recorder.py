"""The recorder of the daemon: a bounded queue, and one thread that writes it to trace files.

No method that is called in the request path blocks, accesses a file or raises. Each flush is in the file before the
next one begins, so a killed program loses at most the records of the last flush interval and those that the sampler
holds. A folder that fails costs records, which are counted and reported in the trace; recording resumes by itself.
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
from bramblestile.trace.losses import BUFFER, DISK, HELD, LossCounter, RetryBackoff
from bramblestile.trace.records import Record
from bramblestile.trace.retention import RetentionLimits, StoredFile, file_name, files_to_remove, rotation_due
from bramblestile.trace.sampling import Sampler
from bramblestile.tracing import Tracer
from vanegw import interface as api
from vanegw.recording import DecisionSnapshot, round_to_fraction

ZSTD_LEVEL = 1  # the daemon's CPU time is needed for requests
BLOCK_RECORDS = 4096  # encoding one block holds the interpreter lock for about 3 ms
STOP_TIMEOUT = timedelta(milliseconds=300)  # 600 ms remain between the last move and SIGKILL


@dataclass(slots=True, frozen=True)
class RecorderConfig:
    """The settings of the recorder. ``keep_shares`` is the share of requests to keep, by class."""

    directory: Path
    instance: str
    hall: str
    flush_interval: timedelta = timedelta(seconds=1)
    buffer_size: int = 8192
    limits: RetentionLimits = field(default_factory=RetentionLimits)
    keep_shares: Mapping[str, float] = field(default_factory=dict)


def open_file(path: Path) -> BinaryIO:
    """Open a new file without a buffer: what ``write`` has accepted survives a crash of the program."""
    return open(path, "xb", buffering=0)


class _FullWriteFile:
    """A raw file whose ``write`` writes everything or raises.

    A raw file may write only a part and report that only in its return value.
    """

    def __init__(self, file: BinaryIO) -> None:
        self.file = file

    def write(self, data: bytes) -> int:
        remaining = memoryview(data)
        while remaining:
            written = self.file.write(remaining)
            if not written:
                raise OSError("the file accepts no more bytes")
            remaining = remaining[written:]
        return len(data)


class RecordBuilder(Tracer):
    """Builds a record for each event and passes it to ``emit``."""

    recording = True
    make_candidate = records.Candidate

    def __init__(self, emit: Callable[[Record], None]) -> None:
        self._emit = emit

    def request(self, at: timedelta, front_name: str, request: api.Request, bound_to: str | None) -> None:
        """Record the arrival of a request."""
        self._emit(
            records.Request(
                request.id,
                front_name,
                request.cls,
                request.remaining_us,
                request.tenant,
                _to_hex(request.key),
                _to_hex(request.group),
                request.load_hint,
                request.is_retry,
                request.is_return,
                bound_to,
                at=at // MICROSECOND,
            )
        )

    def decision(self, at: timedelta, view: DecisionSnapshot) -> None:
        """Record a decision with its candidates."""
        self._emit(
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

    def probe_sent(self, at: timedelta, front_name: str, host: str) -> None:
        """Record that a probe was sent."""
        self._emit(records.ProbeSent(host, front_name, at=at // MICROSECOND))

    def probed(self, at: timedelta, front_name: str, result: api.ProbeResult) -> None:
        """Record the result of a probe."""
        report = result.report or api.Report()
        self._emit(
            records.Probed(
                result.backend,
                result.status.name.lower(),
                result.took_us,
                front_name,
                report.load,
                report.utilisation,
                report.queue,
                report.inflight,
                report.backlog_s,
                report.latency_ms,
                at=at // MICROSECOND,
            )
        )

    def attempt(
        self, at: timedelta, id: str, attempt_index: int, host: str, status: str, took_us: int, detail: str = ""
    ) -> None:
        """Record the end of an upstream request."""
        self._emit(records.Attempt(id, attempt_index, host, status, took_us, detail or None, at=at // MICROSECOND))

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
        """Record the final answer to a request."""
        self._emit(
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

    def connection_established(self, at: timedelta, id: str, host: str, resumed: bool) -> None:
        """Record that a connection is established."""
        self._emit(records.Stand(id, host, resumed, at=at // MICROSECOND))

    def note(self, at: timedelta, note: api.Note) -> None:
        """Record a note on an established connection."""
        self._emit(
            records.Note(
                note.id, note.backend, note.kind.name.lower(), round_to_fraction(note.value, 1000), at=at // MICROSECOND
            )
        )

    def connection_moved(self, at: timedelta, id: str, host: str, reason: str) -> None:
        """Record that an established connection was told to move."""
        self._emit(records.Moved(id, host, reason, at=at // MICROSECOND))

    def connection_ended(self, at: timedelta, id: str, host: str, status: str, took: timedelta, moved: bool) -> None:
        """Record the end of an established connection."""
        self._emit(records.Ended(id, host, status, took // MICROSECOND, moved, at=at // MICROSECOND))

    def host_list_received(self, at: timedelta, front_name: str, event: api.BackendList) -> None:
        """Record that a front received a host list, with the state of each host in it."""
        self._emit(
            records.Listed(
                front_name,
                event.mode.value,
                [records.HostState(b.name, b.state.value, b.zone, b.weight, b.started_us or 0) for b in event.backends],
                at=at // MICROSECOND,
            )
        )

    def process_started(self, at: timedelta, hall: str, fronts: Sequence[str]) -> None:
        """Record the start of the program."""
        self._emit(records.Started(hall, __version__, ",".join(fronts), at=at // MICROSECOND))

    def process_stopped(self, at: timedelta, open_connections: int) -> None:
        """Record the stop of the program."""
        self._emit(records.Stopped(open_connections, at=at // MICROSECOND))

    def configuration_reloaded(self, at: timedelta, applied: bool, error: str) -> None:
        """Record a reload of the configuration."""
        self._emit(records.Reloaded(applied, error, at=at // MICROSECOND))


class Recorder(RecordBuilder):
    """Queues records, and writes them to rotating files in a thread of its own."""

    def __init__(
        self,
        config: RecorderConfig,
        counters: Counters,
        open_: Callable[[Path], BinaryIO] = open_file,
        clock: Callable[[], timedelta] = now,
    ) -> None:
        super().__init__(self._enqueue)
        self.config = config
        self.losses = LossCounter()
        self.sampler = Sampler(config.keep_shares)
        self._counters = counters
        self._open = open_
        self._clock = clock
        self._log = Log(part="trace")
        self._backoff = RetryBackoff()
        self._queue: deque[Record] = deque()
        self._max_queued = config.buffer_size
        self._wake = threading.Event()
        self._stopping = False
        self._thread: threading.Thread | None = None
        self._file: BinaryIO | None = None
        self._writer: Writer | None = None
        self._name: str | None = None
        self._opened_at = timedelta(0)
        self._reported_losses = 0  # losses already added to the counters
        self._valid_bytes = 0  # size of the open file up to the end of its last whole block

    # Called in the request path, through the methods of RecordBuilder.

    def _enqueue(self, record: Record) -> None:
        queue = self._queue
        # Several threads may pass this check at once; the queue then exceeds its limit by at most their number.
        queued, limit = len(queue), self._max_queued
        if queued >= limit:
            self.losses.add(BUFFER, 1, record.at)
            self._wake.set()
            return
        queue.append(record)
        if queued == limit // 2:
            self._wake.set()

    def logged(self, level: str, event: str, text: str, fields: dict[str, Any]) -> None:
        """Record a log line; called as a sink of the log."""
        if fields.get("part") != "trace":  # a failure to write must not produce more records
            id_ = fields.get("id")
            self._emit(
                records.Logged(level, event, text, None if id_ is None else str(id_), at=self._clock() // MICROSECOND)
            )

    # The writer thread.

    def start(self) -> None:
        """Start the writer thread and subscribe to the log."""
        add_sink(self.logged)
        self._thread = threading.Thread(target=self._run, name="trace", daemon=True)
        self._thread.start()

    def stop(self, timeout: timedelta = STOP_TIMEOUT) -> None:
        """Write the remaining records and close the file, within ``timeout`` even if the folder hangs."""
        remove_sink(self.logged)
        self._stopping = True
        self._wake.set()
        if self._thread is not None:
            self._thread.join(timeout.total_seconds())

    def _run(self) -> None:
        while not self._stopping:
            self._wake.wait(self.config.flush_interval.total_seconds())
            self._wake.clear()
            self.flush()
        self.flush(last=True)
        self._close_file()

    def flush(self, last: bool = False) -> None:
        """Write what the queue holds now; called by the writer thread, or by tests that run none."""
        at = self._clock()
        self._counters.add("trace_lost", self.losses.total - self._reported_losses)
        self._reported_losses = self.losses.total
        queued = [self._queue.popleft() for _ in range(len(self._queue))]
        batch = queued
        if self.config.keep_shares:
            batch = [due for record in queued for due in self.sampler.offer(record)]
        if last:
            batch += self.sampler.flush()
        self.losses.add(HELD, self.sampler.evicted, at // MICROSECOND)
        self.sampler.evicted = 0
        if not batch:
            return
        if not self._backoff.may_retry(at):
            self.losses.add(DISK, len(batch), batch[0].at)
            return
        for start in range(0, len(batch), BLOCK_RECORDS):
            if not self._write(batch[start : start + BLOCK_RECORDS], at):
                self.losses.add(DISK, len(batch) - start, batch[start].at)
                return
        self._backoff.record_success()

    def _write(self, batch: list[Record], at: timedelta) -> bool:
        """Write a batch, with the records of losses before it; return False and restore those losses on a failure."""
        lost = self.losses.drain(at // MICROSECOND)
        batch = [*lost, *batch]
        for record in batch:
            record.src = self.config.instance
        try:
            writer = self._open_writer(at)
            writer.write_block(batch)
        except Exception as error:
            # Whatever failed, including the encoding of a record, the program continues to serve without its trace.
            self._counters.add("trace_failed")
            self._log.warning_rate_limited("trace not written", directory=self.config.directory, error=repr(error))
            self._backoff.record_failure(at)
            self._truncate_file()
            self.losses.restore(lost)
            return False
        self._valid_bytes = writer.bytes_written
        self._counters.add("trace_records", len(batch))
        return True

    def _open_writer(self, at: timedelta) -> Writer:
        if self._writer is not None and rotation_due(
            self.config.limits, self._writer.bytes_written, self._opened_at, at
        ):
            self._close_file()
        if self._writer is None:
            self._name = file_name(self.config.instance, at)
            self._remove_old_files()
            self._file = self._open(self.config.directory / self._name)
            self._valid_bytes = 0
            self._writer = Writer(
                _FullWriteFile(self._file),
                {
                    "instance": self.config.instance,
                    "hall": self.config.hall,
                    "program": __version__,
                    "opened_us": at // MICROSECOND,
                    "flush_us": self.config.flush_interval // MICROSECOND,
                    "keep": dict(self.config.keep_shares),
                },
                ZSTD_LEVEL,
                BLOCK_RECORDS,
                frames.ROWS,
            )
            self._opened_at = at
        return self._writer

    def _remove_old_files(self) -> None:
        with os.scandir(self.config.directory) as entries:
            files = [StoredFile(e.name, e.stat().st_size) for e in entries if e.is_file(follow_symlinks=False)]
        for name in files_to_remove(self.config.limits, self.config.instance, files, self._name):
            with suppress(FileNotFoundError):
                (self.config.directory / name).unlink()
            self._counters.add("trace_files_removed")

    def _truncate_file(self) -> None:
        """After a failed write, cut the file after its last whole block, or remove it if it has none.

        Otherwise a disk that is full for days would fill up with empty files.
        """
        if self._file is not None and self._name is not None:
            with suppress(Exception):
                if self._valid_bytes:
                    self._file.truncate(self._valid_bytes)
                else:
                    (self.config.directory / self._name).unlink()
        self._close_file()

    def _close_file(self) -> None:
        if self._file is not None:
            with suppress(OSError):
                self._file.close()
        self._file = self._writer = None


def _to_hex(value: int | None) -> str | None:
    return None if value is None else f"{value:016x}"
