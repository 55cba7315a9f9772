"""Columns of values to bytes and back; no I/O. Laid out in docs/trace-format.md.

Everything here works on whole columns with operations that run at C speed (slices, ``array``, ``accumulate``), and
leaves the squeezing to the compressor: what it does is to put alike bytes beside each other. Decoding trusts
nothing: each length is checked against what is there and against a bound before memory is taken for it.
"""

from __future__ import annotations

import sys
from array import array
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from itertools import accumulate, chain
from math import copysign, isfinite
from operator import eq, sub
from typing import TypeVar

MOST_VALUES = 1 << 20  # of one column, so that a damaged length cannot ask for gigabytes
MOST_TEXT = 1 << 23  # bytes of all texts of one dictionary
WIDTHS = ((1, "B"), (2, "H"), (4, "I"), (8, "Q"))
CONSTANT, OFFSET, DELTA, KEYED, LINKED, TOLD = range(6)  # how whole numbers are laid out
RAW, DECIMAL = range(2)  # how fractions are
PLAIN, HEX = range(2)  # how texts are
DECIMALS = (0, 1, 2, 3, 6)  # tried in this order: a scale too fine is a factor that no compressor finds
_HEX = frozenset("0123456789abcdef")


N = TypeVar("N", int, float)
Predict = Callable[[int, bool], Sequence[int]]  # by a kind's number, and whether spans since it are meant


@dataclass(slots=True, frozen=True)
class Link:
    """What another kind's records say of the same requests: a number to take off each value."""

    kind: int
    since: bool
    predicted: Sequence[int]


TIME, SAME, ZERO = range(3)  # what a record sets the last value of its key to: its `at`, its like-named field, 0
Sets = Sequence[tuple[int, int, float]]  # (row from which it holds, key, value), in the order of rows
Hear = Callable[[int, int], Sets]  # by a kind's number, and which of the three is meant


@dataclass(slots=True, frozen=True)
class Told:
    """What the records of another kind said of the same keys between the rows of this column. A host's figures stay
    until it is asked again, and what it answered then is a record of its own: nothing is left to tell here."""

    kind: int
    what: int
    sets: Sets


class ColumnError(Exception):
    """Bytes that are no column, or a value that no column can hold."""


class Cursor:
    """Reads bytes in order and never beyond their end."""

    __slots__ = ("at", "data", "end")

    def __init__(self, data: bytes | memoryview) -> None:
        self.data, self.at, self.end = memoryview(data), 0, len(data)

    def take(self, size: int) -> memoryview:
        if size < 0 or size > self.end - self.at:
            raise ColumnError(f"{size} bytes wanted, {self.end - self.at} left")
        self.at += size
        return self.data[self.at - size : self.at]

    def byte(self) -> int:
        return self.take(1)[0]

    def varint(self) -> int:
        """LEB128, ten bytes at most: 64 bits."""
        value = shift = 0
        while True:
            byte = self.byte()
            value |= (byte & 0x7F) << shift
            if byte < 0x80:
                return value
            shift += 7
            if shift > 63:
                raise ColumnError("a number of more than ten bytes")

    def count(self, most: int = MOST_VALUES) -> int:
        value = self.varint()
        if value > most:
            raise ColumnError(f"a count of {value}, over {most}")
        return value

    def signed(self) -> int:
        """Zigzag with a sign byte, for numbers of up to 65 bits: a difference of two 64-bit ones."""
        sign = self.byte()
        if sign > 1:
            raise ColumnError(f"sign {sign}")
        return -self.varint() - 1 if sign else self.varint()

    def text(self) -> str:
        try:
            return str(self.take(self.count(1 << 10)), "utf-8")
        except UnicodeDecodeError as error:
            raise ColumnError(str(error)) from None


def varint(value: int) -> bytes:
    out = bytearray()
    while value >= 0x80:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def signed(value: int) -> bytes:
    return b"\x01" + varint(-value - 1) if value < 0 else b"\x00" + varint(value)


def short_text(value: str) -> bytes:
    raw = value.encode()
    return varint(len(raw)) + raw


# Whole numbers.


def _planes(values: Iterable[float], width: int, code: str) -> bytes:
    """Fixed-width little-endian numbers, all their lowest bytes first: the high ones are mostly zero."""
    made = array(code, values)
    if sys.byteorder == "big":
        made.byteswap()
    raw = made.tobytes()
    return raw if width == 1 else b"".join(raw[n::width] for n in range(width))


