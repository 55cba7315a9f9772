"""``bramblestile fleet``: the members of the fleet and their states, as one balancer sees them."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import click

from bramblestile.cli.common import OperationError
from bramblestile.cli.ops import address_option, send_call

MAX_RESPONSE_BYTES = 1 << 22  # a member takes about 200 bytes


@click.group("fleet")
@address_option
def group() -> None:
    """Show the fleet as one of its members sees it.

    Exit 0: shown; 1: no answer, or the balancer belongs to no fleet; 2: wrong usage.
    """


def get_json(ctx: click.Context, command: str, path: str) -> Any:
    """Return the parsed JSON response of the management API to a GET request.

    Raises OperationError if there is no successful response or it is not JSON; ``command`` is named in the
    message.
    """
    body = send_call(ctx, command, "GET", path, max_bytes=MAX_RESPONSE_BYTES)
    try:
        return json.loads(body)
    except ValueError as error:
        raise OperationError(f"{command}: {error}") from None


@group.command()
@click.option("--json", "as_json", is_flag=True, help="Print the balancer's JSON response.")
@click.pass_context
def show(ctx: click.Context, as_json: bool) -> None:
    """Print each member's state, its duration, share of the fleet's requests, hall, version and address."""
    fleet = get_json(ctx, "fleet", "/v1/fleet")
    if as_json:
        click.echo(json.dumps(fleet, indent=1))
        return
    members = fleet["members"]
    total = sum(member.get("traffic") or 0.0 for member in members)
    for member in members:
        share = f"{(member.get('traffic') or 0.0) / total:6.1%}" if total else "     -"
        accusers = f"  suspected by {', '.join(member['by'])}" if member.get("by") else ""
        click.echo(
            f"{member['name']:20} {member['state']:8} {member['for_ms'] / 1000:8.1f} s  {share}  {member['hall']:12} "
            f"{member['version']:10} {member['at']}{accusers}"
        )
    states = Counter(member["state"] for member in members)
    click.echo(
        ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
        + f"; as seen by {fleet['me']}, whose local health score is {fleet['health']} of 8"
    )
    if fleet["muted_by"]:
        click.echo(f"muted: a process started later at {fleet['muted_by']} holds the name {fleet['me']}")
