"""``bramblestile lab``: run scripts with many balancer processes on loopback and faults between them."""

from __future__ import annotations

import tempfile
from pathlib import Path

import click

from bramblestile.cli.common import FILE, OperationError


@click.group("lab")
def group() -> None:
    """Run many balancer processes with faults between them, all on loopback."""


@group.command()
@click.argument("file", type=FILE)
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Where the event log, the configurations and the page go; a new temporary folder by default.",
)
@click.option("--page", is_flag=True, help="Draw a page of plots (needs matplotlib).")
def run(file: Path, folder: Path | None, page: bool) -> None:
    """Run FILE, a script in TOML, and report whether its expectations were met.

    Exit 0: all were met; 1: some were not, or the script could not be run; 2: wrong usage.
    """
    try:
        from bramblestile.lab import runner, script

        if page:
            from bramblestile.lab.page import draw
    except ImportError as error:
        raise OperationError(
            f"lab: needs the extras 'tools' and, for a page, 'plots' of this package ({error.name} is not installed)"
        ) from None
    try:
        parsed_script = script.parse(file.read_text())
    except (OSError, UnicodeDecodeError, script.ScriptError) as error:
        raise OperationError(f"{file}: {error}") from None
    run_folder = folder or Path(tempfile.mkdtemp(prefix="bramblestile-lab-"))
    result = runner.run_script(parsed_script, run_folder)
    for key, value in result.metrics.items():
        click.echo(f"{key:18} {value:.6g}")
    for label, times in (("first line to UP", result.connect_times), ("no connection", result.outages)):
        if times is not None and times.get_total_count():
            percentiles = " ".join(f"{p:g}%: {times.get_value_at_percentile(p)}" for p in (50, 90, 99, 100))
            click.echo(f"{label:18} {percentiles} ms")
    if page:
        draw(result, run_folder / "page.png")
    click.echo(f"event log in {run_folder}")
    if result.violations:
        raise OperationError(f"{parsed_script.name}: " + "; ".join(result.violations))
    click.echo(f"{parsed_script.name}: all expectations met")
