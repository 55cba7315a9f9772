"""Records to the payload of a block and back; no I/O. Laid out byte for byte in docs/trace-format.md.

A payload tells its own columns by name and type, so a block can be read by itself, and a reader passes over kinds
and fields that it does not know (it counts them in ``Unknown``).
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate, chain
from operator import sub
from typing import Any

import msgspec
from msgspec.structs import astuple

from bramblestile.trace import columns
from bramblestile.trace.columns import ColumnError, Cursor, short_text, signed, varint
from bramblestile.trace.records import INT_LEAST, INT_MOST, KINDS, Probed, Record, name_of
from bramblestile.trace.schema import BY_NAME, FLAG, FLOAT, INT, LINKS, SHAPES, TEXT, TOLD, Column, Shape

MOST_RECORDS = 1 << 16  # of one block
KEYS = ("cls", "host")  # what figures repeat with: a class waits as long each time, a host reports alike
MOST_KINDS, MOST_COLUMNS = 256, 256


@dataclass(slots=True)
class Unknown:
    """What a newer program wrote and this one does not know: how many records of a kind, or of a field."""

    counts: dict[str, int] = field(default_factory=dict)

    def add(self, what: str, count: int) -> None:
        self.counts[what] = self.counts.get(what, 0) + count


# Writing.


class _Texts:
    """The dictionaries of a block: one for each field name, so that an id is kept once for all kinds."""

    def __init__(self) -> None:
        self.by_name: dict[str, dict[str, int]] = {}

    def numbers(self, name: str, values: Sequence[str]) -> list[int]:
        known = self.by_name.setdefault(name, {})
        for value in dict.fromkeys(values):
            if value not in known:
                known[value] = len(known)
        return list(map(known.__getitem__, values))

    def put(self) -> bytes:
        parts = [varint(len(self.by_name))]
        for name, known in self.by_name.items():
            body = columns.put_texts(list(known))
            parts += [short_text(name), varint(len(body)), body]
        return b"".join(parts)


def _check_ints(name: str, values: Sequence[int]) -> None:
    if min(values) < INT_LEAST or max(values) > INT_MOST:
        raise ColumnError(f"{name}: a whole number beyond 64 bits")


class _Linked:
    """What the kinds of a block that came before say of a request, by column: the last of them counts. What this
    program passed over can be referred to by what it reads, and then there is no right value to give."""

    def __init__(self) -> None:
        self._said: dict[tuple[int, str], dict[int, int]] = {}
        self._passed: set[tuple[int, str]] = set()

    def passed(self, kind: int, name: str) -> None:
        self._passed.add((kind, name))

    def check(self, kind: int, name: str) -> None:
        if (kind, name) in self._passed or (kind, "") in self._passed:
            raise ColumnError(f"{name}: refers to records of a newer program")

    def add(self, kind: int, name: str, ids: Sequence[int], values: Sequence[int]) -> None:
        self._said[kind, name] = dict(zip(ids, values, strict=True))

    def predicted(self, kind: int, name: str, ids: Sequence[int]) -> list[int]:
        self.check(kind, name)
        said = self._said.get((kind, name), {})
        return [said.get(i, 0) for i in ids]

    def since(self, kind: int, ids: Sequence[int], at: Sequence[int]) -> list[int]:
        """The spans from that kind's record to these; nothing where it has none of the request."""
        self.check(kind, "at")
        said = self._said.get((kind, "at"), {})
        return [t - s if (s := said.get(i)) is not None else 0 for i, t in zip(ids, at, strict=True)]


@dataclass(slots=True)
class _Answers:
    """A block's records of a kind that tells of hosts, for the columns that repeat what a host said last."""

    where: Sequence[int]  # their places in the block
    hosts: Sequence[int]
    rows: Sequence[Record]

    def sets(self, name: str, what: int) -> list[tuple[int, int, float]]:
        """(place, host, value); a record without a value sets none."""
        if what == columns.ZERO:
            return [(p, h, 0) for p, h in zip(self.where, self.hosts, strict=True)]
        if what not in (columns.TIME, columns.SAME):
            raise ColumnError(f"{name}: told {what}")
        field_ = "at" if what == columns.TIME else name
        values = [getattr(r, field_, None) for r in self.rows]
        return [(p, h, v) for p, h, v in zip(self.where, self.hosts, values, strict=True) if v is not None]


