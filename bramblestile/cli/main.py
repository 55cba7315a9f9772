"""The top-level command group and the program's entry point."""

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
    "trace": "Read, cut, merge and summarise trace files.",
    "lab": "Run many balancer processes with faults between them.",
    "fleet": "Show the members of the fleet as one balancer sees them.",
    "ops": "Check whether a balancer is ready, suspend image servers, drain a balancer.",
    "work": "Take machines out of service for maintenance, one after the other.",
    "tls": "Check the image servers' certificates; create an authority for development.",
}


class _LazyGroup(click.Group):
    """A group whose subgroups are modules that are imported when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *GROUPS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in GROUPS:
            return super().get_command(ctx, cmd_name)
        command = import_module(f"bramblestile.cli.{cmd_name}").group
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """List the commands with their summaries without importing the groups."""
        rows = [
            (name, GROUPS.get(name) or self.commands[name].get_short_help_str(80)) for name in self.list_commands(ctx)
        ]
        with formatter.section("Commands"):
            formatter.write_dl(rows)


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(__version__, prog_name="bramblestile")
def group() -> None:
    """A balancer for long-lived connections.

    Without a command, or with only a FILE, it runs one balancer. $EDGE_CONFIG names the platform's configuration;
    the settings in an operator's FILE override it.
    """


@group.command()
@click.argument("file", required=False, type=click.Path(path_type=Path))
def run(file: Path | None) -> None:
    """Run one balancer, configured by $EDGE_CONFIG and by FILE, until SIGTERM.

    SIGHUP reloads the configuration, SIGUSR1 prints the counters.
    """
    from bramblestile.process import daemon

    raise SystemExit(daemon.main([str(file)] if file else []))


@group.command()
@click.argument("file", required=False, type=click.Path(path_type=Path))
def check(file: Path | None) -> None:
    """Check a configuration and show what would run.

    A faulty key is named on standard error, and the exit code is 2.
    """
    from bramblestile.process.config import ConfigError, load_config

    try:
        config = load_config([str(file)] if file else [], os.environ)
    except ConfigError as error:
        raise InputError(str(error)) from None
    for front in (config.lines, config.nats):
        if front is not None:
            listen, hosts = "{}:{}".format(*front.listen), len(front.known_hosts)
            kind = "lines" if front is config.lines else "nats"
            source = "{}:{}".format(*front.discovery) if front.discovery else "the file only"
            classes = ", ".join(c.name for c in front.settings.classes)
            click.echo(f"{kind}: listens on {listen}, {hosts} hosts known, list from {source}, classes {classes}")
        if front is not None and front.tls is not None:
            _check_tls(front.tls)
    if config.trace is not None:
        click.echo(f"trace: into {config.trace.directory} as {config.trace.instance}")
    if config.store is not None:
        click.echo(f"store: {config.store.name} of {', '.join(config.store.peers)}")
    click.echo("the configuration is valid")


def _check_tls(config: TlsConfig) -> None:
    """Read the files of a TLS table as the daemon would, and show what they hold."""
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
    """Run the command line and return the exit code. Every error is one line on standard error."""
    try:
        result = group.main(
            None if arguments is None else list(arguments), prog_name="bramblestile", standalone_mode=False
        )
    except click.ClickException as error:
        command = f"{error.ctx.command_path}: " if isinstance(error, click.UsageError) and error.ctx else ""
        click.echo(f"bramblestile: {command.removeprefix('bramblestile ')}{error.format_message()}", err=True)
        return error.exit_code
    except click.Abort:
        click.echo("bramblestile: interrupted", err=True)
        return 130
    except SystemExit as error:
        return error.code if isinstance(error.code, int) else int(bool(error.code))
    return result if isinstance(result, int) else 0