def _from_planes(cursor: Cursor, count: int, width: int) -> array[int]:
    code = dict(WIDTHS).get(width)
    if code is None:
        raise ColumnError(f"width {width}")
    return _joined(array(code), cursor.take(count * width), count, width)


def _joined(made: array[N], raw: memoryview, count: int, width: int) -> array[N]:
    """The numbers of these planes, into an array of their type."""
    if width == 1:
        made.frombytes(raw)
        return made
    whole = bytearray(count * width)
    for n in range(width):
        whole[n::width] = raw[n * count : (n + 1) * count]
    made.frombytes(whole)
    if sys.byteorder == "big":
        made.byteswap()
    return made


def _width(span: int) -> tuple[int, str]:
    for width, code in WIDTHS:
        if span < 1 << 8 * width:
            return width, code
    raise ColumnError("whole numbers more than 64 bits apart")


def _based(values: Sequence[int]) -> tuple[int, int]:
    low = min(values)
    return low, max(values) - low


def _spread(values: Sequence[int], low: int) -> bytes:
    """Base, width and planes of ``values``."""
    width, code = _width(max(values) - low)
    plain = values if low == 0 else [v - low for v in values]
    return signed(low) + bytes([width]) + _planes(plain, width, code)


def _walk(keys: Sequence[int], sets: Sets) -> Iterator[tuple[int, int, dict[int, int]]]:
    """The runs of rows between two sets, as (from, to), with the last value of each key as it stands before them. The
    caller keeps it up to date with the rows: writer and reader go through the same states."""
    last: dict[int, int] = {}
    begun = 0
    for start, key, value in sets:
        if start > begun:
            yield begun, start, last
            begun = start
        last[key] = int(value)
    yield begun, len(keys), last


def _moved(values: Sequence[int], keys: Sequence[int], sets: Sets) -> list[int]:
    moved = [0] * len(values)
    for begin, end, last in _walk(keys, sets):
        for n in range(begin, end):
            key, value = keys[n], values[n]
            moved[n] = value - last.get(key, 0)
            last[key] = value
    return moved


def put_ints(
    values: Sequence[int], keys: Sequence[int] | None = None, link: Link | None = None, told: Told | None = None
) -> bytes:
    """At least one value. With ``keys``, each may be told as its difference from the last one of the same key:
    what is known of one host repeats from decision to decision until that host is asked again; with ``told``, that
    answer counts as the last one. With ``link``, as its difference from what is predicted, where that is less."""
    low, span = _based(values)
    if span == 0:
        return bytes([CONSTANT]) + signed(low)
    if keys is not None:
        for heard in (told, None) if told is not None and told.sets else (None,):
            moved = _moved(values, keys, heard.sets if heard else ())
            if moved.count(0) * 2 > len(moved):
                head = bytes([TOLD]) + varint(heard.kind) + bytes([heard.what]) if heard else bytes([KEYED])
                return head + _spread(moved, min(moved))
    if link is not None:
        off = list(map(sub, values, link.predicted))
        if sum(map(int.bit_length, off)) < sum(map(int.bit_length, values)):
            return bytes([LINKED]) + varint(link.kind) + bytes([link.since]) + _spread(off, min(off))
    steps = list(map(sub, values[1:], values))
    step_low, step_span = _based(steps)
    if step_span * 2 < span:  # half a bit and more a value: below that the compressor finds as much by itself
        return bytes([DELTA]) + signed(values[0]) + _spread(steps, step_low)
    return bytes([OFFSET]) + _spread(values, low)


def get_ints(
    cursor: Cursor,
    count: int,
    keys: Sequence[int] | None = None,
    predict: Predict | None = None,
    hear: Hear | None = None,
) -> list[int]:
    mode = cursor.byte()
    if mode == CONSTANT:
        return [cursor.signed()] * count
    if mode == DELTA:
        first = cursor.signed()
        base = cursor.signed()
        steps = _from_planes(cursor, count - 1, cursor.byte())
        return list(accumulate(chain((first,), [s + base for s in steps] if base else steps)))
    if mode == LINKED and predict is not None:
        predicted = predict(cursor.count(), bool(cursor.byte()))
        base = cursor.signed()
        off = _from_planes(cursor, count, cursor.byte())
        if len(predicted) != count:
            raise ColumnError("a link to records that are not there")
        return [p + base + o for p, o in zip(predicted, off, strict=True)]
    sets: Sets = ()
    if mode == TOLD and hear is not None:
        sets = hear(cursor.count(), cursor.byte())
    elif mode not in (OFFSET, KEYED):
        raise ColumnError(f"layout {mode} of whole numbers")
    base = cursor.signed()
    plain = _from_planes(cursor, count, cursor.byte())
    values = [v + base for v in plain] if base else list(plain)
    if mode == OFFSET:
        return values
    if keys is None or len(keys) != count:
        raise ColumnError("a keyed column without keys")
    for begin, end, last in _walk(keys, sets):
        for n in range(begin, end):
            key = keys[n]
            values[n] = last[key] = last.get(key, 0) + values[n]
    return values