@dataclass(slots=True)
class _Hearing:
    """For the rows of lists: which answers came before the record that each of them belongs to."""

    linked: _Linked
    answers: dict[int, _Answers]  # by a kind's number
    where: Sequence[int]  # the places in the block of the records that hold the lists
    sizes: Sequence[int]
    order: Mapping[type[Record], int] = field(default_factory=dict)

    def sets(self, name: str, kind: int, what: int, there: Sequence[bool] | None) -> list[tuple[int, int, float]]:
        """(row, host, value); rows are counted among those of ``there``."""
        self.linked.check(kind, name)
        heard = self.answers.get(kind)
        if heard is None:
            raise ColumnError(f"{name}: told by records that are not there")
        rows = list(accumulate(self.sizes, initial=0))
        if there is not None:
            left = list(accumulate(there, initial=0))
            rows = [left[row] for row in rows]
        return [(rows[bisect_left(self.where, place)], host, value) for place, host, value in heard.sets(name, what)]

    def told(self, name: str, there: Sequence[bool] | None) -> columns.Told | None:
        if name not in TOLD:
            return None
        cls, what = TOLD[name]
        kind = self.order.get(cls)
        if kind is None or kind not in self.answers:
            return None
        return columns.Told(kind, what, self.sets(name, kind, what, there))


@dataclass(slots=True)
class _Kind:
    """The rows of one kind of record while its columns are made or read: their requests and their times."""

    number: int
    linked: _Linked
    ids: list[int]
    at: list[int]
    order: Mapping[type[Record], int] = field(default_factory=dict)
    cls: type[Record] | None = None
    where: Sequence[int] = ()  # their places in the block
    answers: dict[int, _Answers] = field(default_factory=dict)

    def hearing(self, sizes: Sequence[int]) -> _Hearing:
        return _Hearing(self.linked, self.answers, self.where, sizes, self.order)

    def of(self, there: Sequence[bool]) -> _Kind:
        """Only those rows."""
        return _Kind(
            self.number,
            self.linked,
            [i for i, t in zip(self.ids, there, strict=True) if t],
            [a for a, t in zip(self.at, there, strict=True) if t],
            self.order,
            self.cls,
        )

    def predict(self, name: str, kind: int, since: bool) -> list[int]:
        if since:
            return self.linked.since(kind, self.ids, self.at)
        return self.linked.predicted(kind, name, self.ids)

    def link(self, name: str) -> columns.Link | None:
        if self.cls is None or (self.cls, name) not in LINKS:
            return None
        cls, since = LINKS[self.cls, name]
        if cls not in self.order:
            return None
        return columns.Link(self.order[cls], since, self.predict(name, self.order[cls], since))


def _put_column(
    column: Column,
    values: Sequence[Any],
    texts: _Texts,
    keys: Sequence[int] | None,
    kind: _Kind | None,
    hearing: _Hearing | None = None,
) -> bytes:
    """Presence, then the values that are there."""
    head = b""
    there: list[bool] | None = None
    if column.nullable:
        missing = values.count(None)
        if missing == len(values):
            return b"\x02"
        head = b"\x00"
        if missing:
            there = [v is not None for v in values]
            head = b"\x01" + bytes(there)
            keys = None if keys is None else [k for k, t in zip(keys, there, strict=True) if t]
            kind = None if kind is None else kind.of(there)
            values = [v for v in values if v is not None]
    told = None if hearing is None else hearing.told(column.name, there)
    if column.type in (INT, TEXT):
        if column.type == TEXT:
            values, keys = texts.numbers(column.name, values), None
        else:
            _check_ints(column.name, values)
        if kind is None:
            return head + columns.put_ints(values, keys, told=told)
        kind.linked.add(kind.number, column.name, kind.ids, values)
        return head + columns.put_ints(values, keys, kind.link(column.name))
    if column.type == FLOAT:
        return head + columns.put_floats(values, keys, told)
    if column.type == FLAG:
        return head + columns.put_flags(values)
    assert column.of is not None
    sizes = list(map(len, values))
    rows = [item for items in values for item in items]
    below = kind.hearing(sizes) if kind is not None else None
    return head + columns.put_ints(sizes) + (_put_rows(column.of, rows, texts, hearing=below) if rows else b"")


