"""``bramblestile trace``: commands for trace files. They stream, so memory does not grow with the size of a file."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack
from itertools import chain
from pathlib import Path
from typing import IO, Any, BinaryIO

import click

from bramblestile.cli.common import (
    FILE,
    OUT,
    TIME,
    OperationError,
    format_time,
    report_errors,
    resolve_time,
    show_progress,
)
from bramblestile.trace import Query, Reader, TraceError, Writer
from bramblestile.trace.files import COMPRESSION_THREADS, atomic_file
from bramblestile.trace.records import Record, from_json, to_json

MAX_LINE_BYTES = 1 << 20  # of one JSON line to import
MAX_DAMAGE_SHOWN = 10  # damaged places per file
LINES_PER_WRITE = 1000  # of exported JSON
force = click.option("--force", is_flag=True, help="Overwrite OUT.")
drop_unknown = click.option(
    "--drop-unknown", is_flag=True, help="Copy even if kinds or fields written by a newer program are lost."
)


@click.group("trace")
def group() -> None:
    """Read, cut, merge, anonymise and sum up trace files.

    A trace holds every request and decision of a balancer that ran with a [trace] table in its configuration.
    Damage in a file costs only the damaged blocks; it is reported on standard error, and the exit code is 0.
    """


def _report_damage(reader: Reader) -> None:
    """Report on standard error what was wrong with a file that has been read."""
    for damage in reader.damage[:MAX_DAMAGE_SHOWN]:
        click.echo(f"bramblestile: {reader.path}: {damage}", err=True)
    if reader.damage_count > MAX_DAMAGE_SHOWN:
        click.echo(
            f"bramblestile: {reader.path}: {reader.damage_count - MAX_DAMAGE_SHOWN} more damaged places", err=True
        )
    for name, count in reader.unknown.counts.items():
        click.echo(
            f"bramblestile: {reader.path}: skipped {count} of {name}, which this program does not know", err=True
        )


class _OneLineErrorCommand(click.Command):
    """A command that reports any expected error in one line."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command."""
        with report_errors():
            return super().invoke(ctx)


def command(name: str) -> Callable[[Callable[..., None]], click.Command]:
    """Return a decorator that adds a command to the group."""
    return group.command(name, cls=_OneLineErrorCommand)


def _open(stack: ExitStack, path: Path) -> Reader:
    try:
        return stack.enter_context(Reader(path))
    except TraceError as error:
        raise TraceError(f"{path}: {error}") from None


def _query(
    reader: Reader, since: int | None, until: int | None, id_: str | None, host: str | None, cls: str | None
) -> Query:
    def first_record_us() -> int:
        earliest = min((location.frame.first_us for location in reader.block_locations()), default=0)
        reader.clear_damage_and_unknown_fields()
        return earliest

    return Query(resolve_time(since, first_record_us), resolve_time(until, first_record_us), id_, host, cls)


def _query_options(function: Callable[..., None]) -> Callable[..., None]:
    for option in (
        click.option("--class", "cls", metavar="CLASS", help="Requests of this class, with all their records."),
        click.option("--host", metavar="ID", help="Records that mention this host."),
        click.option("--request", "id_", metavar="ID", help="Records of this request."),
        click.option("--to", "until", type=TIME, help="Before this time."),
        click.option(
            "--from",
            "since",
            type=TIME,
            help="From this time on: 2026-12-01T10:00:00Z, microseconds since 1970, or +10s after the first record.",
        ),
    ):
        function = option(function)
    return function


def _write_trace(records: Iterable[Record], out: Path, overwrite: bool, description: dict[str, Any]) -> int:
    """Write a complete file of these records, or none; return their number."""
    with atomic_file(out, overwrite) as file:
        writer = Writer(file, description, threads=COMPRESSION_THREADS)
        try:
            writer.extend(records)
            writer.flush()
        finally:
            writer.close()
        return writer.record_count


def _check_unknown(readers: Iterable[Reader], drop_unknown: bool) -> None:
    """Raise TraceError if a copy would lose what a newer program wrote.

    Called after everything was read and before the copy gets its name.
    """
    for reader in readers:
        if reader.unknown.counts and not drop_unknown:
            raise TraceError(
                f"{reader.path}: holds {', '.join(sorted(reader.unknown.counts))}, which a copy by this "
                "program would lose; --drop-unknown copies the rest"
            )


def _with_unknown_check(records: Iterable[Record], readers: Iterable[Reader], drop_unknown: bool) -> Iterator[Record]:
    yield from records
    _check_unknown(readers, drop_unknown)


def _derived_description(description: dict[str, Any], **origin: Any) -> dict[str, Any]:
    return {**{key: value for key, value in description.items() if key != "flush_us"}, **origin}


