"""Trace formats compared on the same records: bytes per record, time to write, time to read a window of 10 s.

Gzipped JSON lines are the baseline. Besides the two layouts of this package there are MCAP, Arrow IPC, Parquet and
SQLite, each written as its library does it best with similar effort (needs the extra ``bench``).
"""

from __future__ import annotations

import gzip
import itertools
import sqlite3
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from bramblestile.trace import Query, Reader, Writer, frames
from bramblestile.trace.records import Record, from_json, record_kind, to_json
from tests.fleet import Fleet

SCRIPT = ((20, "drain", "3"), (30, "die", "5"), (60, "back", "3"), (70, "back", "5"))
WINDOW_US = 10_000_000


def write_columns(records: list[Record], path: Path) -> None:
    """Write the records in the columnar layout, with everything in large blocks."""
    with open(path, "wb") as file:
        writer = Writer(file, {}, threads=4)
        writer.extend(records)
        writer.flush()
        writer.close()


def write_rows(records: list[Record], path: Path) -> None:
    """Write the records in the layout of rows that the daemon uses."""
    with open(path, "wb") as file:
        writer = Writer(file, {}, level=1, block_records=4096, layout=frames.ROWS)
        writer.extend(records)
        writer.flush()


def read_window(path: Path, since: int) -> int:
    """Count the records of one window of a trace file."""
    with Reader(path) as reader:
        return sum(1 for _ in reader.read(Query(since, since + WINDOW_US)))


def write_json(records: list[Record], path: Path) -> None:
    """Write the records as JSON lines."""
    path.write_bytes(b"".join(to_json(r) + b"\n" for r in records))


def write_gzip(records: list[Record], path: Path) -> None:
    """Write the records as JSON lines compressed with gzip."""
    path.write_bytes(gzip.compress(b"".join(to_json(r) + b"\n" for r in records), 6))


def read_json_window(path: Path, since: int) -> int:
    """Count the records of one window of a file of JSON lines, compressed or not."""
    data = path.read_bytes()
    lines = (gzip.decompress(data) if path.suffix == ".gz" else data).splitlines()
    return sum(since <= from_json(line).at < since + WINDOW_US for line in lines)


def write_mcap(records: list[Record], path: Path) -> None:
    """Write the records to an MCAP file."""
    from mcap.writer import CompressionType
    from mcap.writer import Writer as McapWriter

    with open(path, "wb") as file:
        # Untyped, so that mypy gives the same result whether or not the library (extra `bench`) is installed.
        writer: Any = McapWriter(file, compression=CompressionType.ZSTD, chunk_size=1 << 20)
        writer.start()
        channels: dict[str, int] = {}
        encode = msgspec.msgpack.Encoder().encode
        for record in records:
            kind = record_kind(record)
            if kind not in channels:
                schema = writer.register_schema(kind, "jsonschema", b"{}")
                channels[kind] = writer.register_channel(kind, "msgpack", schema)
            writer.add_message(channels[kind], record.at * 1000, encode(record), record.at * 1000)
        writer.finish()


def read_mcap_window(path: Path, since: int) -> int:
    """Count the records of one window of an MCAP file."""
    from mcap.reader import make_reader

    with open(path, "rb") as file:
        return sum(
            1 for _ in make_reader(file).iter_messages(start_time=since * 1000, end_time=(since + WINDOW_US) * 1000)
        )


def _arrow_tables(records: list[Record]) -> dict[str, Any]:
    import pyarrow as pa

    kinds: dict[str, list[Any]] = {}
    for number, record in enumerate(records):
        kinds.setdefault(record_kind(record), []).append(msgspec.to_builtins(record) | {"n": number})
    return {kind: pa.Table.from_pylist(same_kind) for kind, same_kind in kinds.items()}


def write_parquet(records: list[Record], path: Path) -> None:
    """Write the records to Parquet files, one for each kind."""
    import pyarrow.parquet as pq

    path.mkdir()
    for kind, table in _arrow_tables(records).items():
        pq.write_table(table, path / kind, compression="zstd", compression_level=9, row_group_size=32768)


