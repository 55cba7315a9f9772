"""The trace format: what goes in comes out, and what is damaged costs its block and nothing else."""

from __future__ import annotations

import itertools
import math
import random
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import msgspec
import pytest
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from bramblestile.trace import Query, Reader, TraceError, Writer, columns, frames, payload, rows, schema
from bramblestile.trace.columns import ColumnError, Cursor
from bramblestile.trace.payload import UnknownCounts
from bramblestile.trace.records import (
    KINDS,
    Candidate,
    Decision,
    HostState,
    Probed,
    Record,
    Request,
    Started,
    from_json,
    to_json,
)
from tests.fleet import Fleet

LAYOUTS = pytest.mark.parametrize("layout", [frames.COLUMNS, frames.ROWS], ids=["columns", "rows"])
SCRIPT = ((1, "drain", "3"), (2, "die", "5"), (4, "back", "3"))


def some(count: int, **more: Any) -> list[Record]:
    return list(itertools.islice(Fleet(script=SCRIPT, rate=80.0, **more).records(), count))


ROWS = some(1500)


def write(path: Path, records: list[Record], block: int = 100, layout: int = frames.COLUMNS, **told: Any) -> Path:
    with open(path, "wb") as file:
        writer = Writer(file, told, level=1, block_records=block, layout=layout)
        writer.extend(records)
        writer.flush()
    return path


def read(path: Path, wanted: Query | None = None) -> tuple[list[Record], Reader]:
    with Reader(path) as reader:
        return list(reader.read(wanted)), reader


INTS = st.integers(-(1 << 63), (1 << 64) - 1)
FLOATS = (0.0, -0.0, 0.5, 1 / 3, 1e300, 12.25, 0.001, 5e-324, math.inf)
TEXTS = ("", "0a1b2c3d", "s-be1e0823", "år", "\n\0", "0a1b2c3e")


def drawn(shape: schema.StructSchema, r: random.Random) -> Any:
    """A struct with a value of each field's type, odd ones among them."""

    def one(column: schema.Column) -> Any:
        if column.nullable and r.random() < 0.5:
            return None
        if column.item_schema is not None:
            return [drawn(column.item_schema, r) for _ in range(r.randrange(4))]
        return {
            schema.INT: r.choice((0, 1, -1, r.randrange(1000), r.getrandbits(60))),
            schema.TEXT: r.choice(TEXTS),
            schema.FLOAT: r.choice(FLOATS),
            schema.FLAG: r.random() < 0.5,
        }[column.type]

    fields = {column.name: one(column) for column in shape.columns}
    if issubclass(shape.cls, Record):
        fields |= {"at": r.getrandbits(r.choice((1, 60))), "src": r.choice(TEXTS), "adj": r.randrange(-9, 9) << 36}
    return shape.cls(**fields)


@LAYOUTS
@pytest.mark.parametrize("seed", range(30))
def test_every_record_comes_back_as_it_was(layout: int, seed: int) -> None:
    r = random.Random(seed)
    records = [drawn(schema.SCHEMAS[r.choice(KINDS)], r) for _ in range(r.choice((1, 3, 40)))]
    unknown = UnknownCounts()
    raw = payload.encode(records) if layout == frames.COLUMNS else rows.encode(records)
    got = payload.decode(raw, unknown) if layout == frames.COLUMNS else rows.decode(raw, unknown)
    assert list(map(repr, got)) == list(map(repr, records)) and not unknown.counts


def test_json_lines_are_lossless() -> None:
    assert [from_json(to_json(r)) for r in ROWS] == ROWS


@settings(deadline=None)
@given(st.lists(INTS, min_size=1, max_size=40), st.lists(st.integers(0, 3), min_size=40, max_size=40))
def test_whole_numbers(values: list[int], keys: list[int]) -> None:
    try:
        plain, keyed = columns.encode_ints(values), columns.encode_ints(values, keys[: len(values)])
    except ColumnError:
        assert max(values) - min(values) >= 1 << 64
        return
    assert columns.decode_ints(Cursor(plain), len(values)) == values
    assert columns.decode_ints(Cursor(keyed), len(values), keys[: len(values)]) == values


