"""Encoders and decoders for columns of integers, floats, flags and strings; no I/O.

docs/trace-format.md describes the layout. The functions work on whole columns with operations that run at C speed
(slices, ``array``, ``accumulate``) and leave compression to zstandard: an encoder only arranges the bytes so that
similar ones are adjacent. Decoders treat their input as untrusted: each length is checked against the remaining bytes
and against a limit before memory is allocated for it.
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

MAX_VALUES = 1 << 20  # per column, so that a damaged length cannot request gigabytes
MAX_STRING_TABLE_BYTES = 1 << 23  # total size of the strings in one table
MAX_SHORT_STRING_BYTES = 1 << 10
MAX_HEX_STRING_BYTES = 1 << 16  # of one string of a table in the HEX layout, after decoding its digits
MAX_DECIMALS = 9
MAX_SCALABLE = 1e9  # floats of a larger magnitude are stored as they are
SCALE_SAMPLE = 16  # values tried before a whole column is scaled
# Bytes of an integer, and the type code of ``array`` for it.
WIDTHS = ((1, "B"), (2, "H"), (4, "I"), (8, "Q"))
# The layouts of a column, as stored in the file.
CONSTANT, OFFSET, DELTA, KEYED_DELTA, PREDICTED, UPDATED_DELTA = range(6)  # integers
RAW, DECIMAL = range(2)  # floats
PLAIN, HEX = range(2)  # strings
# Decimal places to try, in this order: a scale finer than needed multiplies all values by a factor that no compressor
# detects.
DECIMALS = (0, 1, 2, 3, 6)
_HEX_DIGITS = frozenset("0123456789abcdef")


N = TypeVar("N", int, float)
# Predicted values, by the number of the record kind and whether to predict the time elapsed since that record.
Predictor = Callable[[int, bool], Sequence[int]]


@dataclass(slots=True, frozen=True)
class Prediction:
    """Values predicted from the records of another kind for the same requests.

    The column stores the differences from ``values``. ``source_kind`` is the number of the other record kind in the
    block; ``is_elapsed_time`` says that a value is predicted as the time since that record, not as a copy of its field.
    """

    source_kind: int
    is_elapsed_time: bool
    values: Sequence[int]


# Where an update takes the new value of a key from: the record's `at`, its field of the column's name, or 0.
SOURCE_TIME, SOURCE_SAME_FIELD, SOURCE_ZERO = range(3)
Updates = Sequence[tuple[int, int, float]]  # (first row it applies to, key, value), in row order
UpdateLookup = Callable[[int, int], Updates]  # by the number of the record kind and the source


@dataclass(slots=True, frozen=True)
class KeyUpdates:
    """Values that the records of another kind give to the keys of this column, between its rows.

    The load figures of a host stay the same until its next probe, and the result of a probe is a record of its own, so
    the column need not repeat what that record holds.
    """

    source_kind: int  # number of that record kind in the block
    value_source: int  # one of SOURCE_TIME, SOURCE_SAME_FIELD, SOURCE_ZERO
    updates: Updates


class ColumnError(Exception):
    """Bytes that are not a valid column, or a value that no column can hold."""


class Cursor:
    """Reads values from bytes in order.

    All methods raise ColumnError where the bytes end too early or hold no valid value.
    """

    __slots__ = ("data", "end", "position")

    def __init__(self, data: bytes | memoryview) -> None:
        self.data, self.position, self.end = memoryview(data), 0, len(data)

    def read(self, size: int) -> memoryview:
        """Return the next ``size`` bytes."""
        if size < 0 or size > self.end - self.position:
            raise ColumnError(f"{size} bytes expected, {self.end - self.position} left")
        self.position += size
        return self.data[self.position - size : self.position]

    def read_byte(self) -> int:
        """Return the next byte."""
        return self.read(1)[0]

    def read_varint(self) -> int:
        """Read an unsigned integer in LEB128: at most ten bytes, for 64 bits."""
        value = shift = 0
        while True:
            byte = self.read_byte()
            value |= (byte & 0x7F) << shift
            if byte < 0x80:
                return value
            shift += 7
            if shift > 63:
                raise ColumnError("a varint of more than ten bytes")

    def read_count(self, limit: int = MAX_VALUES) -> int:
        """Read a varint that must not exceed ``limit``."""
        value = self.read_varint()
        if value > limit:
            raise ColumnError(f"count {value} exceeds the limit of {limit}")
        return value

    def read_signed(self) -> int:
        """Read a sign byte and a varint.

        The result has up to 65 bits, enough for the difference of two 64-bit integers.
        """
        sign = self.read_byte()
        if sign > 1:
            raise ColumnError(f"invalid sign byte {sign}")
        return -self.read_varint() - 1 if sign else self.read_varint()

    def read_string(self) -> str:
        """Read a length and that many bytes of UTF-8."""
        try:
            return str(self.read(self.read_count(MAX_SHORT_STRING_BYTES)), "utf-8")
        except UnicodeDecodeError as error:
            raise ColumnError(str(error)) from None


def encode_varint(value: int) -> bytes:
    """Encode an unsigned integer in LEB128."""
    out = bytearray()
    while value >= 0x80:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def encode_signed(value: int) -> bytes:
    """Encode an integer as a sign byte and a varint."""
    return b"\x01" + encode_varint(-value - 1) if value < 0 else b"\x00" + encode_varint(value)


def encode_short_string(value: str) -> bytes:
    """Encode a length and the string in UTF-8."""
    raw = value.encode()
    return encode_varint(len(raw)) + raw


# Integers.


def _to_byte_planes(values: Iterable[float], width: int, code: str) -> bytes:
    """Encode fixed-width little-endian numbers as byte planes.

    All lowest bytes come first; the planes of the higher bytes are mostly zeros.
    """
    numbers = array(code, values)
    if sys.byteorder == "big":
        numbers.byteswap()
    data = numbers.tobytes()
    return data if width == 1 else b"".join(data[n::width] for n in range(width))


def _from_byte_planes(cursor: Cursor, count: int, width: int) -> array[int]:
    code = dict(WIDTHS).get(width)
    if code is None:
        raise ColumnError(f"invalid integer width {width}")
    return _join_planes(array(code), cursor.read(count * width), count, width)


def _join_planes(numbers: array[N], raw: memoryview, count: int, width: int) -> array[N]:
    """Decode byte planes into ``numbers``, an empty array of the required type."""
    if width == 1:
        numbers.frombytes(raw)
        return numbers
    interleaved = bytearray(count * width)
    for plane in range(width):
        interleaved[plane::width] = raw[plane * count : (plane + 1) * count]
    numbers.frombytes(interleaved)
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers


def _width_for(value_range: int) -> tuple[int, str]:
    """Return the smallest width in bytes, and its type code, that holds 0 to ``value_range``."""
    for width, code in WIDTHS:
        if value_range < 1 << 8 * width:
            return width, code
    raise ColumnError("integers differ by more than 64 bits")


def _min_and_range(values: Sequence[int]) -> tuple[int, int]:
    low = min(values)
    return low, max(values) - low


def _encode_offsets(values: Sequence[int], low: int) -> bytes:
    """Encode the base ``low``, the width, and the byte planes of the differences from the base."""
    width, code = _width_for(max(values) - low)
    offsets = values if low == 0 else [v - low for v in values]
    return encode_signed(low) + bytes([width]) + _to_byte_planes(offsets, width, code)


def _runs_between_updates(keys: Sequence[int], updates: Updates) -> Iterator[tuple[int, int, dict[int, int]]]:
    """Yield the runs of rows between updates, as (first row, end row, last value of each key before the run).

    The caller updates the mapping with the rows of the run, so that encoder and decoder go through the same states.
    """
    last: dict[int, int] = {}
    begin = 0
    for row, key, value in updates:
        if row > begin:
            yield begin, row, last
            begin = row
        last[key] = int(value)
    yield begin, len(keys), last


def _keyed_deltas(values: Sequence[int], keys: Sequence[int], updates: Updates) -> list[int]:
    """Return the difference of each value from the last value of the same key."""
    deltas = [0] * len(values)
    for begin, end, last in _runs_between_updates(keys, updates):
        for n in range(begin, end):
            key, value = keys[n], values[n]
            deltas[n] = value - last.get(key, 0)
            last[key] = value
    return deltas


def encode_ints(
    values: Sequence[int],
    keys: Sequence[int] | None = None,
    prediction: Prediction | None = None,
    key_updates: KeyUpdates | None = None,
) -> bytes:
    """Encode at least one integer in the layout that is likely to compress best.

    With ``keys``, a value may be stored as its difference from the last value of the same key: the figures of a host
    repeat from decision to decision until its next probe. With ``key_updates``, the result of that probe counts as the
    last value. With ``prediction``, a value may be stored as its difference from the predicted one.

    Raises:
        ColumnError: the values differ by more than 64 bits.
    """
    low, value_range = _min_and_range(values)
    if value_range == 0:
        return bytes([CONSTANT]) + encode_signed(low)
    if keys is not None:
        for candidate in (key_updates, None) if key_updates is not None and key_updates.updates else (None,):
            deltas = _keyed_deltas(values, keys, candidate.updates if candidate else ())
            if deltas.count(0) * 2 > len(deltas):
                layout = (
                    bytes([UPDATED_DELTA]) + encode_varint(candidate.source_kind) + bytes([candidate.value_source])
                    if candidate
                    else bytes([KEYED_DELTA])
                )
                return layout + _encode_offsets(deltas, min(deltas))
    if prediction is not None:
        residuals = list(map(sub, values, prediction.values))
        if sum(map(int.bit_length, residuals)) < sum(map(int.bit_length, values)):
            return (
                bytes([PREDICTED])
                + encode_varint(prediction.source_kind)
                + bytes([prediction.is_elapsed_time])
                + _encode_offsets(residuals, min(residuals))
            )
    steps = list(map(sub, values[1:], values))
    min_step, step_range = _min_and_range(steps)
    # Deltas must save a bit per value: with less to gain, the compressor does as well on the values themselves.
    if step_range * 2 < value_range:
        return bytes([DELTA]) + encode_signed(values[0]) + _encode_offsets(steps, min_step)
    return bytes([OFFSET]) + _encode_offsets(values, low)


def decode_ints(
    cursor: Cursor,
    count: int,
    keys: Sequence[int] | None = None,
    predict: Predictor | None = None,
    lookup_updates: UpdateLookup | None = None,
) -> list[int]:
    """Decode ``count`` integers.

    ``keys``, ``predict`` and ``lookup_updates`` must give what the encoder was given; ColumnError is raised where the
    layout needs one that is missing.
    """
    mode = cursor.read_byte()
    if mode == CONSTANT:
        return [cursor.read_signed()] * count
    if mode == DELTA:
        first = cursor.read_signed()
        base = cursor.read_signed()
        steps = _from_byte_planes(cursor, count - 1, cursor.read_byte())
        return list(accumulate(chain((first,), [s + base for s in steps] if base else steps)))
    if mode == PREDICTED and predict is not None:
        predicted = predict(cursor.read_count(), bool(cursor.read_byte()))
        base = cursor.read_signed()
        residuals = _from_byte_planes(cursor, count, cursor.read_byte())
        if len(predicted) != count:
            raise ColumnError("the column is predicted from records that are missing")
        return [p + base + r for p, r in zip(predicted, residuals, strict=True)]
    updates: Updates = ()
    if mode == UPDATED_DELTA and lookup_updates is not None:
        updates = lookup_updates(cursor.read_count(), cursor.read_byte())
    elif mode not in (OFFSET, KEYED_DELTA):
        raise ColumnError(f"unknown layout {mode} of integers")
    base = cursor.read_signed()
    offsets = _from_byte_planes(cursor, count, cursor.read_byte())
    values = [v + base for v in offsets] if base else list(offsets)
    if mode == OFFSET:
        return values
    if keys is None or len(keys) != count:
        raise ColumnError("a keyed column has no keys")
    for begin, end, last in _runs_between_updates(keys, updates):
        for n in range(begin, end):
            key = keys[n]
            values[n] = last[key] = last.get(key, 0) + values[n]
    return values


# Floats, flags and strings.


def _scale_to_ints(values: Sequence[float]) -> tuple[int, list[int]] | None:
    """Return the first of DECIMALS that represents all values exactly, and the values as integers of that scale.

    None where no scale does.
    """
    if not all(map(isfinite, values)) or max(map(abs, values)) > MAX_SCALABLE:
        return None
    sample = values[:SCALE_SAMPLE]
    for decimals in DECIMALS:
        scale = 10**decimals
        if any(round(v * scale) / scale != v for v in sample):
            continue
        scaled_values = [round(v * scale) for v in values]
        if all(map(eq, [v / scale for v in scaled_values], values)):
            # -0.0 equals 0.0 but would be decoded as 0.0.
            has_negative_zero = 0 in scaled_values and any(v == 0 and copysign(1, v) < 0 for v in values)
            return None if has_negative_zero else (decimals, scaled_values)
    return None


def _scale_updates(updates: Updates, scale: int) -> Updates:
    """Convert updates to the scale of the column, without those whose value it cannot represent."""
    return [(row, key, round(v * scale)) for row, key, v in updates if isfinite(v) and abs(v) <= MAX_SCALABLE]


def encode_floats(
    values: Sequence[float], keys: Sequence[int] | None = None, key_updates: KeyUpdates | None = None
) -> bytes:
    """Encode floats as scaled integers if that is exact, otherwise as their bytes."""
    scaled = _scale_to_ints(values)
    if scaled is not None:
        decimals, scaled_values = scaled
        if key_updates is not None:
            key_updates = KeyUpdates(
                key_updates.source_kind, key_updates.value_source, _scale_updates(key_updates.updates, 10**decimals)
            )
        return bytes([DECIMAL, decimals]) + encode_ints(scaled_values, keys, key_updates=key_updates)
    return bytes([RAW]) + _to_byte_planes(values, 8, "d")


def decode_floats(
    cursor: Cursor, count: int, keys: Sequence[int] | None = None, lookup_updates: UpdateLookup | None = None
) -> list[float]:
    """Decode ``count`` floats."""
    mode = cursor.read_byte()
    if mode == DECIMAL:
        decimals = cursor.read_byte()
        if decimals > MAX_DECIMALS:
            raise ColumnError(f"{decimals} decimal places exceed the limit of {MAX_DECIMALS}")
        scale = 10**decimals
        scaled_lookup = (
            None if lookup_updates is None else lambda kind, source: _scale_updates(lookup_updates(kind, source), scale)
        )
        return [v / scale for v in decode_ints(cursor, count, keys, lookup_updates=scaled_lookup)]
    if mode != RAW:
        raise ColumnError(f"unknown layout {mode} of floats")
    return list(_join_planes(array("d"), cursor.read(count * 8), count, 8))


def encode_flags(values: Sequence[bool]) -> bytes:
    """Encode booleans as one byte each."""
    return bytes(values)


def decode_flags(cursor: Cursor, count: int) -> list[bool]:
    """Decode ``count`` booleans."""
    raw = cursor.read(count)
    if count and max(raw) > 1:
        raise ColumnError("a flag is neither 0 nor 1")
    return [bool(v) for v in raw]


def encode_strings(values: Sequence[str]) -> bytes:
    """Encode a string table: distinct strings, numbered in this order.

    Strings of hexadecimal digits and of one even length, such as ids, take half a byte per digit.
    """
    if not values:
        return encode_varint(0)
    width = len(values[0])
    if width and width % 2 == 0 and all(len(v) == width and _HEX_DIGITS.issuperset(v) for v in values):
        return encode_varint(len(values)) + bytes([HEX]) + encode_varint(width // 2) + bytes.fromhex("".join(values))
    encoded = [v.encode("utf-8", "replace") for v in values]
    return encode_varint(len(values)) + bytes([PLAIN]) + encode_ints([len(e) for e in encoded]) + b"".join(encoded)


def decode_strings(cursor: Cursor) -> list[str]:
    """Decode a string table."""
    count = cursor.read_count()
    if count == 0:
        return []
    mode = cursor.read_byte()
    if mode == HEX:
        width = cursor.read_count(MAX_HEX_STRING_BYTES)
        if width == 0:
            raise ColumnError("hexadecimal strings of width 0")
        digits = cursor.read(count * width).hex()
        return [digits[start : start + 2 * width] for start in range(0, len(digits), 2 * width)]
    if mode != PLAIN:
        raise ColumnError(f"unknown layout {mode} of strings")
    sizes = _check_lengths(decode_ints(cursor, count), MAX_STRING_TABLE_BYTES)
    try:
        return [str(cursor.read(size), "utf-8") for size in sizes]
    except UnicodeDecodeError as error:
        raise ColumnError(str(error)) from None


def _check_lengths(sizes: list[int], limit: int) -> list[int]:
    if min(sizes) < 0 or sum(sizes) > limit:
        raise ColumnError(f"lengths are negative or exceed {limit} in total")
    return sizes


def decode_sizes(cursor: Cursor, count: int) -> list[int]:
    """Decode the number of items in each row's list."""
    return _check_lengths(decode_ints(cursor, count), MAX_VALUES) if count else []