def read_parquet_window(path: Path, since: int) -> int:
    """Count the records of one window of Parquet files."""
    import pyarrow.parquet as pq

    window = [("at", ">=", since), ("at", "<", since + WINDOW_US)]
    return sum(pq.read_table(kind, filters=window).num_rows for kind in path.iterdir())


def write_arrow(records: list[Record], path: Path) -> None:
    """Write the records to Arrow IPC files, one for each kind."""
    import pyarrow as pa

    path.mkdir()
    options = pa.ipc.IpcWriteOptions(compression=pa.Codec("zstd", 9))
    for kind, table in _arrow_tables(records).items():
        with pa.OSFile(str(path / kind), "wb") as out, pa.ipc.new_file(out, table.schema, options=options) as writer:
            writer.write_table(table, max_chunksize=32768)


def read_arrow_window(path: Path, since: int) -> int:
    """Count the records of one window of Arrow IPC files."""
    import pyarrow as pa
    import pyarrow.compute as pc

    count = 0
    for kind in path.iterdir():
        with pa.OSFile(str(kind), "rb") as source:
            at = pa.ipc.open_file(source).read_all()["at"]
        count += pc.sum(pc.and_(pc.greater_equal(at, since), pc.less(at, since + WINDOW_US))).as_py()
    return count


def write_sqlite(records: list[Record], path: Path) -> None:
    """Write the records to an SQLite database with indexes."""
    database = sqlite3.connect(path)
    database.execute("create table r (at integer, kind text, id text, host text, body blob)")
    encode = msgspec.msgpack.Encoder().encode
    database.executemany(
        "insert into r values (?,?,?,?,?)",
        ((r.at, record_kind(r), getattr(r, "id", None), getattr(r, "host", None), encode(r)) for r in records),
    )
    database.execute("create index a on r (at)")
    database.execute("create index i on r (id)")
    database.commit()
    database.close()


def read_sqlite_window(path: Path, since: int) -> int:
    """Count the records of one window of an SQLite database."""
    database = sqlite3.connect(path)
    decode = msgspec.msgpack.Decoder().decode
    return sum(
        1
        for (body,) in database.execute("select body from r where at >= ? and at < ?", (since, since + WINDOW_US))
        if decode(body)
    )


FORMATS: tuple[tuple[str, Callable[[list[Record], Path], None], Callable[[Path, int], int]], ...] = (
    ("json.gz", write_gzip, read_json_window),
    ("json", write_json, read_json_window),
    ("columns", write_columns, read_window),
    ("rows", write_rows, read_window),
    ("mcap", write_mcap, read_mcap_window),
    ("parquet", write_parquet, read_parquet_window),
    ("arrow", write_arrow, read_arrow_window),
    ("sqlite", write_sqlite, read_sqlite_window),
)


@click.command()
@click.option("--records", default=200_000, show_default=True)
@click.option("--only", multiple=True, help="Only these formats, and json.gz.")
def main(records: int, only: tuple[str, ...]) -> None:
    """Write the same records in each format and compare."""
    rows = list(itertools.islice(Fleet(script=SCRIPT).records(), records))
    since = rows[len(rows) // 2].at
    count = sum(since <= r.at < since + WINDOW_US for r in rows)
    click.echo(f"{records} records over {(rows[-1].at - rows[0].at) / 1e6:.0f} s; a window of 10 s holds {count}")
    baseline = 0
    with tempfile.TemporaryDirectory() as folder:
        for name, write, read in FORMATS:
            if only and name not in (*only, "json.gz"):
                continue
            path = Path(folder) / f"t.{name}"
            started = time.perf_counter()
            write(rows, path)
            write_s = time.perf_counter() - started
            size = sum(p.stat().st_size for p in path.iterdir()) if path.is_dir() else path.stat().st_size
            baseline = baseline or size
            started = time.perf_counter()
            found = read(path, since)
            read_s = time.perf_counter() - started
            assert found == count, (name, found, count)
            click.echo(
                f"{name:8} {size / records:7.2f} bytes per record, {baseline / size:5.2f} times smaller than "
                f"gzip'd lines; written at {write_s / records * 1e6:5.1f} us per record; "
                f"window {read_s * 1000:6.0f} ms"
            )


if __name__ == "__main__":
    main()
