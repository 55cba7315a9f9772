"""``bramblestile ops``: the operators' calls to a balancer's management address."""

from __future__ import annotations

import http.client
from urllib.parse import quote

import click

from bramblestile.cli.common import InputError, OperationError
from bramblestile.wire import discovery

TIMEOUT_S = 2.0  # seconds: an answer is owed within 1


def _address(ctx: click.Context, _: click.Parameter, value: str) -> None:
    try:
        ctx.obj = discovery.address(value)
    except ValueError as error:
        raise InputError(f"--at: {error}") from None


# The commands of a group with it find the address in ``ctx.obj``.
address_option = click.option(
    "--at",
    envvar="EDGE_MANAGEMENT",
    required=True,
    metavar="HOST:PORT",
    expose_value=False,
    callback=_address,
    help="The balancer's management address; $EDGE_MANAGEMENT.",
)


@click.group("ops")
@address_option
def group() -> None:
    """Ask a balancer whether it is ready, take image servers out, send clients away.

    Exit 0: it said yes; 1: no, or nothing, with its reason; 2: wrong usage. Each balancer has to be told by itself.
    """


def send_call(
    ctx: click.Context, command: str, method: str, path: str, body: bytes = b"", max_bytes: int = 4096
) -> str:
    """What the management address answers to one call, ``most`` bytes of it; Failed where it is not a yes."""
    host, port = ctx.obj
    line = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        line.request(method, path, body or None)
        answer = line.getresponse()
        said = answer.read(max_bytes).decode("utf-8", "replace").strip()
    except (OSError, http.client.HTTPException) as error:
        raise OperationError(f"{command}: {host}:{port}: {error!r}") from None
    finally:
        line.close()
    if not 200 <= answer.status < 300:
        raise OperationError(f"{command}: {host}:{port}: {answer.status} {said}")
    return said


def _call(ctx: click.Context, method: str, path: str) -> None:
    click.echo(send_call(ctx, "ops", method, path))


@group.command()
@click.pass_context
def readyz(ctx: click.Context) -> None:
    """Whether this process is ready to serve."""
    _call(ctx, "GET", "/v1/readyz")


@group.command()
@click.argument("id_", metavar="ID")
@click.pass_context
def suspend(ctx: click.Context, id_: str) -> None:
    """Leave image server ID out: nothing new goes there, and what stands is moved within 2 s."""
    _call(ctx, "PUT", f"/v1/image-servers/{quote(id_, safe='')}/suspend")


@group.command()
@click.argument("id_", metavar="ID")
@click.pass_context
def resume(ctx: click.Context, id_: str) -> None:
    """Image server ID may serve again, as one that has just started."""
    _call(ctx, "PUT", f"/v1/image-servers/{quote(id_, safe='')}/resume")


@group.command()
@click.pass_context
def drain(ctx: click.Context) -> None:
    """Send all clients away; they are moved within 3.3 s."""
    _call(ctx, "PUT", "/v1/balancer/drain")


@group.command()
@click.pass_context
def activate(ctx: click.Context) -> None:
    """Take clients again."""
    _call(ctx, "PUT", "/v1/balancer/activate")
