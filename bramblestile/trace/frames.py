"""The file header and the frames around blocks; no I/O.

docs/trace-format.md describes the layout. A frame can be checked without its payload, so a reader skips from frame to
frame and decides from some hundred bytes of each which blocks to read for a time window, an id or a host. The mark at
the start of each frame allows it to find the next block after damage; block numbers tell how many were lost.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import chain
from operator import add, attrgetter
from typing import Any

import msgspec
import xxhash
import zstandard

from bramblestile.trace import payload, rows
from bramblestile.trace.columns import ColumnError
from bramblestile.trace.payload import UnknownCounts
from bramblestile.trace.records import Decision, Listed, Record

MAGIC = b"BRAMTRC\n"
MAJOR, MINOR = 1, 0
BLOCK_MARK = b"\xb1\x0cBrTr\x1a\n"  # starts each block; contains bytes that are not text, so that no text file has it
_FILE_HEADER = struct.Struct("<8sHHI")  # magic, major version, minor version, size of the description
# Mark, layout, payload size, raw size, filter size, record count, first time, last time, block number, body checksum.
_FRAME_HEADER = struct.Struct("<8sIIIIIqqQQ")
COLUMNS, ROWS = range(2)  # layouts of a payload
FRAME_SIZE = _FRAME_HEADER.size + 8  # with the frame's own checksum
FILE_HEADER_SIZE = _FILE_HEADER.size
MAX_RAW_BYTES = 1 << 25  # of one decompressed payload: bounds the memory that a file can make a reader allocate
MAX_FILTER_BYTES = 1 << 20
MAX_DESCRIPTION_BYTES = 1 << 20
FILTER_BITS_PER_KEY = 6  # with four bits set per key: false positives for one block in 18 (Bloom, 1970)
MIN_FILTER_BITS = 64


_get_at, _get_adj = attrgetter("at"), attrgetter("adj")
_get_id, _get_host = attrgetter("id"), attrgetter("host")
_get_candidates, _get_hosts = attrgetter("candidates"), attrgetter("hosts")


class TraceError(Exception):
    """A fault of a trace, described in one line."""


def checksum(data: bytes | memoryview) -> int:
    """Return the 64-bit XXH3 hash that protects headers, frames and blocks."""
    return xxhash.xxh3_64_intdigest(data)


# File header.


def encode_file_header(description: dict[str, Any]) -> bytes:
    """Encode the header of a trace file."""
    encoded = msgspec.json.encode(description)
    header = _FILE_HEADER.pack(MAGIC, MAJOR, MINOR, len(encoded)) + encoded
    return header + checksum(header).to_bytes(8, "little")


def description_size(header: bytes) -> int | None:
    """Return the size of the header after its fixed part, or None if this is not the start of a trace."""
    if len(header) < FILE_HEADER_SIZE:
        return None
    magic, _, _, size = _FILE_HEADER.unpack_from(header)
    return size + 8 if magic == MAGIC and size <= MAX_DESCRIPTION_BYTES else None


def decode_file_header(header: bytes) -> dict[str, Any] | None:
    """Return the description in a whole header, or None if the header is damaged.

    Raises:
        TraceError: the header is valid, but of a newer major version.
    """
    if checksum(header[:-8]).to_bytes(8, "little") != header[-8:]:
        return None
    _, major, minor, _ = _FILE_HEADER.unpack_from(header)
    if major != MAJOR:
        raise TraceError(f"version {major}.{minor} of the format; this program reads {MAJOR}.x")
    try:
        description = msgspec.json.decode(header[FILE_HEADER_SIZE:-8])
    except msgspec.MsgspecError:
        return None
    return description if isinstance(description, dict) else None


# Blocks.


@dataclass(slots=True, frozen=True)
class Frame:
    """The frame of one block.

    ``block_number`` counts the blocks of a file from 0, so that a gap shows lost blocks. ``first_us`` and ``last_us``
    are the earliest and latest corrected time of its records.
    """

    block_number: int
    record_count: int
    first_us: int
    last_us: int
    payload_bytes: int
    raw_bytes: int
    filter_bytes: int
    body_checksum: int
    layout: int = COLUMNS

    @property
    def size(self) -> int:
        """The size of the whole block: frame, filter and payload."""
        return FRAME_SIZE + self.filter_bytes + self.payload_bytes

    def encode(self) -> bytes:
        """Encode the frame with its checksum."""
        header = _FRAME_HEADER.pack(
            BLOCK_MARK,
            self.layout,
            self.payload_bytes,
            self.raw_bytes,
            self.filter_bytes,
            self.record_count,
            self.first_us,
            self.last_us,
            self.block_number,
            self.body_checksum,
        )
        return header + checksum(header).to_bytes(8, "little")


def decode_frame(header: bytes | memoryview) -> Frame | None:
    """Decode a frame, or return None if these bytes are not a valid one."""
    if (
        len(header) < FRAME_SIZE
        or checksum(header[: _FRAME_HEADER.size]).to_bytes(8, "little") != header[_FRAME_HEADER.size : FRAME_SIZE]
    ):
        return None
    (
        mark,
        layout,
        payload_bytes,
        raw_bytes,
        filter_bytes,
        record_count,
        first_us,
        last_us,
        block_number,
        body_checksum,
    ) = _FRAME_HEADER.unpack_from(header)
    if (
        mark != BLOCK_MARK
        or raw_bytes > MAX_RAW_BYTES
        or filter_bytes > MAX_FILTER_BYTES
        or not 0 < record_count <= payload.MAX_RECORDS
    ):
        return None
    return Frame(
        block_number, record_count, first_us, last_us, payload_bytes, raw_bytes, filter_bytes, body_checksum, layout
    )


def request_key(name: str) -> str:
    """Return the filter key of a request id."""
    return "i" + name


def host_key(name: str) -> str:
    """Return the filter key of a host."""
    return "h" + name


_DIGITS = bytes.maketrans(b"\x00\x01", b"01")


def _bloom_bits(key: str, bits: int) -> tuple[int, int, int, int]:
    """Return the four filter bits of a key, by double hashing (Kirsch and Mitzenmacher, 2006).

    Unrolled, because hashing keys is half of the daemon's cost per block.
    """
    digest = checksum(key.encode("utf-8", "replace"))
    first, step = digest & 0xFFFFFFFF, digest >> 32 | 1
    return first % bits, (first + step) % bits, (first + 2 * step) % bits, (first + 3 * step) % bits


def build_filter(keys: Sequence[str]) -> bytes:
    """Build the Bloom filter of a block."""
    bits = max(MIN_FILTER_BITS, len(keys) * FILTER_BITS_PER_KEY + 7 & ~7)
    flags = bytearray(bits)  # one byte per bit while building: half the steps of setting single bits
    for key in keys:
        digest = checksum(key.encode("utf-8", "replace"))  # inlined: calling _bloom_bits would double the cost
        first, step = digest & 0xFFFFFFFF, digest >> 32 | 1
        flags[first % bits] = flags[(first + step) % bits] = 1
        flags[(first + 2 * step) % bits] = flags[(first + 3 * step) % bits] = 1
    flags.reverse()
    return int(flags.translate(_DIGITS), 2).to_bytes(bits // 8, "little")


def may_contain(filter_: bytes, key: str) -> bool:
    """Test a key against a filter; False proves that no record of the block has it."""
    return all(filter_[bit >> 3] >> (bit & 7) & 1 for bit in _bloom_bits(key, len(filter_) * 8)) if filter_ else True


def filter_keys(records: Iterable[Record]) -> list[str]:
    """Return the distinct filter keys of all requests and hosts that the records mention."""
    kinds: dict[type[Record], list[Record]] = {}
    for record in records:
        kinds.setdefault(type(record), []).append(record)
    ids: set[str | None] = set()
    hosts: set[str | None] = set()
    for cls, same_kind in kinds.items():
        # Whole kinds at C speed: a Python step per record would cost as much as the rest of its processing.
        if "id" in cls.__struct_fields__:
            ids.update(map(_get_id, same_kind))
        if "host" in cls.__struct_fields__:
            hosts.update(map(_get_host, same_kind))
        if cls is Decision:
            hosts.update(map(_get_host, chain.from_iterable(map(_get_candidates, same_kind))))
        elif cls is Listed:
            hosts.update(map(_get_host, chain.from_iterable(map(_get_hosts, same_kind))))
    return [request_key(i) for i in ids if i is not None] + [host_key(h) for h in hosts if h is not None]


@dataclass(slots=True, frozen=True)
class EncodedBlock:
    """Encoded but uncompressed records; compressing them does not need the interpreter lock."""

    raw: bytes
    filter: bytes
    record_count: int
    first_us: int
    last_us: int
    layout: int


class BlockEncoder:
    """Encodes records to whole blocks in two steps.

    ``compress`` may run in another thread, one call at a time.
    """

    def __init__(self, level: int, layout: int = COLUMNS) -> None:
        self._layout = layout
        # Reused: creating a compressor costs more than compressing a small block.
        self._compressor = zstandard.ZstdCompressor(level=level, write_content_size=True, write_checksum=False)

    def encode(self, records: Sequence[Record]) -> EncodedBlock:
        """Encode the records and their filter.

        Raises:
            TraceError: the records exceed MAX_RAW_BYTES.
            ColumnError: a value cannot be encoded.
        """
        raw = payload.encode(records) if self._layout == COLUMNS else rows.encode(list(records))
        if len(raw) > MAX_RAW_BYTES:
            raise TraceError(f"{len(records)} records take {len(raw)} bytes, more than a block may hold")
        times, adjustments = list(map(_get_at, records)), list(map(_get_adj, records))
        if any(adjustments):  # only records of a merge
            times = list(map(add, times, adjustments))
        return EncodedBlock(raw, build_filter(filter_keys(records)), len(records), min(times), max(times), self._layout)

    def compress(self, block: EncodedBlock, block_number: int) -> bytes:
        """Compress an encoded block and put its frame in front."""
        compressed = self._compressor.compress(block.raw)
        body = block.filter + compressed
        frame = Frame(
            block_number,
            block.record_count,
            block.first_us,
            block.last_us,
            len(compressed),
            len(block.raw),
            len(block.filter),
            checksum(body),
            block.layout,
        )
        return frame.encode() + body

    def encode_block(self, records: Sequence[Record], block_number: int) -> bytes:
        """Encode and compress one block."""
        return self.compress(self.encode(records), block_number)


class BlockDecoder:
    """Decodes blocks whose frames are valid."""

    def __init__(self) -> None:
        self._decompressor = zstandard.ZstdDecompressor()

    def decompress(self, frame: Frame, body: bytes) -> bytes:
        """Return the payload of a block.

        Raises:
            TraceError: the body is damaged.
        """
        if len(body) != frame.filter_bytes + frame.payload_bytes or checksum(body) != frame.body_checksum:
            raise TraceError("the checksum of the block does not match")
        try:
            compressed = body[frame.filter_bytes :]
            # The library allocates the size stated in the compressed data: it must be the one in the frame.
            if zstandard.frame_content_size(compressed) != frame.raw_bytes:
                raise TraceError("the size of the block differs from the one in its frame")
            return self._decompressor.decompress(compressed, max_output_size=frame.raw_bytes)
        except zstandard.ZstdError as error:
            raise TraceError(f"the block cannot be decompressed: {error}") from None

    def decode(self, frame: Frame, body: bytes, unknown: UnknownCounts) -> list[Record]:
        """Return the records of a block; none, counted in ``unknown``, if its layout is unknown.

        Raises:
            TraceError: the body is damaged or not a valid payload.
        """
        try:
            if frame.layout == COLUMNS:
                decoded = payload.decode(self.decompress(frame, body), unknown)
            elif frame.layout == ROWS:
                decoded = rows.decode(self.decompress(frame, body), unknown)
            else:
                unknown.add(f"layout {frame.layout}", frame.record_count)
                return []
        except ColumnError as error:
            raise TraceError(f"the payload of the block is invalid: {error}") from None
        if len(decoded) > frame.record_count:
            raise TraceError(f"the block holds {len(decoded)} records, its frame declares {frame.record_count}")
        return decoded
