"""The group of all commands."""

from __future__ import annotations

import os
from collections.abc import Sequence
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING

import click

from bramblestile import __version__
from bramblestile.cli.common import InputError

if TYPE_CHECKING:
    from bramblestile.process.config import TlsConfig

GROUPS = {
    "store": "Read and write the replicated store.",
    "trace": "Read, cut, merge and sum up trace files.",
    "lab": "Play many processes of the program with faults between them.",
    "fleet": "Show which balancers live, as one of them sees it.",
    "ops": "Ask a balancer whether it is ready, take image servers out, send clients away.",
    "work": "Take machines out for work, in an order that the balancers settle.",
    "tls": "Look at the image servers' certificates; make an authority for trying things out.",
}


class _Lazy(click.Group):
    """Each group of commands is a module that is loaded when it is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *GROUPS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in GROUPS:
            return super().get_command(ctx, cmd_name)
        found = import_module(f"bramblestile.cli.{cmd_name}").group
        assert isinstance(found, click.Command)
        return found

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Their one line each without loading them."""
        rows = [
            (name, GROUPS.get(name) or self.commands[name].get_short_help_str(80)) for name in self.list_commands(ctx)
        ]
        with formatter.section("Commands"):
            formatter.write_dl(rows)


@click.group(cls=_Lazy, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(__version__, prog_name="bramblestile")
def group() -> None:
    """A balancer for long-lived connections.

    Without a command, or with a FILE alone, it runs one balancer. $EDGE_CONFIG names the platform's configuration,
    over which an operator's FILE is laid.
    """


@group.command()
@click.argument("file", required=False, type=click.Path(path_type=Path))
def run(file: Path | None) -> None:
    """Run one balancer, configured by $EDGE_CONFIG and by FILE, until SIGTERM.

    SIGHUP reads the configuration again, SIGUSR1 prints the counters.
    """
    from bramblestile.process import daemon

    raise SystemExit(daemon.main([str(file)] if file else []))


@group.command()
@click.argument("file", required=False, type=click.Path(path_type=Path))
def check(file: Path | None) -> None:
    """Read and check a configuration; name the faulty key and exit with 2, or say what would run."""
    from bramblestile.process.config import ConfigError, load_config

    try:
        config = load_config([str(file)] if file else [], os.environ)
    except ConfigError as error:
        raise InputError(str(error)) from None
    for front in (config.lines, config.nats):
        if front is not None:
            listen, hosts = "{}:{}".format(*front.listen), len(front.known_hosts)
            kind = "lines" if front is config.lines else "nats"
            source = "{}:{}".format(*front.discovery) if front.discovery else "the file alone"
            classes = ", ".join(c.name for c in front.settings.classes)
            click.echo(f"{kind}: listens on {listen}, {hosts} hosts known, list from {source}, classes {classes}")
        if front is not None and front.tls is not None:
            _check_tls(front.tls)
    if config.trace is not None:
        click.echo(f"trace: into {config.trace.directory} as {config.trace.instance}")
    if config.store is not None:
        click.echo(f"store: {config.store.name} of {', '.join(config.store.peers)}")
    click.echo("sound")


def _check_tls(config: TlsConfig) -> None:
    """Reads its files, as the daemon would."""
    from bramblestile.process.config import ConfigError
    from bramblestile.process.front import load_tls

    try:
        _, trust = load_tls(config)
    except ConfigError as error:
        raise InputError(str(error)) from None
    click.echo(
        f"{config.path}: {len(trust.authorities)} authorities, names by {config.name}"
        + (", NOT VERIFIED" if config.skip_verification else "")
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Exit code. Whatever goes wrong comes in one line; click's own usage errors too."""
    try:
        ended = group.main(
            None if arguments is None else list(arguments), prog_name="bramblestile", standalone_mode=False
        )
    except click.ClickException as error:
        at = f"{error.ctx.command_path}: " if isinstance(error, click.UsageError) and error.ctx else ""
        click.echo(f"bramblestile: {at.removeprefix('bramblestile ')}{error.format_message()}", err=True)
        return error.exit_code
    except click.Abort:
        click.echo("bramblestile: interrupted", err=True)
        return 130
    except SystemExit as error:
        return error.code if isinstance(error.code, int) else int(bool(error.code))
    return ended if isinstance(ended, int) else 0
