"""``bramblestile trace``: what is done with trace files. Each command streams: memory does not grow with the file."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack
from itertools import chain
from pathlib import Path
from typing import IO, Any, BinaryIO

import click

from bramblestile.cli.common import FILE, OUT, TIME, Failed, one_line, progress, resolve, shown
from bramblestile.trace import Reader, TraceError, Wanted, Writer
from bramblestile.trace.files import BESIDE, whole_file
from bramblestile.trace.records import Record, from_json, to_json

LONGEST_LINE = 1 << 20  # bytes of a line of JSON that is imported
force = click.option("--force", is_flag=True, help="Overwrite OUT.")
drop_unknown = click.option(
    "--drop-unknown", is_flag=True, help="Copy even where a newer program wrote kinds or fields that would be lost."
)


@click.group("trace")
def group() -> None:
    """Read, cut, merge, hide names in and sum up trace files.

    A trace holds every request and decision of a balancer that ran with a [trace] table in its configuration.
    Damage in a file costs the damaged blocks; it is told on standard error, and the exit is 0.
    """


def _tell(reader: Reader) -> None:
    """What was wrong with a file that has been read, on standard error."""
    for damage in reader.damage[:10]:
        click.echo(f"bramblestile: {reader.path}: {damage}", err=True)
    if reader.damaged > 10:
        click.echo(f"bramblestile: {reader.path}: and {reader.damaged - 10} damaged places more", err=True)
    for what, count in reader.unknown.counts.items():
        click.echo(
            f"bramblestile: {reader.path}: {count} of {what}, which this program does not know, passed over", err=True
        )


class _OneLine(click.Command):
    """A command whose errors come in one line, whatever raised them."""

    def invoke(self, ctx: click.Context) -> Any:
        with one_line():
            return super().invoke(ctx)


def command(name: str) -> Callable[[Callable[..., None]], click.Command]:
    return group.command(name, cls=_OneLine)


def _open(stack: ExitStack, path: Path) -> Reader:
    try:
        return stack.enter_context(Reader(path))
    except TraceError as error:
        raise TraceError(f"{path}: {error}") from None


def _wanted(
    reader: Reader, since: int | None, until: int | None, id_: str | None, host: str | None, cls: str | None
) -> Wanted:
    def first() -> int:
        found = min((place.frame.first for place in reader.places()), default=0)
        reader.forget()
        return found

    return Wanted(resolve(since, first), resolve(until, first), id_, host, cls)


def _filters(function: Callable[..., None]) -> Callable[..., None]:
    for option in (
        click.option("--class", "cls", metavar="CLASS", help="Requests of this class, with all their records."),
        click.option("--host", metavar="ID", help="Records that tell of this host."),
        click.option("--request", "id_", metavar="ID", help="Records of this request."),
        click.option("--to", "until", type=TIME, help="Before this time."),
        click.option(
            "--from",
            "since",
            type=TIME,
            help="From this time on: 2026-12-01T10:00:00Z, microseconds since 1970, or +10s.",
        ),
    ):
        function = option(function)
    return function


def _write(rows: Iterable[Record], out: Path, force_: bool, description: dict[str, Any]) -> int:
    """A whole file of these records, or none."""
    with whole_file(out, force_) as file:
        writer = Writer(file, description, beside=BESIDE)
        try:
            writer.extend(rows)
            writer.flush()
        finally:
            writer.close()
        return writer.records


def _check_known(readers: Iterable[Reader], dropped: bool) -> None:
    """Called when all has been read and before the copy gets its name."""
    for reader in readers:
        if reader.unknown.counts and not dropped:
            raise TraceError(
                f"{reader.path}: holds {', '.join(sorted(reader.unknown.counts))}, which a copy by this "
                "program would lose; --drop-unknown copies the rest"
            )


def _guarded(rows: Iterable[Record], readers: Iterable[Reader], dropped: bool) -> Iterator[Record]:
    yield from rows
    _check_known(readers, dropped)


def _copied(description: dict[str, Any], **more: Any) -> dict[str, Any]:
    return {**{k: v for k, v in description.items() if k != "flush_us"}, **more}


@command("info")
@click.argument("file", type=FILE)
def info(file: Path) -> None:
    """Say what FILE is: from when to when, how many records, how large, what is damaged.

    Only the blocks' frames are read: it takes as long for a large file as for a small one.
    """
    with ExitStack() as stack:
        reader = _open(stack, file)
        blocks = records = raw = filters = 0
        first: int | None = None
        last = 0
        expected, missing = 0, 0
        for place in reader.places():
            frame = place.frame
            blocks, records, raw, filters = (
                blocks + 1,
                records + frame.records,
                raw + frame.raw,
                filters + frame.filter,
            )
            first = frame.first if first is None else min(first, frame.first)
            last = max(last, frame.last)
            missing += max(0, frame.number - expected)
            expected = frame.number + 1
        for name, value in reader.description.items():
            click.echo(f"{name}: {value}")
        click.echo(
            f"records: {records} in {blocks} blocks, {reader.size} bytes"
            + (f", {reader.size / records:.2f} a record" if records else "")
        )
        if first is not None:
            click.echo(f"from {shown(first)} ({first})")
            click.echo(f"to   {shown(last)} ({last}), {(last - first) / 1e6:.3f} s")
            click.echo(f"unpacked: {raw} bytes; index: {filters} bytes")
        click.echo(
            f"damaged: {reader.damaged} places, {missing} blocks known to be missing"
            if reader.damaged or missing
            else "damaged: nothing (frames; `recover` reads all)"
        )
        _tell(reader)


def _lines(source: BinaryIO, name: str) -> Iterator[Record]:
    import msgspec

    number = 0
    while line := source.readline(LONGEST_LINE + 1):
        number += 1
        if len(line) > LONGEST_LINE:
            raise TraceError(f"{name}: line {number}: longer than {LONGEST_LINE} bytes")
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
    """Make the trace OUT of the lines of JSON in IN.jsonl (- for standard input), which must be `export`'s."""
    with ExitStack() as stack:
        file: BinaryIO = sys.stdin.buffer if str(source) == "-" else stack.enter_context(open(source, "rb"))
        name = "standard input" if str(source) == "-" else str(source)
        count = _write(progress(_lines(file, name), "import"), out, force, {"imported": True})
    click.echo(f"{count} records", err=True)


