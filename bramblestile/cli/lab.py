"""``bramblestile lab``: many processes of the program on loopback, faults between them, and whether all held."""

from __future__ import annotations

import tempfile
from pathlib import Path

import click

from bramblestile.cli.common import FILE, Failed


@click.group("lab")
def group() -> None:
    """Play many processes of the program with faults between them, all on loopback."""


@group.command()
@click.argument("file", type=FILE)
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="For the record, the configurations "
    "and the page; a new one below the system's folder for such where none is named.",
)
@click.option("--page", is_flag=True, help="Draw a page of plots (needs matplotlib).")
def run(file: Path, folder: Path | None, page: bool) -> None:
    """Play FILE, a script in TOML, and say whether what it wants has held.

    Exit 0: all held; 1: not all, or it could not be played; 2: wrong usage.
    """
    try:
        from bramblestile.lab import play, script

        if page:
            from bramblestile.lab.page import draw
    except ImportError as error:
        raise Failed(
            f"lab: needs the extras 'tools' and, for a page, 'plots' of this package ({error.name} is not installed)"
        ) from None
    try:
        made = script.parse(file.read_text())
    except (OSError, UnicodeDecodeError, script.ScriptError) as error:
        raise Failed(f"{file}: {error}") from None
    where = folder or Path(tempfile.mkdtemp(prefix="bramblestile-lab-"))
    played = play.play(made, where)
    for key, value in played.figures.items():
        click.echo(f"{key:18} {value:.6g}")
    for label, times in (("first line to UP", played.waits), ("no connection", played.gaps)):
        if times is not None and times.get_total_count():
            told = " ".join(f"{p:g}%: {times.get_value_at_percentile(p)}" for p in (50, 90, 99, 100))
            click.echo(f"{label:18} {told} ms")
    if page:
        draw(played, where / "page.png")
    click.echo(f"record in {where}")
    if played.wrong:
        raise Failed(f"{made.name}: " + "; ".join(played.wrong))
    click.echo(f"{made.name}: all held")
