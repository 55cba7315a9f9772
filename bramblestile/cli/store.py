"""``bramblestile store``: reads and writes the replicated store."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

import click

from bramblestile.cli.common import InputError, OperationError
from bramblestile.wire import discovery, peers

TIMEOUT = timedelta(seconds=5)


@click.group("store")
def group() -> None:
    """Read and write the replicated store through any of its peers.

    hosts/NAME holds the agent-check state of an upstream host (drain, ready, 50% ...).
    """


def _call(peer: str, **command: str) -> dict[str, Any]:
    try:
        address = discovery.address(peer)
    except ValueError as error:
        raise InputError(f"PEER: {error}") from None
    try:
        response = peers.send_command(address, command, TIMEOUT)
    except (OSError, ValueError) as error:
        raise OperationError(f"store: {peer}: {error}") from None
    if not response.get("ok"):
        raise OperationError(f"store: {peer}: {response.get('why', 'no majority confirmed it in time')}")
    return response


@group.command("get")
@click.argument("peer")
@click.argument("key")
def get(peer: str, key: str) -> None:
    """Print the value of KEY at PEER (HOST:PORT), which may lag behind the other peers."""
    click.echo(_call(peer, do="get", key=key).get("value"))


@group.command("set")
@click.argument("peer")
@click.argument("key")
@click.argument("value")
def set_(peer: str, key: str, value: str) -> None:
    """Set KEY to VALUE. Exit code 0: committed by a majority; 1: it is unknown whether it will be committed."""
    click.echo(f"committed by a majority, leader {_call(peer, do='set', key=key, value=value).get('leader')}")