@command("info")
@click.argument("file", type=FILE)
def info(file: Path) -> None:
    """Describe FILE: time range, number of records, size and damage.

    Only the frames of the blocks are read: it takes as long for a large file as for a small one.
    """
    with ExitStack() as stack:
        reader = _open(stack, file)
        blocks = records = raw_bytes = filter_bytes = 0
        first: int | None = None
        last = 0
        next_number, missing_blocks = 0, 0
        for location in reader.block_locations():
            frame = location.frame
            blocks, records, raw_bytes, filter_bytes = (
                blocks + 1,
                records + frame.record_count,
                raw_bytes + frame.raw_bytes,
                filter_bytes + frame.filter_bytes,
            )
            first = frame.first_us if first is None else min(first, frame.first_us)
            last = max(last, frame.last_us)
            missing_blocks += max(0, frame.block_number - next_number)
            next_number = frame.block_number + 1
        for name, value in reader.description.items():
            click.echo(f"{name}: {value}")
        click.echo(
            f"records: {records} in {blocks} blocks, {reader.size} bytes"
            + (f", {reader.size / records:.2f} per record" if records else "")
        )
        if first is not None:
            click.echo(f"from {format_time(first)} ({first})")
            click.echo(f"to   {format_time(last)} ({last}), {(last - first) / 1e6:.3f} s")
            click.echo(f"uncompressed: {raw_bytes} bytes; index: {filter_bytes} bytes")
        click.echo(
            f"damaged: {reader.damage_count} places, {missing_blocks} blocks known to be missing"
            if reader.damage_count or missing_blocks
            else "damaged: nothing (only frames were checked; `recover` checks everything)"
        )
        _report_damage(reader)


def _read_json_lines(source: BinaryIO, name: str) -> Iterator[Record]:
    import msgspec

    number = 0
    while line := source.readline(MAX_LINE_BYTES + 1):
        number += 1
        if len(line) > MAX_LINE_BYTES:
            raise TraceError(f"{name}: line {number}: longer than {MAX_LINE_BYTES} bytes")
        if line.strip():
            try:
                yield from_json(line)
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
                raise TraceError(f"{name}: line {number}: {error}") from None


@command("import")
@click.argument("source", metavar="IN.jsonl", type=click.Path(path_type=Path, allow_dash=True))
@click.argument("out", type=OUT)
@force
def import_(source: Path, out: Path, force: bool) -> None:
    """Convert the JSON lines in IN.jsonl (- for standard input), written by `export`, to the trace OUT."""
    with ExitStack() as stack:
        file: BinaryIO = sys.stdin.buffer if str(source) == "-" else stack.enter_context(open(source, "rb"))
        name = "standard input" if str(source) == "-" else str(source)
        count = _write_trace(show_progress(_read_json_lines(file, name), "import"), out, force, {"imported": True})
    click.echo(f"{count} records", err=True)


def _write_json_lines(records: Iterable[Record], out: IO[bytes]) -> None:
    lines: list[bytes] = []
    for record in records:
        lines.append(to_json(record))
        if len(lines) >= LINES_PER_WRITE:
            out.write(b"\n".join(lines) + b"\n")
            lines.clear()
    if lines:
        out.write(b"\n".join(lines) + b"\n")
    out.flush()


@command("export")
@click.argument("file", type=FILE)
@_query_options
@click.option(
    "-o",
    "--output",
    "out",
    type=click.Path(path_type=Path, allow_dash=True),
    default="-",
    help="The file to write; - is standard output.",
)
@force
def export(
    file: Path,
    since: int | None,
    until: int | None,
    id_: str | None,
    host: str | None,
    cls: str | None,
    out: Path,
    force: bool,
) -> None:
    """Print the records of FILE as JSON lines, all or those that the options select."""
    with ExitStack() as stack:
        reader = _open(stack, file)
        records = show_progress(reader.read(_query(reader, since, until, id_, host, cls)), "export")
        if str(out) == "-":
            _write_json_lines(records, sys.stdout.buffer)
        else:
            _write_json_lines(records, stack.enter_context(atomic_file(out, force)))
        _report_damage(reader)


@command("cut")
@click.argument("file", type=FILE)
@_query_options
@click.option("-o", "--output", "out", type=OUT, required=True)
@force
@drop_unknown
def cut(
    file: Path,
    since: int | None,
    until: int | None,
    id_: str | None,
    host: str | None,
    cls: str | None,
    out: Path,
    force: bool,
    drop_unknown: bool,
) -> None:
    """Copy the part of FILE that the options select to a new trace."""
    with ExitStack() as stack:
        reader = _open(stack, file)
        query = _query(reader, since, until, id_, host, cls)
        records = _with_unknown_check(show_progress(reader.read(query), "cut"), [reader], drop_unknown)
        count = _write_trace(records, out, force, _derived_description(reader.description, cut_from=file.name))
        _report_damage(reader)
        click.echo(f"{count} records", err=True)


