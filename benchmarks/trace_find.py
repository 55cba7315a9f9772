"""A large trace: losslessness, size against gzipped JSON lines, and the time to find a window and a request.

Commands are timed as whole processes, including their start. Beyond a million records, the first million is repeated
with other ids, keys and times.
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


def repeated_records(count: int) -> Iterator[Record]:
    """Yield records of the simulated fleet, repeating the first million with other ids, keys and times."""
    base = list(itertools.islice(Fleet(script=SCRIPT).records(), min(count, MILLION)))
    yield from base
    length = base[-1].at - base[0].at + 1000
    for copy in range(1, -(-count // MILLION)):
        mask = copy * 0x9E3779B97F4A7C15 % 2**64
        for record in base[: count - copy * MILLION]:
            changed: dict[str, object] = {"at": record.at + copy * length}
            for name in ("id", "key"):
                value = getattr(record, name, None)
                if value is not None:
                    changed[name] = f"{int(value, 16) ^ mask:016x}"
            yield replace(record, **changed)


def time_command(*arguments: object, runs: int = 5) -> tuple[float, bytes]:
    """Return the median duration of a command in seconds, and its last output."""
    durations, output = [], b""
    for _ in range(runs):
        started = time.perf_counter()
        output = subprocess.run(
            [sys.executable, "-m", "bramblestile", *map(str, arguments)], check=True, capture_output=True
        ).stdout
        durations.append(time.perf_counter() - started)
    return median(durations), output


@click.command()
@click.option("--records", default=MILLION, show_default=True)
@click.option("--lossless/--no-lossless", default=True, help="Also export, import and export again, and compare.")
def main(records: int, lossless: bool) -> None:
    """Write a large trace and find things in it."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "t.trace"
        gzip_compressor, json_bytes, digest = zlib.compressobj(6, wbits=31), 0, hashlib.sha256()
        gzip_bytes = 0
        request_ids: list[str] = []
        with open(path, "wb") as file:
            writer = Writer(file, {}, threads=4)
            for n, record in enumerate(repeated_records(records)):
                writer.add(record)
                if n < MILLION:  # the rest repeats these
                    line = to_json(record) + b"\n"
                    digest.update(line)
                    json_bytes += len(line)
                    gzip_bytes += len(gzip_compressor.compress(line))
                if isinstance(record, Request) and n % 1000 == 7:
                    request_ids.append(record.id)
                if n == records // 2:
                    middle = record.at
            writer.flush()
            writer.close()
        gzip_bytes += len(gzip_compressor.flush())
        measured = min(records, MILLION)
        bytes_per_record = path.stat().st_size / records
        click.echo(
            f"{records} records: {bytes_per_record:.2f} bytes each; JSON lines {json_bytes / measured:.1f}, gzip'd "
            f"{gzip_bytes / measured:.2f}: {gzip_bytes / measured / bytes_per_record:.2f} times smaller"
        )
        startup = time_command("--version")[0]
        window_s, output = time_command("trace", "export", path, "--from", middle, "--to", middle + 10_000_000)
        with Reader(path) as reader:
            expected = sum(1 for _ in reader.read(Query(middle, middle + 10_000_000)))
        assert output.count(b"\n") == expected > 0
        click.echo(
            f"a window of 10 s, {expected} records: {window_s * 1000:.0f} ms as a whole process "
            f"({startup * 1000:.0f} ms for --version)"
        )
        story_s = max(
            time_command("trace", "story", path, request_id, runs=1)[0]
            for request_id in request_ids[:: max(1, len(request_ids) // 10)]
        )
        click.echo(f"one request: {story_s * 1000:.0f} ms at most, of ten requests from all over the file")
        info_s = time_command("trace", "info", path)[0]
        click.echo(f"info: {info_s * 1000:.0f} ms")
        if lossless:
            exported, imported, exported_again = (Path(folder) / n for n in ("t.jsonl", "again.trace", "back.jsonl"))
            for step in (
                ("export", path, "-o", exported),
                ("import", exported, imported),
                ("export", imported, "-o", exported_again),
            ):
                click.echo(f"{step[0]}: {time_command('trace', *step, runs=1)[0]:.1f} s")
            hashes = [hashlib.sha256(p.read_bytes()).hexdigest() for p in (exported, exported_again)]
            assert hashes[0] == hashes[1] and (records > MILLION or hashes[0] == digest.hexdigest())
            click.echo(f"identical after export, import and export: sha256 {hashes[0][:16]}")


if __name__ == "__main__":
    main()
