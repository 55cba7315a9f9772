"""Tests of the trace format: records survive encoding, and damage costs only the damaged blocks."""

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


def fleet_records(count: int, **settings: Any) -> list[Record]:
    return list(itertools.islice(Fleet(script=SCRIPT, rate=80.0, **settings).records(), count))


RECORDS = fleet_records(1500)


def write(
    path: Path, records: list[Record], block: int = 100, layout: int = frames.COLUMNS, **description: Any
) -> Path:
    with open(path, "wb") as file:
        writer = Writer(file, description, level=1, block_records=block, layout=layout)
        writer.extend(records)
        writer.flush()
    return path


def read(path: Path, query: Query | None = None) -> tuple[list[Record], Reader]:
    with Reader(path) as reader:
        return list(reader.read(query)), reader


INTS = st.integers(-(1 << 63), (1 << 64) - 1)
FLOATS = (0.0, -0.0, 0.5, 1 / 3, 1e300, 12.25, 0.001, 5e-324, math.inf)
TEXTS = ("", "0a1b2c3d", "s-be1e0823", "år", "\n\0", "0a1b2c3e")


def random_struct(struct_schema: schema.StructSchema, rng: random.Random) -> Any:
    """Return a struct with random values, including unusual ones."""

    def value_for(column: schema.Column) -> Any:
        if column.nullable and rng.random() < 0.5:
            return None
        if column.item_schema is not None:
            return [random_struct(column.item_schema, rng) for _ in range(rng.randrange(4))]
        return {
            schema.INT: rng.choice((0, 1, -1, rng.randrange(1000), rng.getrandbits(60))),
            schema.TEXT: rng.choice(TEXTS),
            schema.FLOAT: rng.choice(FLOATS),
            schema.FLAG: rng.random() < 0.5,
        }[column.type]

    fields = {column.name: value_for(column) for column in struct_schema.columns}
    if issubclass(struct_schema.cls, Record):
        fields |= {
            "at": rng.getrandbits(rng.choice((1, 60))),
            "src": rng.choice(TEXTS),
            "adj": rng.randrange(-9, 9) << 36,
        }
    return struct_schema.cls(**fields)


@LAYOUTS
@pytest.mark.parametrize("seed", range(30))
def test_every_record_survives_encoding(layout: int, seed: int) -> None:
    rng = random.Random(seed)
    records = [random_struct(schema.SCHEMAS[rng.choice(KINDS)], rng) for _ in range(rng.choice((1, 3, 40)))]
    unknown = UnknownCounts()
    payload_bytes = payload.encode(records) if layout == frames.COLUMNS else rows.encode(records)
    decoded = (
        payload.decode(payload_bytes, unknown) if layout == frames.COLUMNS else rows.decode(payload_bytes, unknown)
    )
    assert list(map(repr, decoded)) == list(map(repr, records)) and not unknown.counts


def test_json_lines_are_lossless() -> None:
    assert [from_json(to_json(r)) for r in RECORDS] == RECORDS


@settings(deadline=None)
@given(st.lists(INTS, min_size=1, max_size=40), st.lists(st.integers(0, 3), min_size=40, max_size=40))
def test_integers(values: list[int], keys: list[int]) -> None:
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
def test_floats_keep_every_bit(values: list[float]) -> None:
    decoded = columns.decode_floats(Cursor(columns.encode_floats(values)), len(values))
    assert [v.hex() for v in decoded] == [v.hex() for v in values]


@LAYOUTS
def test_queries_by_window_request_host_and_class(tmp_path: Path, layout: int) -> None:
    path = write(tmp_path / "t.trace", RECORDS, layout=layout)
    assert read(path)[0] == RECORDS
    since, until = RECORDS[400].at, RECORDS[900].at
    assert read(path, Query(since, until))[0] == [r for r in RECORDS if since <= r.at < until]
    request = next(r for r in RECORDS[300:] if isinstance(r, Request))
    assert read(path, Query(id=request.id))[0] == [r for r in RECORDS if getattr(r, "id", None) == request.id]
    host = next(r.host for r in RECORDS if isinstance(r, Decision) and r.host)
    found = read(path, Query(host=host))[0]
    expected = [r for r in RECORDS if host.encode() in to_json(r)]
    assert found == expected and len(found) > 20
    ids = {r.id for r in RECORDS if isinstance(r, Request) and r.cls == request.cls}
    assert read(path, Query(since, until, cls=request.cls))[0] == [
        r for r in RECORDS if since <= r.at < until and getattr(r, "id", None) in ids
    ]


