"""The frame round each block and the head of a file; no I/O. Laid out in docs/trace-format.md.

A block's frame can be checked without its payload, so a reader hops from frame to frame, and knows which blocks
to read for a window, an id or a host, having read some hundred bytes of each. A mark at the start of each frame lets
it find the next one behind damage; the block's number tells how many were lost on the way.
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
from bramblestile.trace.payload import Unknown
from bramblestile.trace.records import Decision, Listed, Record

MAGIC = b"BRAMTRC\n"
MAJOR, MINOR = 1, 0
MARK = b"\xb1\x0cBrTr\x1a\n"  # begins each block; not text, so that no text file holds it by chance
_FILE_HEAD = struct.Struct("<8sHHI")  # magic, major, minor, bytes of the description
# Mark, layout, payload, raw, filter, records, first, last, number, check of the body.
_FRAME = struct.Struct("<8sIIIIIqqQQ")
COLUMNS, ROWS = range(2)  # layouts of a payload
FRAME_SIZE = _FRAME.size + 8  # and the frame's own check
FILE_HEAD_SIZE = _FILE_HEAD.size
MOST_RAW = 1 << 25  # bytes of one payload, unpacked: what a reader may be made to take for one block
MOST_FILTER = 1 << 20
MOST_DESCRIPTION = 1 << 20
FILTER_BITS = 6  # a key, of which four are set: one block in 18 is looked into for nothing (Bloom, 1970)


_get_at, _get_adj = attrgetter("at"), attrgetter("adj")
_get_id, _get_host = attrgetter("id"), attrgetter("host")
_get_candidates, _get_hosts = attrgetter("candidates"), attrgetter("hosts")


class TraceError(Exception):
    """What is wrong with a trace, in one line."""


def check(data: bytes | memoryview) -> int:
    return xxhash.xxh3_64_intdigest(data)


# The file's head.


def file_head(description: dict[str, Any]) -> bytes:
    text = msgspec.json.encode(description)
    head = _FILE_HEAD.pack(MAGIC, MAJOR, MINOR, len(text)) + text
    return head + check(head).to_bytes(8, "little")


def description_size(head: bytes) -> int | None:
    """Bytes that follow the head's fixed part; None where these are not a trace's first bytes."""
    if len(head) < FILE_HEAD_SIZE:
        return None
    magic, _, _, size = _FILE_HEAD.unpack_from(head)
    return size + 8 if magic == MAGIC and size <= MOST_DESCRIPTION else None


def read_file_head(head: bytes) -> dict[str, Any] | None:
    """The description; None where the head is damaged. TraceError for a sound one of a newer major version."""
    if check(head[:-8]).to_bytes(8, "little") != head[-8:]:
        return None
    _, major, minor, _ = _FILE_HEAD.unpack_from(head)
    if major != MAJOR:
        raise TraceError(f"version {major}.{minor} of the format; this program reads {MAJOR}.x")
    try:
        got = msgspec.json.decode(head[FILE_HEAD_SIZE:-8])
    except msgspec.MsgspecError:
        return None
    return got if isinstance(got, dict) else None


# Blocks.


@dataclass(slots=True, frozen=True)
class Frame:
    """One block's frame. ``first``, ``last``: the corrected times of its records, both included."""

    number: int
    records: int
    first: int
    last: int
    payload: int
    raw: int
    filter: int
    body_check: int
    layout: int = COLUMNS

    @property
    def size(self) -> int:
        return FRAME_SIZE + self.filter + self.payload

    def pack(self) -> bytes:
        head = _FRAME.pack(
            MARK,
            self.layout,
            self.payload,
            self.raw,
            self.filter,
            self.records,
            self.first,
            self.last,
            self.number,
            self.body_check,
        )
        return head + check(head).to_bytes(8, "little")


def read_frame(head: bytes | memoryview) -> Frame | None:
    """None where these bytes are no sound frame."""
    if len(head) < FRAME_SIZE or check(head[: _FRAME.size]).to_bytes(8, "little") != head[_FRAME.size : FRAME_SIZE]:
        return None
    mark, layout, size, raw, filter_, records, first, last, number, body = _FRAME.unpack_from(head)
    if mark != MARK or raw > MOST_RAW or filter_ > MOST_FILTER or not 0 < records <= payload.MOST_RECORDS:
        return None
    return Frame(number, records, first, last, size, raw, filter_, body, layout)


def id_key(name: str) -> str:
    return "i" + name


def host_key(name: str) -> str:
    return "h" + name


_DIGITS = bytes.maketrans(b"\x00\x01", b"01")


def _probes(key: str, bits: int) -> tuple[int, int, int, int]:
    """Which bits stand for a key: double hashing (Kirsch and Mitzenmacher, 2006). Written out, and not a loop: this is
    half of what a block costs the daemon."""
    both = check(key.encode("utf-8", "replace"))
    one, two = both & 0xFFFFFFFF, both >> 32 | 1
    return one % bits, (one + two) % bits, (one + 2 * two) % bits, (one + 3 * two) % bits


