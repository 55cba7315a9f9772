"""``bramblestile store``: an operator's word to the replicated store."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

import click

from bramblestile.cli.common import InputError, OperationError
from bramblestile.wire import discovery, peers

TIMEOUT = timedelta(seconds=5)


@click.group("store")
def group() -> None:
    """Read and write the replicated store by way of any of its peers.

    hosts/NAME holds an agent-check's words for an upstream host (drain, ready, 50% ...).
    """


def _call(peer: str, **said: str) -> dict[str, Any]:
    try:
        address = discovery.address(peer)
    except ValueError as error:
        raise InputError(f"PEER: {error}") from None
    try:
        answer = peers.send_command(address, said, TIMEOUT)
    except (OSError, ValueError) as error:
        raise OperationError(f"store: {peer}: {error}") from None
    if not answer.get("ok"):
        raise OperationError(f"store: {peer}: {answer.get('why', 'the leader did not hear of a majority in time')}")
    return answer


@group.command("get")
@click.argument("peer")
@click.argument("key")
def get(peer: str, key: str) -> None:
    """Print what PEER (HOST:PORT) holds under KEY. It may be behind the others."""
    click.echo(_call(peer, do="get", key=key).get("value"))


@group.command("set")
@click.argument("peer")
@click.argument("key")
@click.argument("value")
def set_(peer: str, key: str, value: str) -> None:
    """Set KEY to VALUE. Exit 0: a majority holds it; 1: it may still come to hold, or not."""
    click.echo(f"held by a majority, leader {_call(peer, do='set', key=key, value=value).get('leader')}")
