"""Trace files on disk: a writer that appends whole blocks, and a reader that skips from block to block.

The reader raises only TraceError and OSError, returns no record of a block whose checksum does not match, and holds one
block in memory at a time (frames.MAX_RAW_BYTES), whatever the file claims.
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
from bramblestile.trace.frames import FRAME_SIZE, BlockDecoder, BlockEncoder, Frame, TraceError
from bramblestile.trace.payload import UnknownCounts
from bramblestile.trace.records import Record, corrected_time, hosts_in, request_id_of

COMPRESSION_THREADS = min(4, os.cpu_count() or 1)  # used by the tools
BLOCK_RECORDS = 32768  # per block that a tool writes; docs/design/trace.md explains the choice
ZSTD_LEVEL = 19  # for tools; the daemon uses a lower one
_SEARCH_BYTES = 1 << 18  # read at a time while searching for a block mark after damage


@dataclass(slots=True, frozen=True)
class BlockLocation:
    """The offset of a block in the file, and its frame."""

    offset: int
    frame: Frame


@dataclass(slots=True, frozen=True)
class Damage:
    """Bytes that could not be used, and the number of records known to be lost with them."""

    offset: int
    size: int
    reason: str
    record_count: int = 0

    def __str__(self) -> str:
        records = f", {self.record_count} records" if self.record_count else ""
        return f"offset {self.offset}: {self.size} bytes{records}: {self.reason}"


@dataclass(slots=True)
class Query:
    """Selects the records to read.

    ``since`` (included) and ``until`` (excluded) are corrected times in microseconds; ``id`` is a request, ``cls`` a
    class.
    """

    since: int | None = None
    until: int | None = None
    id: str | None = None
    host: str | None = None
    cls: str | None = None

    def overlaps(self, frame: Frame) -> bool:
        """Return whether the time window overlaps that of a block."""
        return (self.since is None or frame.last_us >= self.since) and (
            self.until is None or frame.first_us < self.until
        )

    def filter_keys(self) -> list[str]:
        """Return the keys that the filter of a matching block contains."""
        return ([frames.request_key(self.id)] if self.id is not None else []) + (
            [frames.host_key(self.host)] if self.host is not None else []
        )

    def matches(self, record: Record) -> bool:
        """Return whether a record matches everything but the class.

        Most records of a request do not hold its class; ``Reader.read`` checks that.
        """
        at = corrected_time(record)
        return (
            (self.since is None or at >= self.since)
            and (self.until is None or at < self.until)
            and (self.id is None or request_id_of(record) == self.id)
            and (self.host is None or self.host in hosts_in(record))
        )


@dataclass(slots=True)
class Reader:
    """Reads one trace file, collecting ``damage`` and ``unknown`` on the way."""

    path: Path
    description: dict[str, Any] = field(default_factory=dict)
    damage: list[Damage] = field(default_factory=list)
    damage_count: int = 0  # the list holds only the first MAX_DAMAGE_ENTRIES
    unknown: UnknownCounts = field(default_factory=UnknownCounts)
    size: int = 0
    _file: BinaryIO = field(init=False)
    _first_block_offset: int = 0
    _decoder: BlockDecoder = field(default_factory=BlockDecoder)

    MAX_DAMAGE_ENTRIES = 1000

    def __post_init__(self) -> None:
        self._file = open(self.path, "rb")  # noqa: SIM115 - closed by close()
        try:
            self.size = os.fstat(self._file.fileno()).st_size
            self._read_header()
        except BaseException:
            self._file.close()
            raise

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def __enter__(self) -> Reader:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _read_at(self, offset: int, size: int) -> bytes:
        self._file.seek(offset)
        return self._file.read(size)

    def _report_damage(self, damage: Damage) -> None:
        self.damage_count += 1
        if len(self.damage) < self.MAX_DAMAGE_ENTRIES:
            self.damage.append(damage)

    def _read_header(self) -> None:
        """Read the file header and find the first block; raise TraceError if the file is not a trace."""
        fixed = self._read_at(0, frames.FILE_HEADER_SIZE)
        remaining = frames.description_size(fixed)
        if remaining is not None and frames.FILE_HEADER_SIZE + remaining <= self.size:
            description = frames.decode_file_header(fixed + self._read_at(len(fixed), remaining))
            if description is not None:
                self.description, self._first_block_offset = description, len(fixed) + remaining
                return
        # A damaged header does not hide the blocks: a file with a valid frame is a trace.
        first_offset = self._find_frame(0)
        if first_offset is None and fixed[:8] != frames.MAGIC:
            raise TraceError("not a trace")
        self._first_block_offset = self.size if first_offset is None else first_offset
        self._report_damage(Damage(0, self._first_block_offset, "the file header is damaged"))

    def _find_frame(self, start: int) -> int | None:
        """Return the offset of the next valid frame from ``start`` on."""
        offset = start
        while offset < self.size:
            chunk = self._read_at(offset, _SEARCH_BYTES + FRAME_SIZE)
            found = chunk.find(frames.BLOCK_MARK)
            while 0 <= found < _SEARCH_BYTES:
                if frames.decode_frame(chunk[found : found + FRAME_SIZE]) is not None:
                    return offset + found
                found = chunk.find(frames.BLOCK_MARK, found + 1)
            offset += _SEARCH_BYTES
        return None

    def block_locations(self) -> Iterator[BlockLocation]:
        """Yield all blocks in file order, reading only their frames; damage between them is reported."""
        offset = self._first_block_offset
        while offset < self.size:
            frame = frames.decode_frame(self._read_at(offset, FRAME_SIZE))
            if frame is not None and offset + frame.size <= self.size:
                yield BlockLocation(offset, frame)
                offset += frame.size
                continue
            following = self._find_frame(offset + 1)
            end = self.size if following is None else following
            self._report_damage(
                Damage(
                    offset, end - offset, self._damage_reason(offset, end, frame), frame.record_count if frame else 0
                )
            )
            offset = end

    def _damage_reason(self, start: int, end: int, frame: Frame | None) -> str:
        if frame is not None:
            return "the last block is cut off" if end == self.size else "a block is cut off"
        if not self._read_at(start, min(end - start, _SEARCH_BYTES)).strip(b"\0"):
            return "zeros"
        return "the last block is cut off" if end == self.size and end - start < FRAME_SIZE else "no valid block"

    def read_filter(self, location: BlockLocation) -> bytes:
        """Read the filter of a block."""
        return self._read_at(location.offset + FRAME_SIZE, location.frame.filter_bytes)

    def read_block(self, location: BlockLocation) -> list[Record]:
        """Read the records of a block; a damaged one is reported and has none."""
        try:
            return self._decoder.decode(location.frame, self._read_body(location), self.unknown)
        except TraceError as error:
            self._report_damage(Damage(location.offset, location.frame.size, str(error), location.frame.record_count))
            return []

    def _read_body(self, location: BlockLocation) -> bytes:
        return self._read_at(location.offset + FRAME_SIZE, location.frame.filter_bytes + location.frame.payload_bytes)

    def _may_match(self, location: BlockLocation, query: Query) -> bool:
        """Return whether a block may hold matching records.

        Checks the filter first, and then the string tables of the block, which cost a tenth of decoding its records.
        """
        keys = query.filter_keys()
        if not keys:
            return True
        filter_ = self.read_filter(location)
        if not all(frames.may_contain(filter_, key) for key in keys):
            return False
        if location.frame.layout != frames.COLUMNS:
            return True
        try:
            tables = payload.read_string_tables(self._decoder.decompress(location.frame, self._read_body(location)))
        except (TraceError, ColumnError):
            return True  # reading the block will report the damage
        return (query.id is None or query.id in tables.get("id", ())) and (
            query.host is None or query.host in tables.get("host", ())
        )

    def read(self, query: Query | None = None) -> Iterator[Record]:
        """Yield the matching records in file order.

        Only the first and last record of a request hold its class, so a query by class first collects the ids of that
        class from the same file.
        """
        query = query or Query()
        ids = None if query.cls is None else self._ids_of_class(query)
        for location in self.block_locations():
            if query.overlaps(location.frame) and self._may_match(location, query):
                for record in self.read_block(location):
                    if query.matches(record) and (ids is None or request_id_of(record) in ids):
                        yield record

    def _ids_of_class(self, query: Query) -> set[str]:
        """Return the ids of the class's requests that began before the end of the window.

        Connections live for minutes: one within the window may have been requested long before it.
        """
        ids: set[str] = set()
        for location in self.block_locations():
            if query.until is None or location.frame.first_us < query.until:
                for record in self.read_block(location):
                    if getattr(record, "cls", None) == query.cls:
                        ids.add(request_id_of(record) or "")
        self.clear_damage_and_unknown_fields()  # the second pass over these blocks finds them again
        return ids

    def clear_damage_and_unknown_fields(self) -> None:
        """Forget damage and unknown fields between two passes; the second one finds them again."""
        self.damage.clear()
        self.damage_count = 0
        self.unknown.counts.clear()


class Sink(Protocol):
    """A file that a Writer appends to."""

    def write(self, data: bytes, /) -> int:
        """Write all bytes."""


class Writer:
    """Appends blocks to an open file.

    ``add`` collects records; a block is written when it is full, or by ``flush``. With ``threads``, that many threads
    compress blocks while the next ones are encoded; blocks are written in order, and at most that many wait. Without,
    each block is in the file when ``write_block`` returns.
    """

    def __init__(
        self,
        file: Sink,
        description: dict[str, Any],
        level: int = ZSTD_LEVEL,
        block_records: int = BLOCK_RECORDS,
        layout: int = frames.COLUMNS,
        threads: int = 0,
    ) -> None:
        self._file = file
        self._encoders = [BlockEncoder(level, layout) for _ in range(max(1, threads))]
        self._pool = ThreadPoolExecutor(threads) if threads else None
        self._compressing: deque[Future[bytes]] = deque()
        self._block_records = block_records
        self._pending: list[Record] = []
        self._next_block_number = 0
        self.record_count = 0
        header = frames.encode_file_header(description)
        file.write(header)
        self.bytes_written = len(header)

    def add(self, record: Record) -> None:
        """Add one record to the next block."""
        self._pending.append(record)
        if len(self._pending) >= self._block_records:
            self._write_pending()

    def extend(self, records: Iterable[Record]) -> None:
        """Add records to the next blocks."""
        for record in records:
            self.add(record)

    def _write_pending(self) -> None:
        if self._pending:
            pending, self._pending = self._pending, []
            self.write_block(pending)

    def flush(self) -> None:
        """Write everything that was added."""
        self._write_pending()
        while self._compressing:
            self._append(self._compressing.popleft().result())

    def write_block(self, records: Sequence[Record]) -> None:
        """Write these records as one block."""
        encoder = self._encoders[self._next_block_number % len(self._encoders)]
        block, block_number = encoder.encode(records), self._next_block_number
        self._next_block_number += 1
        if self._pool is None:
            self._append(encoder.compress(block, block_number))
        else:
            # At most one block waits per encoder, so the encoder that is used next has finished its last one.
            if len(self._compressing) == len(self._encoders):
                self._append(self._compressing.popleft().result())
            self._compressing.append(self._pool.submit(encoder.compress, block, block_number))
        self.record_count += len(records)

    def _append(self, encoded: bytes) -> None:
        self._file.write(encoded)
        self.bytes_written += len(encoded)

    def close(self) -> None:
        """Stop the threads, dropping blocks that still wait: call ``flush`` before."""
        if self._pool is not None:
            self._pool.shutdown(cancel_futures=True)


@contextmanager
def atomic_file(path: Path, force: bool) -> Iterator[BinaryIO]:
    """Open a file that appears under its name only when it is complete.

    Raises:
        TraceError: the file exists and ``force`` is not set.
    """
    if path.exists() and not force:
        raise TraceError(f"{path}: already exists; --force overwrites it")
    temporary = path.with_name(f".{path.name}.{secrets.token_hex(4)}.part")
    try:
        with open(temporary, "xb") as file:
            yield file
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    finally:
        with suppress(FileNotFoundError):
            temporary.unlink()