# Fractions, flags and texts.


def _scaled(values: Sequence[float]) -> tuple[int, list[int]] | None:
    """The values as whole numbers of the first scale that gives each of them back exactly."""
    if not all(map(isfinite, values)) or max(map(abs, values)) > 1e9:
        return None
    some = values[:16]
    for decimals in DECIMALS:
        scale = 10**decimals
        if any(round(v * scale) / scale != v for v in some):
            continue
        whole = [round(v * scale) for v in values]
        if all(map(eq, [w / scale for w in whole], values)):
            # Zero equals minus zero, and only one of the two comes back.
            minus = 0 in whole and any(v == 0 and copysign(1, v) < 0 for v in values)
            return None if minus else (decimals, whole)
    return None


def _whole(sets: Sets, scale: int) -> Sets:
    """In the scale of the column; what has none there is not told."""
    return [(row, key, round(v * scale)) for row, key, v in sets if isfinite(v) and abs(v) <= 1e9]


def put_floats(values: Sequence[float], keys: Sequence[int] | None = None, told: Told | None = None) -> bytes:
    scaled = _scaled(values)
    if scaled is not None:
        decimals, whole = scaled
        if told is not None:
            told = Told(told.kind, told.what, _whole(told.sets, 10**decimals))
        return bytes([DECIMAL, decimals]) + put_ints(whole, keys, told=told)
    return bytes([RAW]) + _planes(values, 8, "d")


def get_floats(cursor: Cursor, count: int, keys: Sequence[int] | None = None, hear: Hear | None = None) -> list[float]:
    mode = cursor.byte()
    if mode == DECIMAL:
        decimals = cursor.byte()
        if decimals > 9:
            raise ColumnError(f"{decimals} decimals")
        scale = 10**decimals
        heard = None if hear is None else lambda kind, what: _whole(hear(kind, what), scale)
        return [w / scale for w in get_ints(cursor, count, keys, hear=heard)]
    if mode != RAW:
        raise ColumnError(f"layout {mode} of fractions")
    return list(_joined(array("d"), cursor.take(count * 8), count, 8))


def put_flags(values: Sequence[bool]) -> bytes:
    return bytes(values)


def get_flags(cursor: Cursor, count: int) -> list[bool]:
    raw = cursor.take(count)
    if count and max(raw) > 1:
        raise ColumnError("a flag that is neither 0 nor 1")
    return [bool(v) for v in raw]


def put_texts(values: Sequence[str]) -> bytes:
    """A dictionary: distinct texts, numbered in this order. Ids in hexadecimal take half their letters."""
    if not values:
        return varint(0)
    first = len(values[0])
    if first and first % 2 == 0 and all(len(v) == first and _HEX.issuperset(v) for v in values):
        return varint(len(values)) + bytes([HEX]) + varint(first // 2) + bytes.fromhex("".join(values))
    raw = [v.encode("utf-8", "replace") for v in values]
    return varint(len(values)) + bytes([PLAIN]) + put_ints([len(r) for r in raw]) + b"".join(raw)


def get_texts(cursor: Cursor) -> list[str]:
    count = cursor.count()
    if count == 0:
        return []
    mode = cursor.byte()
    if mode == HEX:
        width = cursor.count(1 << 16)
        if width == 0:
            raise ColumnError("texts of no width")
        whole = cursor.take(count * width).hex()
        return [whole[at : at + 2 * width] for at in range(0, len(whole), 2 * width)]
    if mode != PLAIN:
        raise ColumnError(f"layout {mode} of texts")
    sizes = _lengths(get_ints(cursor, count), MOST_TEXT)
    try:
        return [str(cursor.take(size), "utf-8") for size in sizes]
    except UnicodeDecodeError as error:
        raise ColumnError(str(error)) from None


def _lengths(sizes: list[int], most: int) -> list[int]:
    if min(sizes) < 0 or sum(sizes) > most:
        raise ColumnError("lengths that cannot be")
    return sizes


def get_sizes(cursor: Cursor, count: int) -> list[int]:
    """How many items each row's list has."""
    return _lengths(get_ints(cursor, count), MOST_VALUES) if count else []