def _put_lines(rows: Iterable[Record], out: IO[bytes]) -> None:
    held: list[bytes] = []
    for row in rows:
        held.append(to_json(row))
        if len(held) >= 1000:
            out.write(b"\n".join(held) + b"\n")
            held.clear()
    if held:
        out.write(b"\n".join(held) + b"\n")
    out.flush()


@command("export")
@click.argument("file", type=FILE)
@_filters
@click.option(
    "-o",
    "--output",
    "out",
    type=click.Path(path_type=Path, allow_dash=True),
    default="-",
    help="A file for the lines; - is standard output.",
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
    """Print FILE's records as lines of JSON, all or those that the options name."""
    with ExitStack() as stack:
        reader = _open(stack, file)
        rows = progress(reader.read(_wanted(reader, since, until, id_, host, cls)), "export")
        if str(out) == "-":
            _put_lines(rows, sys.stdout.buffer)
        else:
            _put_lines(rows, stack.enter_context(whole_file(out, force)))
        _tell(reader)


@command("cut")
@click.argument("file", type=FILE)
@_filters
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
    """Copy the part of FILE that the options name to a trace of its own."""
    with ExitStack() as stack:
        reader = _open(stack, file)
        wanted = _wanted(reader, since, until, id_, host, cls)
        rows = _guarded(progress(reader.read(wanted), "cut"), [reader], drop_unknown)
        count = _write(rows, out, force, _copied(reader.description, cut_from=file.name))
        _tell(reader)
        click.echo(f"{count} records", err=True)


@command("recover")
@click.argument("file", type=FILE)
@click.argument("out", type=OUT)
@force
@drop_unknown
def recover(file: Path, out: Path, force: bool, drop_unknown: bool) -> None:
    """Copy all that is sound in FILE to OUT and say what was lost. Small blocks become large ones."""
    with ExitStack() as stack:
        reader = _open(stack, file)
        rows = _guarded(progress(reader.read(), "recover"), [reader], drop_unknown)
        count = _write(rows, out, force, _copied(reader.description, recovered_from=file.name))
        _tell(reader)
        lost = sum(d.records for d in reader.damage)
        click.echo(
            f"{count} records recovered; {reader.damaged} damaged places, with {lost} records known to be lost",
            err=True,
        )


@command("merge")
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("-o", "--output", "out", type=OUT, required=True)
@click.option("--as-is", is_flag=True, help="Take all clocks for right.")
@force
@drop_unknown
def merge(files: tuple[Path, ...], out: Path, as_is: bool, force: bool, drop_unknown: bool) -> None:
    """Merge FILES into one trace, in the order of time, on the clock of the first.

    How far the other clocks are off is estimated from what the traces both saw, and told with its uncertainty on
    standard error and in OUT (`info` shows it). Each record keeps its own time (at) beside the correction (adj).
    """
    from bramblestile.trace.clocks import SAME
    from bramblestile.trace.merging import Part, align, sweep

    with ExitStack() as stack:
        readers = [_open(stack, file) for file in files]
        if as_is:
            parts = [Part(reader, reader.path.name, (), SAME, reader.path.name) for reader in readers]
        else:
            parts = align(readers, progress)
        for part in parts:
            click.echo(_clock_line(part.told(), as_is), err=True)
        rows = _guarded(progress(sweep(parts), "merge"), readers, drop_unknown)
        count = _write(rows, out, force, {"merged": [part.told() for part in parts]})
        for reader in readers:
            _tell(reader)
        click.echo(f"{count} records", err=True)


def _clock_line(told: dict[str, Any], as_is: bool) -> str:
    name = told["file"]
    if as_is:
        return f"{name}: taken as it is"
    if told["by"] == "same clock":
        return f"{name}: the clock that the others are brought to"
    if told["within_us"] is None:
        return f"{name}: NOT ALIGNED, taken as it is: {told['note']}"
    links = ", ".join(f"{count} {kind}s" for kind, count in told["links"].items())
    note = f"; {told['note']}" if told["note"] else ""
    return (
        f"{name}: {told['offset_us'] / 1000:+.3f} ms against {told['against']}, within "
        f"{told['within_us'] / 1000:.3f} ms (95%), drift {told['drift_ppm']:+.1f} ppm; by {links}{note}"
    )


@command("anonymise")
@click.argument("file", type=FILE)
@click.option("-o", "--output", "out", type=OUT, required=True)
@click.option("--key-file", type=FILE, required=True, help="16 to 64 random bytes; the same key, the same pseudonyms.")
@click.option("--hosts", is_flag=True, help="Hide the names of the hosts too.")
@force
def anonymise(file: Path, out: Path, key_file: Path, hosts: bool, force: bool) -> None:
    """Copy FILE with museums, clients, keys and groups under pseudonyms, and without any free text.

    Before OUT gets its name, every text that was kept is searched for every identity that was hidden. What a newer
    program wrote and this one does not know is left out: nobody can tell what it holds.
    """
    from bramblestile.trace.pseudonyms import Pseudonyms

    with open(key_file, "rb") as key_source:
        key = key_source.read(65)
    with ExitStack() as stack:
        reader = _open(stack, file)
        pseudonyms = Pseudonyms(key, hosts)

        def checked() -> Iterator[Record]:
            for record in progress(reader.read(), "anonymise"):
                yield pseudonyms.record(record)
            told = str(reader.description.get("instance", "")), str(reader.description.get("hall", ""))
            pseudonyms.kept.update(told)
            check = pseudonyms.leak_check()
            with Reader(file) as again:
                for record in progress(again.read(), "checking"):
                    check(record)

        kept: dict[str, Any] = {
            k: reader.description[k] for k in ("instance", "hall", "program", "opened_us") if k in reader.description
        }
        count = _write(checked(), out, force, {**kept, "pseudonyms": pseudonyms.key_name, "hosts_hidden": hosts})
        _tell(reader)
        click.echo(f"{count} records, no identity left in any text", err=True)


def _summary(reader: Reader, rows: Iterable[Record], window_us: int = 0) -> Any:
    from bramblestile.trace.summary import Summary

    made = Summary(window_us)
    name, hall = reader.description.get("instance"), reader.description.get("hall")
    if isinstance(name, str) and isinstance(hall, str):
        made.halls[name] = hall
    made.add_all(rows)
    return made


def _table(rows: list[dict[str, Any]], keys: list[str]) -> Iterator[str]:
    shown_ = [[("-" if row.get(k) is None else str(row[k])) for k in keys] for row in rows]
    widths = [max(len(k), *(len(r[n]) for r in shown_)) if shown_ else len(k) for n, k in enumerate(keys)]
    for line in [keys, *shown_]:
        cells = [c.ljust(w) if n < 2 else c.rjust(w) for n, (c, w) in enumerate(zip(line, widths, strict=True))]
        yield "  ".join(cells).rstrip()


FORMAT = click.option(
    "--format", "form", type=click.Choice(["table", "json", "csv"]), default="table", show_default=True
)


def _print(rows: list[dict[str, Any]], form: str, whole: Any) -> None:
    keys = list(dict.fromkeys(chain.from_iterable(rows)))
    if form == "json":
        import json

        click.echo(json.dumps(whole, indent=1))
    elif form == "csv":
        import csv

        writer = csv.DictWriter(sys.stdout, keys, restval="")
        writer.writeheader()
        writer.writerows(rows)
    else:
        for line in _table(rows, keys):
            click.echo(line)


@command("summarise")
@click.argument("file", type=FILE)
@_filters
@click.option("--window", type=click.FloatRange(min=0.001), metavar="SECONDS", help="Also by windows of time.")
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
        rows = progress(reader.read(_wanted(reader, since, until, id_, host, cls)), "summarise")
        made = _summary(reader, rows, round((window or 0) * 1e6))
        _print(made.rows(), form, made.as_json())
        if form == "table":
            for name in ("upstream", "moves", "ends", "lost"):
                told = made.as_json()[name]
                if told:
                    click.echo(f"{name}: " + ", ".join(f"{k} {v}" for k, v in told.items()))
        _tell(reader)


@command("diff")
@click.argument("a", type=FILE)
@click.argument("b", type=FILE)
@click.option("--all", "all_", is_flag=True, help="Also what differs by no more than chance would have it.")
@FORMAT
def diff(a: Path, b: Path, all_: bool, form: str) -> None:
    """Compare two traces: outcomes and time to up by class, placements, cuts and moves by host.

    z: by how many standard errors two shares differ; beyond 3 it is hardly chance.
    """
    from bramblestile.trace.summary import differences

    with ExitStack() as stack:
        readers = [_open(stack, file) for file in (a, b)]
        one, other = (_summary(r, progress(r.read(), str(r.path.name))) for r in readers)
        rows = [
            row
            for row in differences(one, other)
            if all_ or row["beyond_chance"] or (row["z"] is None and row["a"] != row["b"])
        ]
        _print(rows, form, rows)
        for reader in readers:
            _tell(reader)


@command("story")
@click.argument("file", type=FILE)
@click.argument("request")
def story(file: Path, request: str) -> None:
    """Tell one REQUEST from its arrival to its end: what was known of which host, what was chosen and why."""
    from bramblestile.trace.story import tell

    with ExitStack() as stack:
        reader = _open(stack, file)
        rows = list(reader.read(Wanted(id=request)))
        _tell(reader)
        if not rows:
            raise Failed(f"{file}: no request {request}")
        for line in tell(rows, shown):
            click.echo(line)