@command("recover")
@click.argument("file", type=FILE)
@click.argument("out", type=OUT)
@force
@drop_unknown
def recover(file: Path, out: Path, force: bool, drop_unknown: bool) -> None:
    """Copy all undamaged blocks of FILE to OUT and report what was lost. Small blocks are joined to large ones."""
    with ExitStack() as stack:
        reader = _open(stack, file)
        records = _with_unknown_check(show_progress(reader.read(), "recover"), [reader], drop_unknown)
        count = _write_trace(records, out, force, _derived_description(reader.description, recovered_from=file.name))
        _report_damage(reader)
        lost = sum(damage.record_count for damage in reader.damage)
        click.echo(
            f"{count} records recovered; {reader.damage_count} damaged places, with {lost} records known to be lost",
            err=True,
        )


@command("merge")
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("-o", "--output", "out", type=OUT, required=True)
@click.option("--as-is", is_flag=True, help="Do not correct the clocks.")
@force
@drop_unknown
def merge(files: tuple[Path, ...], out: Path, as_is: bool, force: bool, drop_unknown: bool) -> None:
    """Merge FILES into one trace, in the order of time, on the clock of the first.

    The offsets of the other clocks are estimated from events that the traces share, and reported with their
    uncertainty on standard error and in OUT (`info` shows them). Each record keeps its own time (at) beside the
    correction (adj).
    """
    from bramblestile.trace.clocks import REFERENCE
    from bramblestile.trace.merging import MergeInput, align, merge_records

    with ExitStack() as stack:
        readers = [_open(stack, file) for file in files]
        if as_is:
            inputs = [MergeInput(reader, reader.path.name, (), REFERENCE, reader.path.name) for reader in readers]
        else:
            inputs = align(readers, show_progress)
        for source in inputs:
            click.echo(_clock_line(source.clock_entry(), as_is), err=True)
        records = _with_unknown_check(show_progress(merge_records(inputs), "merge"), readers, drop_unknown)
        count = _write_trace(records, out, force, {"merged": [source.clock_entry() for source in inputs]})
        for reader in readers:
            _report_damage(reader)
        click.echo(f"{count} records", err=True)


def _clock_line(clock: dict[str, Any], as_is: bool) -> str:
    name = clock["file"]
    if as_is:
        return f"{name}: clock not corrected"
    if clock["by"] == "same clock":
        return f"{name}: the reference clock"
    if clock["within_us"] is None:
        return f"{name}: NOT ALIGNED, clock not corrected: {clock['note']}"
    links = ", ".join(f"{count} {kind}s" for kind, count in clock["links"].items())
    note = f"; {clock['note']}" if clock["note"] else ""
    return (
        f"{name}: {clock['offset_us'] / 1000:+.3f} ms against {clock['against']}, +/- "
        f"{clock['within_us'] / 1000:.3f} ms (95%), drift {clock['drift_ppm']:+.1f} ppm; by {links}{note}"
    )


@command("anonymise")
@click.argument("file", type=FILE)
@click.option("-o", "--output", "out", type=OUT, required=True)
@click.option(
    "--key-file", type=FILE, required=True, help="16 to 64 random bytes; the same key gives the same pseudonyms."
)
@click.option("--hosts", is_flag=True, help="Hide the names of hosts too.")
@force
def anonymise(file: Path, out: Path, key_file: Path, hosts: bool, force: bool) -> None:
    """Copy FILE with pseudonyms for museums, clients, keys and groups, and without free text.

    Before OUT gets its name, every text that was kept is searched for every identity that was hidden. Kinds and fields
    written by a newer program are left out, because their content is unknown.
    """
    from bramblestile.trace.pseudonyms import MAX_KEY_BYTES, Pseudonymiser

    with open(key_file, "rb") as key_source:
        key = key_source.read(MAX_KEY_BYTES + 1)
    with ExitStack() as stack:
        reader = _open(stack, file)
        pseudonymiser = Pseudonymiser(key, hosts)

        def checked() -> Iterator[Record]:
            for record in show_progress(reader.read(), "anonymise"):
                yield pseudonymiser.apply(record)
            names = str(reader.description.get("instance", "")), str(reader.description.get("hall", ""))
            pseudonymiser.kept_texts.update(names)
            check = pseudonymiser.leak_check()
            with Reader(file) as reread:
                for record in show_progress(reread.read(), "checking"):
                    check(record)

        description: dict[str, Any] = {
            name: reader.description[name]
            for name in ("instance", "hall", "program", "opened_us")
            if name in reader.description
        }
        count = _write_trace(
            checked(), out, force, {**description, "pseudonyms": pseudonymiser.key_fingerprint, "hosts_hidden": hosts}
        )
        _report_damage(reader)
        click.echo(f"{count} records, no identity left in any text", err=True)