@pytest.mark.parametrize(
    "values",
    [
        [0.0, -0.0],
        [math.nan, 1.0],
        [math.inf, -math.inf],
        [0.1, 0.25, 1e300],
        [5e-324],
        [1e9 + 0.5],
        [0.001, 123.456],
        [1 / 3],
        [0.61, 0.5, 12.0],
        [1e15, 0.1],
    ],
)
def test_fractions_keep_every_bit(values: list[float]) -> None:
    got = columns.decode_floats(Cursor(columns.encode_floats(values)), len(values))
    assert [v.hex() for v in got] == [v.hex() for v in values]


@LAYOUTS
def test_a_window_a_request_and_a_host_are_found_and_nothing_else(tmp_path: Path, layout: int) -> None:
    path = write(tmp_path / "t.trace", ROWS, layout=layout)
    assert read(path)[0] == ROWS
    since, until = ROWS[400].at, ROWS[900].at
    assert read(path, Query(since, until))[0] == [r for r in ROWS if since <= r.at < until]
    asked = next(r for r in ROWS[300:] if isinstance(r, Request))
    assert read(path, Query(id=asked.id))[0] == [r for r in ROWS if getattr(r, "id", None) == asked.id]
    host = next(r.host for r in ROWS if isinstance(r, Decision) and r.host)
    got = read(path, Query(host=host))[0]
    told = [r for r in ROWS if host.encode() in to_json(r)]
    assert got == told and len(got) > 20
    ids = {r.id for r in ROWS if isinstance(r, Request) and r.cls == asked.cls}
    assert read(path, Query(since, until, cls=asked.cls))[0] == [
        r for r in ROWS if since <= r.at < until and getattr(r, "id", None) in ids
    ]


