"""A large trace: lossless by hash, its size against gzip'd JSON lines, and how soon a window and a story are found.

Commands are timed as whole processes, start and imports included. Beyond a million records the first million is
repeated under other ids, keys and times.
"""

from __future__ import annotations

import hashlib
import itertools
import subprocess
import sys
import tempfile
import time
import zlib
from collections.abc import Iterator
from pathlib import Path
from statistics import median

import click
from msgspec.structs import replace

from bramblestile.trace import Query, Reader, Writer
from bramblestile.trace.records import Record, Request, to_json
from tests.fleet import Fleet

MILLION = 1_000_000
SCRIPT = ((200, "drain", "3"), (300, "die", "5"), (600, "back", "3"), (700, "back", "5"))


def mix(count: int) -> Iterator[Record]:
    base = list(itertools.islice(Fleet(script=SCRIPT).records(), min(count, MILLION)))
    yield from base
    length = base[-1].at - base[0].at + 1000
    for turn in range(1, -(-count // MILLION)):
        flip = turn * 0x9E3779B97F4A7C15 % 2**64
        for record in base[: count - turn * MILLION]:
            changed: dict[str, object] = {"at": record.at + turn * length}
            for name in ("id", "key"):
                value = getattr(record, name, None)
                if value is not None:
                    changed[name] = f"{int(value, 16) ^ flip:016x}"
            yield replace(record, **changed)


def timed(*arguments: object, runs: int = 5) -> tuple[float, bytes]:
    took, out = [], b""
    for _ in range(runs):
        began = time.perf_counter()
        out = subprocess.run(
            [sys.executable, "-m", "bramblestile", *map(str, arguments)], check=True, capture_output=True
        ).stdout
        took.append(time.perf_counter() - began)
    return median(took), out


@click.command()
@click.option("--records", default=MILLION, show_default=True)
@click.option("--lossless/--no-lossless", default=True, help="Also export, import and export again, and compare.")
def main(records: int, lossless: bool) -> None:
    """Write a large trace and find things in it."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "t.trace"
        packed, lines, digest = zlib.compressobj(6, wbits=31), 0, hashlib.sha256()
        squeezed = 0
        asked: list[str] = []
        with open(path, "wb") as file:
            writer = Writer(file, {}, threads=4)
            for n, record in enumerate(mix(records)):
                writer.add(record)
                if n < MILLION:  # the rest is like it
                    line = to_json(record) + b"\n"
                    digest.update(line)
                    lines += len(line)
                    squeezed += len(packed.compress(line))
                if isinstance(record, Request) and n % 1000 == 7:
                    asked.append(record.id)
                if n == records // 2:
                    middle = record.at
            writer.flush()
            writer.close()
        squeezed += len(packed.flush())
        first = min(records, MILLION)
        each = path.stat().st_size / records
        click.echo(
            f"{records} records: {each:.2f} bytes each; JSON lines {lines / first:.1f}, gzip'd "
            f"{squeezed / first:.2f}: {squeezed / first / each:.2f} times smaller"
        )
        nothing = timed("--version")[0]
        window, out = timed("trace", "export", path, "--from", middle, "--to", middle + 10_000_000)
        with Reader(path) as reader:
            expected = sum(1 for _ in reader.read(Query(middle, middle + 10_000_000)))
        assert out.count(b"\n") == expected > 0
        click.echo(
            f"a window of 10 s, {expected} records: {window * 1000:.0f} ms as a whole process "
            f"({nothing * 1000:.0f} ms for --version)"
        )
        story = max(timed("trace", "story", path, one, runs=1)[0] for one in asked[:: max(1, len(asked) // 10)])
        click.echo(f"a request's story: {story * 1000:.0f} ms at most, of ten requests all over the file")
        info = timed("trace", "info", path)[0]
        click.echo(f"info: {info * 1000:.0f} ms")
        if lossless:
            text, again, back = (Path(folder) / n for n in ("t.jsonl", "again.trace", "back.jsonl"))
            for step in (("export", path, "-o", text), ("import", text, again), ("export", again, "-o", back)):
                click.echo(f"{step[0]}: {timed('trace', *step, runs=1)[0]:.1f} s")
            hashes = [hashlib.sha256(p.read_bytes()).hexdigest() for p in (text, back)]
            assert hashes[0] == hashes[1] and (records > MILLION or hashes[0] == digest.hexdigest())
            click.echo(f"written, read and written again alike: sha256 {hashes[0][:16]}")


if __name__ == "__main__":
    main()