def test_a_query_by_request_decodes_only_its_blocks(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = write(tmp_path / "t.trace", RECORDS, block=50)
    request = next(r for r in RECORDS if isinstance(r, Request))
    decoded_blocks: list[int] = []
    original = frames.BlockDecoder.decode

    def counting(self: frames.BlockDecoder, frame: frames.Frame, *arguments: Any) -> list[Record]:
        decoded_blocks.append(frame.block_number)
        return original(self, frame, *arguments)

    monkeypatch.setattr(frames.BlockDecoder, "decode", counting)
    found = read(path, Query(id=request.id))[0]
    holding = {n // 50 for n, r in enumerate(RECORDS) if getattr(r, "id", None) == request.id}
    assert len(found) >= 4 and set(decoded_blocks) == holding


# Damage.


def check_missing_blocks(found: list[Record], written: list[Record], max_missing: int, block: int = 100) -> None:
    """Check that at most ``max_missing`` whole blocks are missing, and that nothing else was read."""
    expected_blocks = [written[n : n + block] for n in range(0, len(written), block)]
    position = 0
    missing = 0
    for expected in expected_blocks:
        if found[position : position + len(expected)] == expected:
            position += len(expected)
        else:
            missing += 1
    assert position == len(found) and missing <= max_missing, (missing, position, len(found))


@LAYOUTS
def test_a_file_truncated_at_any_byte_of_its_last_two_blocks(memory_path: Path, layout: int) -> None:
    path = write(memory_path / "t.trace", RECORDS[:230], layout=layout, block=100)
    whole = path.read_bytes()
    with Reader(path) as reader:
        locations = list(reader.block_locations())
    for end in range(locations[1].offset, len(whole)):
        path.write_bytes(whole[:end])
        found, reader = read(path)
        assert found == RECORDS[: 100 if end < locations[2].offset else 200]
        assert reader.damage_count == (0 if end in (locations[1].offset, locations[2].offset) else 1)


@pytest.mark.parametrize("layout", [frames.COLUMNS, frames.ROWS])
def test_a_flipped_bit_costs_one_block_and_is_reported(memory_path: Path, layout: int) -> None:
    path = write(memory_path / "t.trace", RECORDS[:800], layout=layout)
    whole = path.read_bytes()
    rng = random.Random(7)
    for _ in range(500):
        position = rng.randrange(len(whole))
        path.write_bytes(whole[:position] + bytes([whole[position] ^ 1 << rng.randrange(8)]) + whole[position + 1 :])
        found, reader = read(path)
        check_missing_blocks(found, RECORDS[:800], 1)
        assert reader.damage_count == 1 and 0 <= reader.damage[0].offset <= position


def test_zeros_at_the_end_and_in_the_middle_are_reported_with_their_offset(tmp_path: Path) -> None:
    path = write(tmp_path / "t.trace", RECORDS[:500])
    whole = path.read_bytes()
    path.write_bytes(whole + bytes(5000))
    found, reader = read(path)
    assert found == RECORDS[:500] and str(reader.damage[0]) == f"offset {len(whole)}: 5000 bytes: zeros"
    with Reader(path) as reader:
        hole = list(reader.block_locations())[2]
    path.write_bytes(whole[: hole.offset + 3] + bytes(hole.frame.size) + whole[hole.offset + 3 + hole.frame.size :])
    found, reader = read(path)
    check_missing_blocks(found, RECORDS[:500], 2)


@settings(deadline=None, max_examples=150)
@given(st.data())
def test_invalid_payloads_raise_only_trace_error(data: st.DataObject) -> None:
    """Payloads with valid checksums and invalid content, as a faulty or malicious program might write."""
    raw = bytearray(payload.encode(RECORDS[:60]) if data.draw(st.booleans()) else rows.encode(RECORDS[:60]))
    layout = frames.ROWS if raw.startswith(rows._HEADER) else frames.COLUMNS
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(0, len(raw) - 1))
        junk = data.draw(st.one_of(st.binary(max_size=12), st.just(b"\xff" * 9 + b"\x01")))
        raw[position : position + data.draw(st.integers(0, 12))] = junk
    decoder, unknown = frames.BlockDecoder(), UnknownCounts()
    encoder = frames.BlockEncoder(1, layout)
    block = encoder.compress(frames.EncodedBlock(bytes(raw), b"", 60, 0, 1, layout), 0)
    frame = frames.decode_frame(block)
    assert frame is not None
    try:
        decoded = decoder.decode(frame, block[frames.FRAME_SIZE :], unknown)
    except TraceError:
        return
    assert len(decoded) <= 60


@settings(deadline=None, max_examples=80)
@given(st.binary(max_size=400), st.booleans())
def test_random_files_raise_only_trace_error(
    tmp_path_factory: pytest.TempPathFactory, junk: bytes, headed: bool
) -> None:
    path = tmp_path_factory.mktemp("junk") / "f"
    path.write_bytes((frames.encode_file_header({}) if headed else b"") + junk)
    try:
        found, _ = read(path)
    except TraceError:
        assert not headed
        return
    assert found == []


def test_false_lengths_allocate_no_memory() -> None:
    """A frame that claims 4 GB, a block that claims to decompress to that, a column of 2^60 values."""
    frame = frames.decode_frame(frames.BlockEncoder(1).encode_block(RECORDS[:5], 0))
    assert frame is not None
    for change in ({"raw_bytes": 1 << 31}, {"filter_bytes": 1 << 30}, {"record_count": 1 << 30}):
        assert frames.decode_frame(replace(frame, **change).encode()) is None
    for size in (b"\xff" * 9 + b"\x01", columns.encode_varint(1 << 40)):
        with pytest.raises(ColumnError):
            payload.decode(size + b"\x01" * 50, UnknownCounts())
        with pytest.raises(ColumnError):
            columns.decode_strings(Cursor(size + b"\x00" * 50))


# Versions.


class NewKind(Record, tag="newer"):
    what: str
    parts: list[HostState] = []  # noqa: RUF012 - msgspec copies it


class StartedWithNewField(Record, tag="started"):
    hall: str = ""
    version: str = ""
    fronts: str = ""
    cores: int = 0


@LAYOUTS
def test_an_older_reader_skips_and_counts_unknown_kinds_and_fields(
    layout: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    written: list[Record] = [
        StartedWithNewField("here", cores=4, at=1),
        NewKind("x", [HostState("a", "running")], at=2),
        RECORDS[1],
    ]
    with monkeypatch.context() as patch:
        patch.setattr(payload, "KINDS", (*KINDS, NewKind, StartedWithNewField))
        for new_type in (NewKind, StartedWithNewField):
            patch.setitem(cast(Any, schema.SCHEMAS), new_type, schema.struct_schema(new_type))
        patch.setattr(
            rows,
            "_HEADER",
            b"\x92"
            + msgspec.msgpack.encode(
                rows._FIELDS_BY_KIND
                | {"newer": ["at", "what", "parts"], "started": [*rows._FIELDS_BY_KIND["started"], "cores"]}
            ),
        )
        raw = payload.encode(written) if layout == frames.COLUMNS else rows.encode(written)
    unknown = UnknownCounts()
    found = payload.decode(raw, unknown) if layout == frames.COLUMNS else rows.decode(raw, unknown)
    assert found == [Started("here", at=1), RECORDS[1]]
    assert {k.lower(): v for k, v in unknown.counts.items()} == {"newer": 1, "started.cores": 1}


@pytest.mark.parametrize("kind", ["decision", "probed"])
def test_columns_that_refer_to_skipped_records_are_rejected(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    with monkeypatch.context() as patch:
        patch.setattr(schema.TYPES_BY_KIND[kind], "VERSION", 2)
        raw = payload.encode(RECORDS)
    with pytest.raises(ColumnError, match="refers to records of a newer program"):
        payload.decode(raw, UnknownCounts())


@pytest.mark.parametrize("seed", range(20))
def test_load_figures_predicted_from_probes_survive_encoding(seed: int) -> None:
    rng = random.Random(seed)
    hosts = ["a", "b", "c"]
    last_probe: dict[str, tuple[float | None, int]] = {}
    records: list[Record] = []
    for at in range(1, 600):
        host = rng.choice(hosts)
        if rng.random() < 0.3:
            # Include values that a prediction must handle: none at all, and some off the scale of the column.
            load = rng.choice((None, round(rng.random(), 3), rng.random(), 1e12, -0.25))
            records.append(Probed(host, rng.choice(("served", "failed")), 5, load=load, at=at))
            if rng.random() < 0.9:
                last_probe[host] = load, at
        else:
            records.append(
                Decision(
                    f"{at:016x}",
                    "attempt",
                    "first",
                    candidates=[
                        Candidate(
                            h,
                            load=last_probe.get(h, (None, 0))[0],
                            load_at=last_probe.get(h, (None, 0))[1],
                            placed=rng.randrange(2),
                        )
                        for h in rng.sample(hosts, rng.randrange(4))
                    ],
                    at=at,
                )
            )
    raw = payload.encode(records)
    assert payload.decode(raw, UnknownCounts()) == records
    without_probes = [record for record in records if not isinstance(record, Probed)]
    assert payload.decode(payload.encode(without_probes), UnknownCounts()) == without_probes


def test_load_figures_of_a_probe_take_no_space_in_later_decisions() -> None:
    def compressed_size(with_probes: bool) -> int:
        rng, records = random.Random(1), list[Record]()
        for at in itertools.accumulate(rng.randrange(1, 10**6) for _ in range(400)):
            load = rng.randrange(1000) / 1000
            if with_probes:
                records.append(Probed("a", "served", 5, load=load, at=at))
            records.append(
                Decision(
                    "x",
                    "attempt",
                    "first",
                    at=at + 1,
                    candidates=[Candidate("a", load=load, load_at=at), Candidate("b", load=0.5, load_at=7)],
                )
            )
        return len(zstandard.compress(payload.encode(records)))

    # The probes take space for 400 times and loads; decisions that repeated these would need as much again.
    assert compressed_size(True) < compressed_size(False) + 150


def test_a_newer_major_version_and_a_foreign_file_are_reported(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with monkeypatch.context() as patch:
        patch.setattr(frames, "MAJOR", 2)
        path = write(tmp_path / "t.trace", RECORDS[:5])
    with pytest.raises(TraceError, match=r"^version 2\.0 of the format; this program reads 1\.x$"):
        Reader(path)
    path.write_bytes(b"# notes\n" * 100)
    with pytest.raises(TraceError, match=r"^not a trace$"):
        Reader(path)