def test_a_request_is_found_by_the_index_without_reading_the_other_blocks(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = write(tmp_path / "t.trace", ROWS, block=50)
    asked = next(r for r in ROWS if isinstance(r, Request))
    read_blocks: list[int] = []
    plain = frames.BlockDecoder.decode

    def counted(self: frames.BlockDecoder, frame: frames.Frame, *more: Any) -> list[Record]:
        read_blocks.append(frame.number)
        return plain(self, frame, *more)

    monkeypatch.setattr(frames.BlockDecoder, "decode", counted)
    got = read(path, Query(id=asked.id))[0]
    holding = {n // 50 for n, r in enumerate(ROWS) if getattr(r, "id", None) == asked.id}
    assert len(got) >= 4 and set(read_blocks) == holding


# Damage.


def sound(got: list[Record], before: list[Record], blocks: int, block: int = 100) -> None:
    """Whole blocks are missing, at most so many, and nothing is there that was not written."""
    kept = [before[n : n + block] for n in range(0, len(before), block)]
    at = 0
    missing = 0
    for one in kept:
        if got[at : at + len(one)] == one:
            at += len(one)
        else:
            missing += 1
    assert at == len(got) and missing <= blocks, (missing, at, len(got))


@LAYOUTS
def test_cut_at_every_byte_of_its_last_two_blocks(memory_path: Path, layout: int) -> None:
    path = write(memory_path / "t.trace", ROWS[:230], layout=layout, block=100)
    whole = path.read_bytes()
    with Reader(path) as reader:
        places = list(reader.block_locations())
    for end in range(places[1].offset, len(whole)):
        path.write_bytes(whole[:end])
        got, reader = read(path)
        assert got == ROWS[: 100 if end < places[2].offset else 200]
        assert reader.damage_count == (0 if end in (places[1].offset, places[2].offset) else 1)


@pytest.mark.parametrize("layout", [frames.COLUMNS, frames.ROWS])
def test_a_flipped_bit_costs_its_block_and_is_told(memory_path: Path, layout: int) -> None:
    path = write(memory_path / "t.trace", ROWS[:800], layout=layout)
    whole = path.read_bytes()
    places = random.Random(7)
    for _ in range(500):
        at = places.randrange(len(whole))
        path.write_bytes(whole[:at] + bytes([whole[at] ^ 1 << places.randrange(8)]) + whole[at + 1 :])
        got, reader = read(path)
        sound(got, ROWS[:800], 1)
        assert reader.damage_count == 1 and 0 <= reader.damage[0].offset <= at


def test_zeros_at_the_end_and_a_hole_in_the_middle_are_told_with_their_place(tmp_path: Path) -> None:
    path = write(tmp_path / "t.trace", ROWS[:500])
    whole = path.read_bytes()
    path.write_bytes(whole + bytes(5000))
    got, reader = read(path)
    assert got == ROWS[:500] and str(reader.damage[0]) == f"offset {len(whole)}: 5000 bytes: zeros"
    with Reader(path) as reader:
        hole = list(reader.block_locations())[2]
    path.write_bytes(whole[: hole.offset + 3] + bytes(hole.frame.size) + whole[hole.offset + 3 + hole.frame.size :])
    got, reader = read(path)
    sound(got, ROWS[:500], 2)


@settings(deadline=None, max_examples=150)
@given(st.data())
def test_a_reader_raises_nothing_but_its_own_error(data: st.DataObject) -> None:
    """Payloads whose checksums hold and that make no sense: what a program with a fault, or a foe, would write."""
    raw = bytearray(payload.encode(ROWS[:60]) if data.draw(st.booleans()) else rows.encode(ROWS[:60]))
    layout = frames.ROWS if raw.startswith(rows._HEADER) else frames.COLUMNS
    for _ in range(data.draw(st.integers(1, 4))):
        at = data.draw(st.integers(0, len(raw) - 1))
        junk = data.draw(st.one_of(st.binary(max_size=12), st.just(b"\xff" * 9 + b"\x01")))
        raw[at : at + data.draw(st.integers(0, 12))] = junk
    unpacker, unknown = frames.BlockDecoder(), UnknownCounts()
    packer = frames.BlockEncoder(1, layout)
    block = packer.compress(frames.EncodedBlock(bytes(raw), b"", 60, 0, 1, layout), 0)
    frame = frames.decode_frame(block)
    assert frame is not None
    try:
        got = unpacker.decode(frame, block[frames.FRAME_SIZE :], unknown)
    except TraceError:
        return
    assert len(got) <= 60


@settings(deadline=None, max_examples=80)
@given(st.binary(max_size=400), st.booleans())
def test_any_file_is_a_trace_or_is_not(tmp_path_factory: pytest.TempPathFactory, junk: bytes, headed: bool) -> None:
    path = tmp_path_factory.mktemp("junk") / "f"
    path.write_bytes((frames.encode_file_header({}) if headed else b"") + junk)
    try:
        got, _ = read(path)
    except TraceError:
        assert not headed
        return
    assert got == []


def test_lengths_that_lie_take_no_memory() -> None:
    """A frame that claims 4 GB, a block that claims to unpack to it, a column of 2^60 values."""
    good = frames.decode_frame(frames.BlockEncoder(1).encode_block(ROWS[:5], 0))
    assert good is not None
    for lie in ({"raw_bytes": 1 << 31}, {"filter_bytes": 1 << 30}, {"record_count": 1 << 30}):
        assert frames.decode_frame(replace(good, **lie).encode()) is None
    for size in (b"\xff" * 9 + b"\x01", columns.encode_varint(1 << 40)):
        with pytest.raises(ColumnError):
            payload.decode(size + b"\x01" * 50, UnknownCounts())
        with pytest.raises(ColumnError):
            columns.decode_strings(Cursor(size + b"\x00" * 50))


# Versions.


class Newer(Record, tag="newer"):
    what: str
    parts: list[HostState] = []  # noqa: RUF012 - msgspec copies it


class Wider(Record, tag="started"):
    hall: str = ""
    version: str = ""
    fronts: str = ""
    cores: int = 0


@LAYOUTS
def test_an_older_reader_passes_over_what_it_does_not_know_and_counts_it(
    layout: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    mixed: list[Record] = [Wider("here", cores=4, at=1), Newer("x", [HostState("a", "running")], at=2), ROWS[1]]
    with monkeypatch.context() as patch:
        patch.setattr(payload, "KINDS", (*KINDS, Newer, Wider))
        for made in (Newer, Wider):
            patch.setitem(cast(Any, schema.SCHEMAS), made, schema.struct_schema(made))
        patch.setattr(
            rows,
            "_HEADER",
            b"\x92"
            + msgspec.msgpack.encode(
                rows._FIELDS_BY_KIND
                | {"newer": ["at", "what", "parts"], "started": [*rows._FIELDS_BY_KIND["started"], "cores"]}
            ),
        )
        raw = payload.encode(mixed) if layout == frames.COLUMNS else rows.encode(mixed)
    unknown = UnknownCounts()
    got = payload.decode(raw, unknown) if layout == frames.COLUMNS else rows.decode(raw, unknown)
    assert got == [Started("here", at=1), ROWS[1]]
    assert {k.lower(): v for k, v in unknown.counts.items()} == {"newer": 1, "started.cores": 1}


@pytest.mark.parametrize("kind", ["decision", "probed"])
def test_what_refers_to_records_of_a_newer_program_is_refused_and_never_told_wrong(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as patch:
        patch.setattr(schema.TYPES_BY_KIND[kind], "VERSION", 2)
        raw = payload.encode(ROWS)
    with pytest.raises(ColumnError, match="refers to records of a newer program"):
        payload.decode(raw, UnknownCounts())


@pytest.mark.parametrize("seed", range(20))
def test_what_a_host_answered_is_not_told_again_with_each_decision_and_comes_back_alike(seed: int) -> None:
    r = random.Random(seed)
    hosts = ["a", "b", "c"]
    told: dict[str, tuple[float | None, int]] = {}
    made: list[Record] = []
    for at in range(1, 600):
        host = r.choice(hosts)
        if r.random() < 0.3:
            # Among them what a careless prediction would trip over: no answer, no figure, one off the column's scale.
            load = r.choice((None, round(r.random(), 3), r.random(), 1e12, -0.25))
            made.append(Probed(host, r.choice(("served", "failed")), 5, load=load, at=at))
            if r.random() < 0.9:
                told[host] = load, at
        else:
            made.append(
                Decision(
                    f"{at:016x}",
                    "attempt",
                    "first",
                    candidates=[
                        Candidate(
                            h, load=told.get(h, (None, 0))[0], load_at=told.get(h, (None, 0))[1], placed=r.randrange(2)
                        )
                        for h in r.sample(hosts, r.randrange(4))
                    ],
                    at=at,
                )
            )
    raw = payload.encode(made)
    assert payload.decode(raw, UnknownCounts()) == made
    silent = [r for r in made if not isinstance(r, Probed)]
    assert payload.decode(payload.encode(silent), UnknownCounts()) == silent


def test_the_figures_of_a_hosts_answer_take_no_room_in_the_decisions_after_it() -> None:
    def packed(answers: bool) -> int:
        r, made = random.Random(1), list[Record]()
        for at in itertools.accumulate(r.randrange(1, 10**6) for _ in range(400)):
            load = r.randrange(1000) / 1000
            if answers:
                made.append(Probed("a", "served", 5, load=load, at=at))
            made.append(
                Decision(
                    "x",
                    "attempt",
                    "first",
                    at=at + 1,
                    candidates=[Candidate("a", load=load, load_at=at), Candidate("b", load=0.5, load_at=7)],
                )
            )
        return len(zstandard.compress(payload.encode(made)))

    # The answers themselves take 400 times and loads; a decision that repeated them would take as much again.
    assert packed(True) < packed(False) + 150


def test_a_newer_major_version_and_what_is_no_trace_are_named(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with monkeypatch.context() as patch:
        patch.setattr(frames, "MAJOR", 2)
        path = write(tmp_path / "t.trace", ROWS[:5])
    with pytest.raises(TraceError, match=r"^version 2\.0 of the format; this program reads 1\.x$"):
        Reader(path)
    path.write_bytes(b"# notes\n" * 100)
    with pytest.raises(TraceError, match=r"^not a trace$"):
        Reader(path)