def make_filter(keys: Sequence[str]) -> bytes:
    bits = max(64, len(keys) * FILTER_BITS + 7 & ~7)
    flags = bytearray(bits)  # a byte a bit while they are set: half the steps of setting bits
    for key in keys:
        both = check(key.encode("utf-8", "replace"))  # as in _probes, whose call would cost as much as all of this
        one, two = both & 0xFFFFFFFF, both >> 32 | 1
        flags[one % bits] = flags[(one + two) % bits] = 1
        flags[(one + 2 * two) % bits] = flags[(one + 3 * two) % bits] = 1
    flags.reverse()
    return int(flags.translate(_DIGITS), 2).to_bytes(bits // 8, "little")


def may_hold(filter_: bytes, key: str) -> bool:
    """False proves that the block holds nothing of the key."""
    return all(filter_[bit >> 3] >> (bit & 7) & 1 for bit in _probes(key, len(filter_) * 8)) if filter_ else True


def keys_of(records: Iterable[Record]) -> list[str]:
    """What a block's filter holds: each request and each host that it tells of, once."""
    kinds: dict[type[Record], list[Record]] = {}
    for record in records:
        kinds.setdefault(type(record), []).append(record)
    ids: set[str | None] = set()
    hosts: set[str | None] = set()
    for cls, of_kind in kinds.items():
        # By whole kinds, at C speed: a step for each record would cost as much as all else that is done with it.
        if "id" in cls.__struct_fields__:
            ids.update(map(_get_id, of_kind))
        if "host" in cls.__struct_fields__:
            hosts.update(map(_get_host, of_kind))
        if cls is Decision:
            hosts.update(map(_get_host, chain.from_iterable(map(_get_candidates, of_kind))))
        elif cls is Listed:
            hosts.update(map(_get_host, chain.from_iterable(map(_get_hosts, of_kind))))
    return [id_key(i) for i in ids if i is not None] + [host_key(h) for h in hosts if h is not None]


@dataclass(slots=True, frozen=True)
class Block:
    """Records encoded but not yet squeezed: what comes next needs no interpreter's lock."""

    raw: bytes
    filter: bytes
    records: int
    first: int
    last: int
    layout: int


class Packer:
    """Records to whole blocks, in two steps. ``squeeze`` may run in another thread, one call at a time."""

    def __init__(self, level: int, layout: int = COLUMNS) -> None:
        self._layout = layout
        # Kept: to make one costs more than to squeeze a small block.
        self._compressor = zstandard.ZstdCompressor(level=level, write_content_size=True, write_checksum=False)

    def encode(self, records: Sequence[Record]) -> Block:
        raw = payload.put(records) if self._layout == COLUMNS else rows.put(list(records))
        if len(raw) > MOST_RAW:
            raise TraceError(f"{len(records)} records take {len(raw)} bytes, over the bound of a block")
        times, moved = list(map(_get_at, records)), list(map(_get_adj, records))
        if any(moved):  # only a merge's records
            times = list(map(add, times, moved))
        return Block(raw, make_filter(keys_of(records)), len(records), min(times), max(times), self._layout)

    def squeeze(self, block: Block, number: int) -> bytes:
        packed = self._compressor.compress(block.raw)
        body = block.filter + packed
        frame = Frame(
            number,
            block.records,
            block.first,
            block.last,
            len(packed),
            len(block.raw),
            len(block.filter),
            check(body),
            block.layout,
        )
        return frame.pack() + body

    def block(self, records: Sequence[Record], number: int) -> bytes:
        return self.squeeze(self.encode(records), number)


class Unpacker:
    def __init__(self) -> None:
        self._decompressor = zstandard.ZstdDecompressor()

    def raw(self, frame: Frame, body: bytes) -> bytes:
        """The payload of a block whose frame was sound. TraceError where the body is not what was written."""
        if len(body) != frame.filter + frame.payload or check(body) != frame.body_check:
            raise TraceError("the block's checksum does not hold")
        try:
            packed = body[frame.filter :]
            # The size told inside is what the library would take memory for: it must be the frame's.
            if zstandard.frame_content_size(packed) != frame.raw:
                raise TraceError("the block's size is not what its frame tells")
            return self._decompressor.decompress(packed, max_output_size=frame.raw)
        except zstandard.ZstdError as error:
            raise TraceError(f"the block cannot be unpacked: {error}") from None

    def records(self, frame: Frame, body: bytes, unknown: Unknown) -> list[Record]:
        try:
            if frame.layout == COLUMNS:
                made = payload.get(self.raw(frame, body), unknown)
            elif frame.layout == ROWS:
                made = rows.get(self.raw(frame, body), unknown)
            else:
                unknown.add(f"layout {frame.layout}", frame.records)
                return []
        except ColumnError as error:
            raise TraceError(f"the block makes no sense: {error}") from None
        if len(made) > frame.records:
            raise TraceError(f"the block holds {len(made)} records, its frame tells {frame.records}")
        return made
