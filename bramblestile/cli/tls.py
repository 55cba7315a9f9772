"""``bramblestile tls``: check the hosts' certificates, and create certificates for development."""

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
    """Check the image servers' certificates; create an authority for development."""


def _dialer(front: FrontConfig, is_nats: bool) -> Dialer:
    assert front.tls is not None
    config, trust_store = load_tls(front.tls)
    read_preamble = nats.read_info if is_nats and not front.tls.handshake_first else None
    return Dialer(config, Counters(), read_preamble=read_preamble, trust_store=trust_store)


def _tls_fronts(config: Config) -> list[FrontConfig]:
    return [front for front in (config.lines, config.nats) if front is not None and front.tls is not None]


@group.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--host", "names", multiple=True, help="Check only this listed host; may be given several times.")
@click.option("--within", "timeout_s", default=2.0, show_default=True, help="Seconds for one handshake.")
def check(file: Path, names: tuple[str, ...], timeout_s: float) -> None:
    """Connect to each host that FILE lists and print its certificates.

    Prints for each host the chain with its dates, the TLS version and cipher, and the times of a first and a second
    handshake and whether the second one resumed the session. Sends nothing but handshakes. Exits with code 1 if any
    host is refused or does not answer.
    """
    try:
        config = load_config([str(file)], os.environ)
        fronts = _tls_fronts(config)
        if not fronts:
            raise InputError(f"{file}: no front has a tls table")
        dialers = [(front, _dialer(front, front is config.nats)) for front in fronts]
    except ConfigError as error:
        raise InputError(str(error)) from None
    known_names = {host.id for front in fronts for host in front.known_hosts}
    for name in names:
        if name not in known_names:
            raise InputError(f"--host: {name!r} is not listed in {file}")
    failed = checked = 0
    for front, dialer in dialers:
        for host in front.known_hosts:
            if names and host.id not in names:
                continue
            checked += 1
            failed += not _check_host(dialer, host, timedelta(seconds=timeout_s))
    if not checked:
        raise InputError(f"{file}: lists no host; only hosts in the file can be checked")
    if failed:
        raise OperationError(f"{failed} of {checked} hosts refused or without an answer")


def _check_host(dialer: Dialer, host: UpstreamHost, timeout: timedelta) -> bool:
    """Print the result of two handshakes, and return whether the host is accepted."""
    try:
        first = dialer.try_handshake(host, timeout)
        second = dialer.try_handshake(host, timeout)
    except OSError as error:
        click.echo(f"{host.id}: REFUSED: {error}")
        return False
    click.echo(
        f"{host.id}: {dialer.expected_name(host)}, {first.version}, {first.cipher}, "
        f"first handshake {_format_duration(first)}, "
        f"second {_format_duration(second)} {'resumed' if second.resumed else 'not resumed'}"
    )
    _print_chain(first)
    return True


def _format_duration(result: HandshakeResult) -> str:
    return f"{result.duration // MICROSECOND / 1000:.1f} ms"


def _print_chain(result: HandshakeResult) -> None:
    for depth, certificate in enumerate(result.chain):
        names = ", ".join((*certificate.dns_names, *certificate.ip_addresses, *certificate.uris))
        click.echo(
            f"  {depth}: {certificate.subject}{f' for {names}' if names else ''}, from {certificate.issuer}, "
            f"{certificate.not_before:%Y-%m-%d %H:%M} to {certificate.not_after:%Y-%m-%d %H:%M}Z"
        )


@group.command("make-test-ca")
@click.argument("directory", type=click.Path(path_type=Path, file_okay=False))
@click.option(
    "--host",
    "hosts",
    multiple=True,
    required=True,
    help="A host as NAME, or as NAME=DNS,ADDRESS,URI; may be given several times.",
)
@click.option("--days", default=7, show_default=True, type=click.IntRange(1, 90))
@click.option("--rsa", "use_rsa", is_flag=True, help="Use RSA 2048 in place of ECDSA P-256.")
@click.option("--force", is_flag=True, help="Overwrite existing files.")
def make_test_ca(directory: Path, hosts: Sequence[str], days: int, use_rsa: bool, force: bool) -> None:
    """Create an authority for development, and certificates issued by it, in DIRECTORY.

    Writes ca.pem, client.pem and client.key for the balancer, and NAME.pem and NAME.key for each host. The authority's
    own key is not kept, so it can issue no further certificates. Not for production.
    """
    names_by_host: dict[str, tuple[str, ...]] = {}
    for host in hosts:
        name, _, names = host.partition("=")
        if not name or "/" in name or name in ("ca", "client"):
            raise InputError(f"--host: {host!r}: not usable as a file name")
        names_by_host[name] = tuple(n for n in names.split(",") if n) or (name,)
    try:
        files = dev_certificates.issue_dev_certificates(names_by_host, timedelta(days=days), use_rsa)
    except ValueError as error:
        raise InputError(f"--host: {error}") from None
    existing = [name for name in files if (directory / name).exists()]
    if existing and not force:
        raise InputError(f"{directory / existing[0]}: is there already; --force overwrites")
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for name, content in files.items():
            # Created with its final mode, so that others can never read a key, not even briefly.
            with open(os.open(directory / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
                os.fchmod(file.fileno(), 0o600)
                file.write(content)
    except OSError as error:
        raise OperationError(f"{error.filename or directory}: {error.strerror}") from None
    click.echo(f"{directory}: {', '.join(files)}")