def _summary(reader: Reader, records: Iterable[Record], window_us: int = 0) -> Any:
    from bramblestile.trace.summary import Summary

    summary = Summary(window_us)
    name, hall = reader.description.get("instance"), reader.description.get("hall")
    if isinstance(name, str) and isinstance(hall, str):
        summary.halls[name] = hall
    summary.add_all(records)
    return summary


def _format_table(rows: list[dict[str, Any]], keys: list[str]) -> Iterator[str]:
    cells = [[("-" if row.get(key) is None else str(row[key])) for key in keys] for row in rows]
    widths = [
        max(len(key), *(len(line[index]) for line in cells)) if cells else len(key) for index, key in enumerate(keys)
    ]
    for line in [keys, *cells]:
        padded = [
            cell.ljust(width) if index < 2 else cell.rjust(width)
            for index, (cell, width) in enumerate(zip(line, widths, strict=True))
        ]
        yield "  ".join(padded).rstrip()


FORMAT = click.option(
    "--format", "form", type=click.Choice(["table", "json", "csv"]), default="table", show_default=True
)


def _print_rows(rows: list[dict[str, Any]], form: str, json_data: Any) -> None:
    """Print ``rows`` as a table or as CSV, or ``json_data`` if the form is JSON."""
    keys = list(dict.fromkeys(chain.from_iterable(rows)))
    if form == "json":
        import json

        click.echo(json.dumps(json_data, indent=1))
    elif form == "csv":
        import csv

        writer = csv.DictWriter(sys.stdout, keys, restval="")
        writer.writeheader()
        writer.writerows(rows)
    else:
        for line in _format_table(rows, keys):
            click.echo(line)


@command("summarise")
@click.argument("file", type=FILE)
@_query_options
@click.option(
    "--window", type=click.FloatRange(min=0.001), metavar="SECONDS", help="Also sum up by time windows of this length."
)
@FORMAT
def summarise(
    file: Path,
    since: int | None,
    until: int | None,
    id_: str | None,
    host: str | None,
    cls: str | None,
    window: float | None,
    form: str,
) -> None:
    """Sum up outcomes, attempts, moves and the time to up by class, tenant, host, hall and window."""
    with ExitStack() as stack:
        reader = _open(stack, file)
        rows = show_progress(reader.read(_query(reader, since, until, id_, host, cls)), "summarise")
        summary = _summary(reader, rows, round((window or 0) * 1e6))
        _print_rows(summary.as_rows(), form, summary.as_json())
        if form == "table":
            for figure in ("upstream", "moves", "ends", "lost"):
                counts = summary.as_json()[figure]
                if counts:
                    click.echo(f"{figure}: " + ", ".join(f"{key} {count}" for key, count in counts.items()))
        _report_damage(reader)


@command("diff")
@click.argument("a", type=FILE)
@click.argument("b", type=FILE)
@click.option("--all", "all_", is_flag=True, help="Include differences that may be due to chance.")
@FORMAT
def diff(a: Path, b: Path, all_: bool, form: str) -> None:
    """Compare two traces, in one row for each compared figure.

    By class: the share of each outcome, and the time from a request's arrival to its answer "served" (up_p50_us,
    up_p99_us). By host: its share of all placements, and the shares of its connections that were cut (ended_cut) or
    moved.

    Columns: by and name tell the class or host, what is the figure, a and b are its values in the two traces. z is the
    difference of two shares in standard errors; beyond 3 it is hardly due to chance (beyond_chance).
    """
    from bramblestile.trace.summary import compare

    with ExitStack() as stack:
        readers = [_open(stack, file) for file in (a, b)]
        first, second = (_summary(reader, show_progress(reader.read(), str(reader.path.name))) for reader in readers)
        rows = [
            row
            for row in compare(first, second)
            if all_ or row["beyond_chance"] or (row["z"] is None and row["a"] != row["b"])
        ]
        _print_rows(rows, form, json_data=rows)  # JSON prints the same rows as the table
        for reader in readers:
            _report_damage(reader)


@command("story")
@click.argument("file", type=FILE)
@click.argument("request")
def story(file: Path, request: str) -> None:
    """Show one REQUEST from its arrival to its end: the candidates and their figures, the decisions and the reasons."""
    from bramblestile.trace.story import format_story

    with ExitStack() as stack:
        reader = _open(stack, file)
        records = list(reader.read(Query(id=request)))
        _report_damage(reader)
        if not records:
            raise OperationError(f"{file}: no request {request}")
        for line in format_story(records, format_time):
            click.echo(line)