def _put_rows(
    shape: Shape,
    rows: Sequence[msgspec.Struct],
    texts: _Texts,
    kind: _Kind | None = None,
    hearing: _Hearing | None = None,
) -> bytes:
    """All columns of one struct. The first of KEYS among them is the key that those after it may refer to."""
    parts = [varint(len(shape.columns))]
    keys: list[int] | None = None
    # Whole rows to whole columns without a Python step for each field: half of the recorder's cost was here.
    by_name = dict(zip(shape.cls.__struct_fields__, zip(*map(astuple, rows), strict=True), strict=True))
    for column in shape.columns:
        name = column.name
        values = by_name[name]
        body = _put_column(column, values, texts, keys, kind, hearing)
        if keys is None and name in KEYS and column.type == TEXT and not column.nullable:
            keys = texts.numbers(name, values)
        parts += [short_text(name), bytes([column.type, column.nullable]), varint(len(body)), body]
    return b"".join(parts)


def _put_steps(at: Sequence[int], order: bytes, kinds: int) -> list[bytes]:
    """The time from each record to the next, apart for each kind: a stand follows its answer in microseconds, a
    request comes whenever it comes, and columns of one law squeeze better than a mixture (by 13%, measured)."""
    steps: list[list[int]] = [[] for _ in range(kinds)]
    for kind, step in zip(order, chain((0,), map(sub, at[1:], at)), strict=True):
        steps[kind].append(step)
    return [columns.put_ints(s) for s in steps]


def _get_steps(cursor: Cursor, order: bytes, kinds: int) -> list[int]:
    first = cursor.signed()
    steps = [iter(columns.get_ints(cursor, n)) if (n := order.count(kind)) else iter(()) for kind in range(kinds)]
    return list(accumulate(chain((first + next(steps[order[0]]),), (next(steps[kind]) for kind in order[1:]))))


def _places(order: bytes, kinds: int) -> list[list[int]]:
    """The places in the block of each kind's records."""
    where: list[list[int]] = [[] for _ in range(kinds)]
    for n, k in enumerate(order):
        where[k].append(n)
    return where


def _ids(rows: Sequence[Record], texts: _Texts) -> list[int] | None:
    """The numbers of the requests that these records tell of; None for a kind that tells of none, or not always."""
    shape = SHAPES[type(rows[0])]
    if not any(c.name == "id" and not c.nullable for c in shape.columns):
        return None
    return texts.numbers("id", [r.id for r in rows])  # type: ignore[attr-defined]


def put(rows: Sequence[Record]) -> bytes:
    """One block's payload, uncompressed. At least one record, at most MOST_RECORDS."""
    kinds: dict[type[Record], list[Record]] = {}
    for row in rows:
        kinds.setdefault(type(row), []).append(row)
    # Always in this order, so that a kind may refer to those before it whatever came first in time.
    order = {cls: n for n, cls in enumerate(cls for cls in KINDS if cls in kinds)}
    texts, linked = _Texts(), _Linked()
    answers: dict[int, _Answers] = {}
    # In this order: the texts' numbers are given out while the columns are made.
    body = [bytes([order[type(r)] for r in rows])]
    at, adj = [r.at for r in rows], [r.adj for r in rows]
    _check_ints("at", at)
    _check_ints("adj", adj)
    src = texts.numbers("src", [r.src for r in rows])
    body += [signed(at[0]), *_put_steps(at, body[0], len(order)), columns.put_ints(adj), columns.put_ints(src)]
    where = _places(body[0], len(order))
    for cls, number in order.items():
        of_kind = kinds[cls]
        ids = _ids(of_kind, texts)
        kind = (
            None
            if ids is None
            else _Kind(number, linked, ids, [r.at for r in of_kind], order, cls, where[number], answers)
        )
        if kind is not None:
            linked.add(number, "at", kind.ids, kind.at)
        made = _put_rows(SHAPES[cls], of_kind, texts, kind=kind)
        if cls is Probed:
            hosts = texts.numbers("host", [r.host for r in of_kind])  # type: ignore[attr-defined]
            answers[number] = _Answers(where[number], hosts, of_kind)
        body += [short_text(name_of(cls)), bytes([cls.VERSION]), varint(len(of_kind)), varint(len(made)), made]
    return b"".join([varint(len(rows)), varint(len(kinds)), texts.put(), *body])


