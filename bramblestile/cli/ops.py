"""``bramblestile ops``: calls to a balancer's management API."""

from __future__ import annotations

import http.client
from urllib.parse import quote

import click

from bramblestile.cli.common import InputError, OperationError
from bramblestile.wire import discovery

TIMEOUT_S = 2.0  # the management API answers within 1 s


def _address(ctx: click.Context, _: click.Parameter, value: str) -> None:
    try:
        ctx.obj = discovery.address(value)
    except ValueError as error:
        raise InputError(f"--at: {error}") from None


# The commands of a group with this option find the address in ``ctx.obj``.
address_option = click.option(
    "--at",
    envvar="EDGE_MANAGEMENT",
    required=True,
    metavar="HOST:PORT",
    expose_value=False,
    callback=_address,
    help="The balancer's management address (or $EDGE_MANAGEMENT).",
)


@click.group("ops")
@address_option
def group() -> None:
    """Check whether a balancer is ready, suspend image servers, drain a balancer.

    Exit code 0: success; 1: the balancer refused the call or did not answer; 2: wrong usage. A call affects only the
    balancer that is addressed.
    """


def send_call(
    ctx: click.Context, command: str, method: str, path: str, body: bytes = b"", max_bytes: int = 4096
) -> str:
    """Call the management API and return up to ``max_bytes`` of the response.

    ``command`` is named in error messages. Raises OperationError if there is no successful response.
    """
    host, port = ctx.obj
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body or None)
        response = connection.getresponse()
        text = response.read(max_bytes).decode("utf-8", "replace").strip()
    except (OSError, http.client.HTTPException) as error:
        raise OperationError(f"{command}: {host}:{port}: {error!r}") from None
    finally:
        connection.close()
    if not 200 <= response.status < 300:
        raise OperationError(f"{command}: {host}:{port}: {response.status} {text}")
    return text


def _call(ctx: click.Context, method: str, path: str) -> None:
    click.echo(send_call(ctx, "ops", method, path))


@group.command()
@click.pass_context
def readyz(ctx: click.Context) -> None:
    """Show whether the balancer is ready to serve."""
    _call(ctx, "GET", "/v1/readyz")


@group.command()
@click.argument("id_", metavar="ID")
@click.pass_context
def suspend(ctx: click.Context, id_: str) -> None:
    """Suspend image server ID: it gets no new requests, and its connections are moved within 2 s."""
    _call(ctx, "PUT", f"/v1/image-servers/{quote(id_, safe='')}/suspend")


@group.command()
@click.argument("id_", metavar="ID")
@click.pass_context
def resume(ctx: click.Context, id_: str) -> None:
    """Resume image server ID, which then counts as just started."""
    _call(ctx, "PUT", f"/v1/image-servers/{quote(id_, safe='')}/resume")


@group.command()
@click.pass_context
def drain(ctx: click.Context) -> None:
    """Drain the balancer: all clients are moved elsewhere within 3.3 s."""
    _call(ctx, "PUT", "/v1/balancer/drain")


@group.command()
@click.pass_context
def activate(ctx: click.Context) -> None:
    """End a drain: accept clients again."""
    _call(ctx, "PUT", "/v1/balancer/activate")
