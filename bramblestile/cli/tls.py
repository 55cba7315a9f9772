"""``bramblestile tls``: look at the hosts' certificates, and make throw-away ones."""

from __future__ import annotations

import os
from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path

import click

from bramblestile.cli.common import InputError, OperationError
from bramblestile.clock import MICROSECOND
from bramblestile.memory.cluster import UpstreamHost
from bramblestile.memory.counters import Counters
from bramblestile.process.config import Config, ConfigError, FrontConfig, load_config
from bramblestile.process.front import load_tls
from bramblestile.tls import Dialer, dev_certificates
from bramblestile.tls.dialer import HandshakeResult
from bramblestile.wire import nats


@click.group()
def group() -> None:
    """Look at the image servers' certificates; make an authority for trying things out."""


def _dialer(front: FrontConfig, is_nats: bool) -> Dialer:
    assert front.tls is not None
    plan, trust = load_tls(front.tls)
    before = nats.read_info if is_nats and not front.tls.handshake_first else None
    return Dialer(plan, Counters(), read_preamble=before, trust_store=trust)


def _fronts(config: Config) -> list[FrontConfig]:
    return [front for front in (config.lines, config.nats) if front is not None and front.tls is not None]


@group.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--host", "only", multiple=True, help="Only these of the listed hosts.")
@click.option("--within", default=2.0, show_default=True, help="Seconds for one handshake.")
def check(file: Path, only: tuple[str, ...], within: float) -> None:
    """Connect to each host that FILE lists and say what it shows.

    For each: chain, dates, version, cipher, the times of a first and of a second handshake and whether that one
    resumed. Nothing but handshakes is sent. Exit code 1 if any host is refused or does not answer.
    """
    try:
        config = load_config([str(file)], os.environ)
        fronts = _fronts(config)
        if not fronts:
            raise InputError(f"{file}: no front has a tls table")
        dialers = [(front, _dialer(front, front is config.nats)) for front in fronts]
    except ConfigError as error:
        raise InputError(str(error)) from None
    known = {host.id for front in fronts for host in front.known_hosts}
    for name in only:
        if name not in known:
            raise InputError(f"--host: {name!r} is not listed in {file}")
    bad = looked = 0
    for front, dialer in dialers:
        for host in front.known_hosts:
            if only and host.id not in only:
                continue
            looked += 1
            bad += not _look(dialer, host, timedelta(seconds=within))
    if not looked:
        raise InputError(f"{file}: lists no host; only those in the file can be looked at")
    if bad:
        raise OperationError(f"{bad} of {looked} hosts refused or without an answer")


def _look(dialer: Dialer, host: UpstreamHost, within: timedelta) -> bool:
    try:
        first = dialer.try_handshake(host, within)
        again = dialer.try_handshake(host, within)
    except OSError as error:
        click.echo(f"{host.id}: REFUSED: {error}")
        return False
    click.echo(
        f"{host.id}: {dialer.expected_name(host)}, {first.version}, {first.cipher}, first handshake {_ms(first)}, "
        f"second {_ms(again)} {'resumed' if again.resumed else 'not resumed'}"
    )
    _show(first)
    return True


def _ms(seen: HandshakeResult) -> str:
    return f"{seen.duration // MICROSECOND / 1000:.1f} ms"


def _show(seen: HandshakeResult) -> None:
    for place, facts in enumerate(seen.chain):
        names = ", ".join((*facts.dns_names, *facts.ip_addresses, *facts.uris))
        click.echo(
            f"  {place}: {facts.subject}{f' for {names}' if names else ''}, from {facts.issuer}, "
            f"{facts.not_before:%Y-%m-%d %H:%M} to {facts.not_after:%Y-%m-%d %H:%M}Z"
        )


@group.command("make-test-ca")
@click.argument("directory", type=click.Path(path_type=Path, file_okay=False))
@click.option(
    "--host",
    "hosts",
    multiple=True,
    required=True,
    help="A host's name as NAME or NAME=DNS,ADDRESS,URI; may be given several times.",
)
@click.option("--days", default=7, show_default=True, type=click.IntRange(1, 90))
@click.option("--rsa", is_flag=True, help="RSA 2048 in place of ECDSA P-256.")
@click.option("--force", is_flag=True, help="Overwrite what is there.")
def make_test_ca(directory: Path, hosts: Sequence[str], days: int, rsa: bool, force: bool) -> None:
    """Make a throw-away authority and certificates in DIRECTORY.

    ca.pem, client.pem and client.key for the balancer, and NAME.pem and NAME.key for each host. Its own key is not
    kept: nothing more can be issued by it. Not for service.
    """
    wanted: dict[str, tuple[str, ...]] = {}
    for host in hosts:
        name, _, names = host.partition("=")
        if not name or "/" in name or name in ("ca", "client"):
            raise InputError(f"--host: {host!r}: no name for a file")
        wanted[name] = tuple(n for n in names.split(",") if n) or (name,)
    try:
        made = dev_certificates.issue_dev_certificates(wanted, timedelta(days=days), rsa)
    except ValueError as error:
        raise InputError(f"--host: {error}") from None
    there = [name for name in made if (directory / name).exists()]
    if there and not force:
        raise InputError(f"{directory / there[0]}: is there already; --force overwrites")
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for name, raw in made.items():
            # Made with its mode: a key must not be readable for others for even a moment.
            with open(os.open(directory / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
                os.fchmod(file.fileno(), 0o600)
                file.write(raw)
    except OSError as error:
        raise OperationError(f"{error.filename or directory}: {error.strerror}") from None
    click.echo(f"{directory}: {', '.join(made)}")