# Reading.


def _texts(cursor: Cursor) -> dict[str, list[str]]:
    found = {}
    for _ in range(cursor.count(MOST_COLUMNS)):
        name = cursor.text()
        body = Cursor(cursor.take(cursor.count(columns.MOST_TEXT)))
        found[name] = columns.get_texts(body)
    return found


def _lookup(texts: dict[str, list[str]], name: str, numbers: list[int]) -> list[str]:
    known = texts.get(name, [])
    if numbers and not (min(numbers) >= 0 and max(numbers) < len(known)):
        raise ColumnError(f"{name}: a text that is not in the dictionary")
    return [known[n] for n in numbers]


def _get_column(
    cursor: Cursor,
    column: Column,
    count: int,
    texts: dict[str, list[str]],
    unknown: Unknown,
    keys: Sequence[int] | None,
    kind: _Kind | None,
    hearing: _Hearing | None = None,
) -> list[Any]:
    present: list[bool] | None = None
    if column.nullable:
        mark = cursor.byte()
        if mark == 2:
            return [None] * count
        if mark == 1:
            present = columns.get_flags(cursor, count)
            keys = None if keys is None else [k for k, p in zip(keys, present, strict=True) if p]
            kind = None if kind is None else kind.of(present)
            count = sum(present)
        elif mark != 0:
            raise ColumnError(f"{column.name}: presence {mark}")
    values: list[Any]
    hear: columns.Hear | None = None
    if hearing is not None:
        below = hearing
        hear = lambda kind, what: below.sets(column.name, kind, what, present)  # noqa: E731
    if count == 0:
        values = []
    elif column.type in (INT, TEXT):
        values = _get_ints(cursor, column, count, keys, kind, hear)
        if column.type == TEXT:
            values = _lookup(texts, column.name, values)
    elif column.type == FLOAT:
        values = columns.get_floats(cursor, count, keys, hear)
    elif column.type == FLAG:
        values = columns.get_flags(cursor, count)
    else:
        assert column.of is not None
        values = _get_lists(cursor, column.of, columns.get_sizes(cursor, count), texts, unknown, kind)
    if present is None:
        return values
    there = iter(values)
    return [next(there) if p else None for p in present]


def _get_ints(
    cursor: Cursor,
    column: Column,
    count: int,
    keys: Sequence[int] | None,
    kind: _Kind | None,
    hear: columns.Hear | None = None,
) -> list[int]:
    if kind is None:
        return columns.get_ints(cursor, count, keys if column.type == INT else None, hear=hear)
    values = columns.get_ints(cursor, count, keys, lambda of, since: kind.predict(column.name, of, since))
    kind.linked.add(kind.number, column.name, kind.ids, values)
    return values


def _get_lists(
    cursor: Cursor, shape: Shape, sizes: list[int], texts: dict[str, list[str]], unknown: Unknown, kind: _Kind | None
) -> list[list[Any]]:
    total = sum(sizes)
    below = None if kind is None else kind.hearing(sizes)
    rows = _get_rows(cursor, shape, total, texts, unknown, hearing=below) if total else []
    at, made = 0, []
    for size in sizes:
        made.append(rows[at : at + size])
        at += size
    return made


