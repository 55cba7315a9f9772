"""``bramblestile fleet``: who lives, as one balancer sees it."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import click

from bramblestile.cli.common import Failed
from bramblestile.cli.ops import at_option, call

LARGEST = 1 << 22  # bytes of an answer; a member takes some 200


@click.group("fleet")
@at_option
def group() -> None:
    """Show the fleet as one of its members sees it.

    Exit 0: shown; 1: no answer, or this balancer is in no fleet; 2: wrong usage.
    """


def asked(ctx: click.Context, part: str, path: str) -> Any:
    """What the management address answers to a GET, read as JSON."""
    said = call(ctx, part, "GET", path, most=LARGEST)
    try:
        return json.loads(said)
    except ValueError as error:
        raise Failed(f"{part}: {error}") from None


@group.command()
@click.option("--json", "as_json", is_flag=True, help="As the balancer tells it.")
@click.pass_context
def show(ctx: click.Context, as_json: bool) -> None:
    """Print all members: state, for how long, hall, version, share of the fleet's requests."""
    got = asked(ctx, "fleet", "/v1/fleet")
    if as_json:
        click.echo(json.dumps(got, indent=1))
        return
    rows = got["members"]
    total = sum(row.get("traffic") or 0.0 for row in rows)
    for row in rows:
        share = f"{(row.get('traffic') or 0.0) / total:6.1%}" if total else "     -"
        by = f"  doubted by {', '.join(row['by'])}" if row.get("by") else ""
        click.echo(
            f"{row['name']:20} {row['state']:8} {row['for_ms'] / 1000:8.1f} s  {share}  {row['hall']:12} "
            f"{row['version']:10} {row['at']}{by}"
        )
    states = Counter(row["state"] for row in rows)
    click.echo(
        ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
        + f"; seen by {got['me']}, its own health {got['health']} of 8"
    )
    if got["muted_by"]:
        click.echo(f"silent: a later start at {got['muted_by']} holds the name {got['me']}")
