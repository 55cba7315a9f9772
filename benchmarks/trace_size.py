"""Formats of traces on the same records: bytes a record, time to write, time to read a window of 10 s.

JSON lines and gzip of them are the baseline; beside our two layouts stand MCAP, Arrow IPC, Parquet and SQLite, each as
its library writes it best at about the same effort (needs the extra ``bench``).
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


def columns(rows: list[Record], path: Path) -> None:
    with open(path, "wb") as file:
        writer = Writer(file, {}, threads=4)
        writer.extend(rows)
        writer.flush()
        writer.close()


def rows_(rows: list[Record], path: Path) -> None:
    with open(path, "wb") as file:
        writer = Writer(file, {}, level=1, block_records=4096, layout=frames.ROWS)
        writer.extend(rows)
        writer.flush()


def our_window(path: Path, since: int) -> int:
    with Reader(path) as reader:
        return sum(1 for _ in reader.read(Query(since, since + WINDOW_US)))


def json_lines(rows: list[Record], path: Path) -> None:
    path.write_bytes(b"".join(to_json(r) + b"\n" for r in rows))


def gzipped(rows: list[Record], path: Path) -> None:
    path.write_bytes(gzip.compress(b"".join(to_json(r) + b"\n" for r in rows), 6))


def json_window(path: Path, since: int) -> int:
    data = path.read_bytes()
    lines = (gzip.decompress(data) if path.suffix == ".gz" else data).splitlines()
    return sum(since <= from_json(line).at < since + WINDOW_US for line in lines)


def mcap_(rows: list[Record], path: Path) -> None:
    from mcap.writer import CompressionType
    from mcap.writer import Writer as McapWriter

    with open(path, "wb") as file:
        # Typed loosely: whether the library is installed (the extra `bench`) must not change the verdict of mypy.
        writer: Any = McapWriter(file, compression=CompressionType.ZSTD, chunk_size=1 << 20)
        writer.start()
        channels: dict[str, int] = {}
        encode = msgspec.msgpack.Encoder().encode
        for row in rows:
            kind = record_kind(row)
            if kind not in channels:
                schema = writer.register_schema(kind, "jsonschema", b"{}")
                channels[kind] = writer.register_channel(kind, "msgpack", schema)
            writer.add_message(channels[kind], row.at * 1000, encode(row), row.at * 1000)
        writer.finish()


def mcap_window(path: Path, since: int) -> int:
    from mcap.reader import make_reader

    with open(path, "rb") as file:
        return sum(
            1 for _ in make_reader(file).iter_messages(start_time=since * 1000, end_time=(since + WINDOW_US) * 1000)
        )


def _tables(rows: list[Record]) -> dict[str, Any]:
    import pyarrow as pa

    kinds: dict[str, list[Any]] = {}
    for n, row in enumerate(rows):
        kinds.setdefault(record_kind(row), []).append(msgspec.to_builtins(row) | {"n": n})
    return {kind: pa.Table.from_pylist(of_kind) for kind, of_kind in kinds.items()}


def parquet(rows: list[Record], path: Path) -> None:
    import pyarrow.parquet as pq

    path.mkdir()
    for kind, table in _tables(rows).items():
        pq.write_table(table, path / kind, compression="zstd", compression_level=9, row_group_size=32768)


def parquet_window(path: Path, since: int) -> int:
    import pyarrow.parquet as pq

    window = [("at", ">=", since), ("at", "<", since + WINDOW_US)]
    return sum(pq.read_table(kind, filters=window).num_rows for kind in path.iterdir())


def arrow(rows: list[Record], path: Path) -> None:
    import pyarrow as pa

    path.mkdir()
    options = pa.ipc.IpcWriteOptions(compression=pa.Codec("zstd", 9))
    for kind, table in _tables(rows).items():
        with pa.OSFile(str(path / kind), "wb") as out, pa.ipc.new_file(out, table.schema, options=options) as writer:
            writer.write_table(table, max_chunksize=32768)


def arrow_window(path: Path, since: int) -> int:
    import pyarrow as pa
    import pyarrow.compute as pc

    count = 0
    for kind in path.iterdir():
        with pa.OSFile(str(kind), "rb") as source:
            at = pa.ipc.open_file(source).read_all()["at"]
        count += pc.sum(pc.and_(pc.greater_equal(at, since), pc.less(at, since + WINDOW_US))).as_py()
    return count


def sqlite(rows: list[Record], path: Path) -> None:
    base = sqlite3.connect(path)
    base.execute("create table r (at integer, kind text, id text, host text, body blob)")
    encode = msgspec.msgpack.Encoder().encode
    base.executemany(
        "insert into r values (?,?,?,?,?)",
        ((r.at, record_kind(r), getattr(r, "id", None), getattr(r, "host", None), encode(r)) for r in rows),
    )
    base.execute("create index a on r (at)")
    base.execute("create index i on r (id)")
    base.commit()
    base.close()


def sqlite_window(path: Path, since: int) -> int:
    base = sqlite3.connect(path)
    decode = msgspec.msgpack.Decoder().decode
    return sum(
        1
        for (body,) in base.execute("select body from r where at >= ? and at < ?", (since, since + WINDOW_US))
        if decode(body)
    )


FORMATS: tuple[tuple[str, Callable[[list[Record], Path], None], Callable[[Path, int], int]], ...] = (
    ("json.gz", gzipped, json_window),
    ("json", json_lines, json_window),
    ("columns", columns, our_window),
    ("rows", rows_, our_window),
    ("mcap", mcap_, mcap_window),
    ("parquet", parquet, parquet_window),
    ("arrow", arrow, arrow_window),
    ("sqlite", sqlite, sqlite_window),
)


@click.command()
@click.option("--records", default=200_000, show_default=True)
@click.option("--only", multiple=True, help="Only these formats (json.gz is always there).")
def main(records: int, only: tuple[str, ...]) -> None:
    """Write the same records in each format and compare."""
    rows = list(itertools.islice(Fleet(script=SCRIPT).records(), records))
    since = rows[len(rows) // 2].at
    count = sum(since <= r.at < since + WINDOW_US for r in rows)
    click.echo(f"{records} records over {(rows[-1].at - rows[0].at) / 1e6:.0f} s; a window of 10 s holds {count}")
    baseline = 0
    with tempfile.TemporaryDirectory() as folder:
        for name, write, window in FORMATS:
            if only and name not in (*only, "json.gz"):
                continue
            path = Path(folder) / f"t.{name}"
            began = time.perf_counter()
            write(rows, path)
            wrote = time.perf_counter() - began
            size = sum(p.stat().st_size for p in path.iterdir()) if path.is_dir() else path.stat().st_size
            baseline = baseline or size
            began = time.perf_counter()
            found = window(path, since)
            took = time.perf_counter() - began
            assert found == count, (name, found, count)
            click.echo(
                f"{name:8} {size / records:7.2f} bytes a record, {baseline / size:5.2f} times smaller than "
                f"gzip'd lines; written at {wrote / records * 1e6:5.1f} us a record; "
                f"window {took * 1000:6.0f} ms"
            )


if __name__ == "__main__":
    main()
