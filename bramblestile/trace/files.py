"""Trace files on disk: a writer that appends whole blocks, and a reader that hops over them.

The reader guarantees: it raises TraceError and OSError and nothing else, returns no record of a block whose checksum
does not hold, and takes memory for one block at a time (frames.MOST_RAW), whatever the file claims.
"""

from __future__ import annotations

import os
import secrets
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, BinaryIO, Protocol

from bramblestile.trace import frames, payload
from bramblestile.trace.columns import ColumnError
from bramblestile.trace.frames import FRAME_SIZE, Frame, Packer, TraceError, Unpacker
from bramblestile.trace.payload import Unknown
from bramblestile.trace.records import Record, corrected, hosts_of, ids_of

BESIDE = min(4, os.cpu_count() or 1)  # threads of a tool that squeeze blocks
BLOCK = 32768  # records of a block that a tool writes: docs/design/trace.md tells why
LEVEL = 19  # zstandard's, for tools; the daemon takes a lower one
_SEARCH = 1 << 18  # bytes read at a time while looking for a mark behind damage


@dataclass(slots=True, frozen=True)
class Place:
    """Where a block lies."""

    offset: int
    frame: Frame


@dataclass(slots=True, frozen=True)
class Damage:
    """Bytes that could not be used. ``records``: how many are known to be lost with them."""

    offset: int
    size: int
    why: str
    records: int = 0

    def __str__(self) -> str:
        lost = f", {self.records} records" if self.records else ""
        return f"offset {self.offset}: {self.size} bytes{lost}: {self.why}"


@dataclass(slots=True)
class Wanted:
    """What to read: a window of corrected times (from included, to excluded), an id, a host, a class."""

    since: int | None = None
    until: int | None = None
    id: str | None = None
    host: str | None = None
    cls: str | None = None

    def may_be_in(self, frame: Frame) -> bool:
        return (self.since is None or frame.last >= self.since) and (self.until is None or frame.first < self.until)

    def keys(self) -> list[str]:
        return ([frames.id_key(self.id)] if self.id is not None else []) + (
            [frames.host_key(self.host)] if self.host is not None else []
        )

    def takes(self, record: Record) -> bool:
        """All but the class, which a request's later records do not tell: the reader knows it (``Reader.read``)."""
        at = corrected(record)
        return (
            (self.since is None or at >= self.since)
            and (self.until is None or at < self.until)
            and (self.id is None or ids_of(record) == self.id)
            and (self.host is None or self.host in hosts_of(record))
        )


@dataclass(slots=True)
class Reader:
    """One trace. ``damage`` and ``unknown`` fill while it is read."""

    path: Path
    description: dict[str, Any] = field(default_factory=dict)
    damage: list[Damage] = field(default_factory=list)
    damaged: int = 0  # how many; the list keeps the first MOST_DAMAGE
    unknown: Unknown = field(default_factory=Unknown)
    size: int = 0
    _file: BinaryIO = field(init=False)
    _start: int = 0
    _unpacker: Unpacker = field(default_factory=Unpacker)

    MOST_DAMAGE = 1000

    def __post_init__(self) -> None:
        self._file = open(self.path, "rb")  # noqa: SIM115 - closed by close()
        try:
            self.size = os.fstat(self._file.fileno()).st_size
            self._read_head()
        except BaseException:
            self._file.close()
            raise

    def close(self) -> None:
        self._file.close()

    def __enter__(self) -> Reader:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _at(self, offset: int, size: int) -> bytes:
        self._file.seek(offset)
        return self._file.read(size)

    def _report(self, damage: Damage) -> None:
        self.damaged += 1
        if len(self.damage) < self.MOST_DAMAGE:
            self.damage.append(damage)

    def _read_head(self) -> None:
        fixed = self._at(0, frames.FILE_HEAD_SIZE)
        more = frames.description_size(fixed)
        if more is not None and frames.FILE_HEAD_SIZE + more <= self.size:
            got = frames.read_file_head(fixed + self._at(len(fixed), more))
            if got is not None:
                self.description, self._start = got, len(fixed) + more
                return
        # A damaged head hides no block: whoever finds a sound frame has a trace before him.
        first = self._find(0)
        if first is None and fixed[:8] != frames.MAGIC:
            raise TraceError("not a trace")
        self._start = self.size if first is None else first
        self._report(Damage(0, self._start, "the file's head is damaged"))

    def _find(self, start: int) -> int | None:
        """Where the next sound frame begins."""
        at = start
        while at < self.size:
            chunk = self._at(at, _SEARCH + FRAME_SIZE)
            found = chunk.find(frames.MARK)
            while 0 <= found < _SEARCH:
                if frames.read_frame(chunk[found : found + FRAME_SIZE]) is not None:
                    return at + found
                found = chunk.find(frames.MARK, found + 1)
            at += _SEARCH
        return None

    def places(self) -> Iterator[Place]:
        """All blocks in the order of the file; reads frames only. Damage between them is reported."""
        at = self._start
        while at < self.size:
            frame = frames.read_frame(self._at(at, FRAME_SIZE))
            if frame is not None and at + frame.size <= self.size:
                yield Place(at, frame)
                at += frame.size
                continue
            following = self._find(at + 1)
            end = self.size if following is None else following
            self._report(Damage(at, end - at, self._why(at, end, frame), frame.records if frame else 0))
            at = end

    def _why(self, at: int, end: int, frame: Frame | None) -> str:
        if frame is not None:
            return "the last block is cut off" if end == self.size else "a block is cut off"
        if not self._at(at, min(end - at, _SEARCH)).strip(b"\0"):
            return "zeros"
        return "the last block is cut off" if end == self.size and end - at < FRAME_SIZE else "no sound block"

    def filter(self, place: Place) -> bytes:
        return self._at(place.offset + FRAME_SIZE, place.frame.filter)

    def block(self, place: Place) -> list[Record]:
        """A block's records; none, and a report, where it is damaged."""
        try:
            return self._unpacker.records(place.frame, self._body(place), self.unknown)
        except TraceError as error:
            self._report(Damage(place.offset, place.frame.size, str(error), place.frame.records))
            return []

    def _body(self, place: Place) -> bytes:
        return self._at(place.offset + FRAME_SIZE, place.frame.filter + place.frame.payload)

    def _holds(self, place: Place, wanted: Wanted) -> bool:
        """Looks at the filter first, then at the block's own list of names, which costs a tenth of its records."""
        keys = wanted.keys()
        if not keys:
            return True
        filter_ = self.filter(place)
        if not all(frames.may_hold(filter_, key) for key in keys):
            return False
        if place.frame.layout != frames.COLUMNS:
            return True
        try:
            texts = payload.texts_of(self._unpacker.raw(place.frame, self._body(place)))
        except (TraceError, ColumnError):
            return True  # reading the block reports it
        return (wanted.id is None or wanted.id in texts.get("id", ())) and (
            wanted.host is None or wanted.host in texts.get("host", ())
        )

    def read(self, wanted: Wanted | None = None) -> Iterator[Record]:
        """The records that are wanted, in the order of the file. A class is told by a request's first and last
        record only: it is looked up in the same file, whose other records of that class's ids belong to it."""
        wanted = wanted or Wanted()
        ids = None if wanted.cls is None else self._ids_of_class(wanted)
        for place in self.places():
            if wanted.may_be_in(place.frame) and self._holds(place, wanted):
                for record in self.block(place):
                    if wanted.takes(record) and (ids is None or ids_of(record) in ids):
                        yield record

    def _ids_of_class(self, wanted: Wanted) -> set[str]:
        """Connections live for minutes: what stood in the window may have asked long before it."""
        found: set[str] = set()
        for place in self.places():
            if wanted.until is None or place.frame.first < wanted.until:
                for record in self.block(place):
                    if getattr(record, "cls", None) == wanted.cls:
                        found.add(ids_of(record) or "")
        self.forget()
        return found

    def forget(self) -> None:
        """Between two passes: the second one reports again what the first has met."""
        self.damage.clear()
        self.damaged = 0
        self.unknown.counts.clear()