def _get_rows(
    cursor: Cursor,
    shape: Shape,
    count: int,
    texts: dict[str, list[str]],
    unknown: Unknown,
    kind: _Kind | None = None,
    hearing: _Hearing | None = None,
    **common: list[Any],
) -> list[Any]:
    """The structs whose columns come next. A column that this program knows under another type is passed over
    like one that it does not know, and takes its default where it has one."""
    wanted = {c.name: c for c in shape.columns}
    found: dict[str, list[Any]] = {}
    keys: list[int] | None = None
    for n in range(cursor.count(MOST_COLUMNS)):
        name, type_, nullable = cursor.text(), cursor.byte(), cursor.byte()
        body = Cursor(cursor.take(cursor.count(1 << 24)))
        column = wanted.get(name)
        if column is None or column.type != type_ or nullable > column.nullable:
            unknown.add(f"{shape.cls.__name__}.{name}", count)
            if kind is not None:
                kind.linked.passed(kind.number, name)
            continue
        plain = column if column.nullable == bool(nullable) else Column(name, type_, False, column.of)
        linked = kind if kind and kind.ids else None
        if type_ == TEXT and not nullable and count:
            numbers = _get_ints(body, plain, count, None, linked)
            found[name] = _lookup(texts, name, numbers)
            if kind is not None and name == "id" and n == 0:
                # The first column: whose requests these are, for what the others refer to.
                kind.ids = numbers
                kind.linked.add(kind.number, "at", kind.ids, kind.at)
            if keys is None and name in KEYS:
                keys = numbers
        else:
            found[name] = _get_column(body, plain, count, texts, unknown, keys, linked, hearing)
        if body.at != body.end:
            raise ColumnError(f"{name}: {body.end - body.at} bytes too many")
    made: list[Any] = []
    cls: Callable[..., Any] = shape.cls
    try:
        if len(found) == len(wanted) and list(found) == list(wanted):
            if common:
                made = [
                    cls(*row, at=at, adj=adj, src=src)
                    for row, at, adj, src in zip(
                        zip(*found.values(), strict=True), common["at"], common["adj"], common["src"], strict=True
                    )
                ]
            else:
                made = [cls(*row) for row in zip(*found.values(), strict=True)]
        else:
            both = {**found, **common}
            made = [cls(**dict(zip(both, row, strict=True))) for row in zip(*both.values(), strict=True)]
    except TypeError as error:  # a field without a default is not there
        raise ColumnError(f"{shape.cls.__name__}: {error}") from None
    return made


def texts_of(raw: bytes) -> dict[str, list[str]]:
    """The dictionaries alone: enough to tell whether a block holds an id or a host at all."""
    cursor = Cursor(raw)
    cursor.count(MOST_RECORDS)
    cursor.count(MOST_KINDS)
    return _texts(cursor)


def get(raw: bytes, unknown: Unknown) -> list[Record]:
    """The records of a payload, in the order in which they were written. ColumnError where it is none."""
    cursor = Cursor(raw)
    count, kinds = cursor.count(MOST_RECORDS), cursor.count(MOST_KINDS)
    if count == 0:
        raise ColumnError("a block without records")
    texts = _texts(cursor)
    order = bytes(cursor.take(count))
    if max(order) >= kinds:
        raise ColumnError("a record of no kind")
    at, adj = _get_steps(cursor, order, kinds), columns.get_ints(cursor, count)
    src = _lookup(texts, "src", columns.get_ints(cursor, count))
    made: list[Iterator[Record] | None] = []
    linked = _Linked()
    where = _places(order, kinds)
    answers: dict[int, _Answers] = {}
    for number in range(kinds):
        name, _version, of_kind = cursor.text(), cursor.byte(), cursor.count(MOST_RECORDS)
        body = Cursor(cursor.take(cursor.count(1 << 24)))
        mine = where[number]
        if len(mine) != of_kind:
            raise ColumnError(f"{name}: {of_kind} records told, {len(mine)} there")
        cls = BY_NAME.get(name)
        if cls is None or _version > cls.VERSION:
            unknown.add(name, of_kind)
            linked.passed(number, "")
            made.append(None)
            continue
        times = [at[n] for n in mine]
        of_these = _get_rows(
            body,
            SHAPES[cls],
            of_kind,
            texts,
            unknown,
            kind=_Kind(number, linked, [], times, where=mine, answers=answers),
            at=times,
            adj=[adj[n] for n in mine],
            src=[src[n] for n in mine],
        )
        if cls is Probed and of_these:
            numbers = {text: n for n, text in enumerate(texts.get("host", []))}
            answers[number] = _Answers(mine, [numbers[r.host] for r in of_these], of_these)
        made.append(iter(of_these))
    if cursor.at != cursor.end:
        raise ColumnError(f"{cursor.end - cursor.at} bytes too many")
    return [next(rows) for kind in order if (rows := made[kind]) is not None]