class Sink(Protocol):
    def write(self, data: bytes, /) -> int: ...


class Writer:
    """Appends blocks to an open file. ``add`` gathers records; a block goes out when it is full, or at ``flush``.

    ``beside``: threads that squeeze blocks while the next ones are encoded; blocks still go out in their order, and
    at most that many wait. Without, each block is whole in the file when ``write`` returns.
    """

    def __init__(
        self,
        file: Sink,
        description: dict[str, Any],
        level: int = LEVEL,
        block: int = BLOCK,
        layout: int = frames.COLUMNS,
        beside: int = 0,
    ) -> None:
        self._file = file
        self._packers = [Packer(level, layout) for _ in range(max(1, beside))]
        self._pool = ThreadPoolExecutor(beside) if beside else None
        self._waiting: deque[Future[bytes]] = deque()
        self._block = block
        self._held: list[Record] = []
        self._number = 0
        self.records = 0
        head = frames.file_head(description)
        file.write(head)
        self.bytes = len(head)

    def add(self, record: Record) -> None:
        self._held.append(record)
        if len(self._held) >= self._block:
            self._flush()

    def extend(self, records: Iterable[Record]) -> None:
        for record in records:
            self.add(record)

    def _flush(self) -> None:
        if self._held:
            held, self._held = self._held, []
            self.write(held)

    def flush(self) -> None:
        """All that was added is in the file."""
        self._flush()
        while self._waiting:
            self._put(self._waiting.popleft().result())

    def write(self, records: Sequence[Record]) -> None:
        """One block of these records."""
        packer = self._packers[self._number % len(self._packers)]
        block, number = packer.encode(records), self._number
        self._number += 1
        if self._pool is None:
            self._put(packer.squeeze(block, number))
        else:
            # As many wait as there are packers: the one that is used next has given its last block back.
            if len(self._waiting) == len(self._packers):
                self._put(self._waiting.popleft().result())
            self._waiting.append(self._pool.submit(packer.squeeze, block, number))
        self.records += len(records)

    def _put(self, made: bytes) -> None:
        self._file.write(made)
        self.bytes += len(made)

    def close(self) -> None:
        """Lets go of the threads; what waited is dropped (``flush`` comes first)."""
        if self._pool is not None:
            self._pool.shutdown(cancel_futures=True)


@contextmanager
def whole_file(path: Path, force: bool) -> Iterator[BinaryIO]:
    """A file that appears under its name when it is whole, or not at all. TraceError where it is there already."""
    if path.exists() and not force:
        raise TraceError(f"{path}: is there already; --force overwrites it")
    beside = path.with_name(f".{path.name}.{secrets.token_hex(4)}.part")
    try:
        with open(beside, "xb") as file:
            yield file
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
    finally:
        with suppress(FileNotFoundError):
            beside.unlink()
