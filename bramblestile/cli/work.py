"""``bramblestile work``: machines out for work, in an order that the balancers settle among themselves."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from bramblestile.cli.common import FILE, OperationError
from bramblestile.cli.fleet import MAX_RESPONSE_BYTES, get_json
from bramblestile.cli.ops import address_option, send_call


@click.group("work")
@address_option
def group() -> None:
    """Take machines out for work one after the other. Ask any balancer: it passes the call on to the one that leads.

    Exit 0: it said yes; 1: no, with its reason, or nothing; 2: wrong usage.
    """


def _put(ctx: click.Context, path: str, body: bytes = b"") -> str:
    return send_call(ctx, "work", "PUT", "/v1/work/" + path, body, MAX_RESPONSE_BYTES)


@group.command()
@click.argument("file", type=FILE)
@click.pass_context
def plan(ctx: click.Context, file: Path) -> None:
    """Show in which order the machines of FILE would go, or why not. Changes nothing."""
    got = json.loads(_put(ctx, "plan", _read(file)))
    for number, name in enumerate(got["order"], 1):
        last = "  (while every balancer is heard)" if name in got["refuge"] else ""
        click.echo(f"{number:4} {name:20} {got['hall'][name]}{last}")
    if got["busy"]:
        click.echo(f"not to be started now: the plan {got['busy']} is on")


@group.command()
@click.argument("file", type=FILE)
@click.pass_context
def start(ctx: click.Context, file: Path) -> None:
    """Begin to take out the machines of FILE."""
    click.echo(_put(ctx, "start", _read(file)))


def _read(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        raise OperationError(f"{file}: {error.strerror}") from None


@group.command()
@click.option("--json", "as_json", is_flag=True, help="As the balancer tells it.")
@click.pass_context
def show(ctx: click.Context, as_json: bool) -> None:
    """Show how far the plan has come, and what it waits for."""
    got = get_json(ctx, "work", "/v1/work")
    if as_json:
        click.echo(json.dumps(got, indent=1))
        return
    click.echo(f"{got['plan'] or 'no plan'}: {got['status']}; {got['reason']}".rstrip("; "))
    for machine in got["machines"]:
        click.echo(_row(machine))
    if got["why_none"] and got["status"] == "running":
        click.echo(f"none leaves now: {got['why_none']}")
    click.echo(f"{got['leader']} leads; {len(got['roster'])} balancers take part")


def _row(machine: dict[str, Any]) -> str:
    more = machine["why"]
    if machine["standing"]:
        more += f" {machine['standing']} connections stand"
    if machine["waits_for"]:
        more += "; waits for " + ", ".join(f"{name}: {why}" for name, why in list(machine["waits_for"].items())[:5])
    return f"  {machine['name']:20} {machine['stage']:8} {more.strip('; ')}".rstrip()


@group.command()
@click.pass_context
def history(ctx: click.Context) -> None:
    """Show the plans that have ended."""
    for one in get_json(ctx, "work", "/v1/work/history"):
        click.echo(
            f"{one['id']}: {one['done']} of {one['machines']} done, {one['dropped']} dropped"
            f"{', aborted' if one['aborted'] else ''}; {one['reason']}"
        )


@group.command()
@click.pass_context
def pause(ctx: click.Context) -> None:
    """Nothing new leaves; what is on its way goes on."""
    click.echo(_put(ctx, "pause"))


@group.command()
@click.pass_context
def resume(ctx: click.Context) -> None:
    """The plan goes on."""
    click.echo(_put(ctx, "resume"))


@group.command()
@click.pass_context
def abort(ctx: click.Context) -> None:
    """Nothing leaves any more, ever; what is out comes back."""
    click.echo(_put(ctx, "abort"))


@group.command()
@click.argument("machine")
@click.pass_context
def done(ctx: click.Context, machine: str) -> None:
    """The work on MACHINE, which is out or held, is done: it may come back."""
    click.echo(_put(ctx, "done/" + quote(machine, safe="")))


@group.command()
@click.argument("machine")
@click.pass_context
def drop(ctx: click.Context, machine: str) -> None:
    """MACHINE, which is held, is no longer the plan's concern; balancers may send to it as it is listed."""
    click.echo(_put(ctx, "drop/" + quote(machine, safe="")))


@group.command()
@click.argument("balancer")
@click.pass_context
def forget(ctx: click.Context, balancer: str) -> None:
    """BALANCER has ended for good, on your word: nothing waits for it any more."""
    click.echo(_put(ctx, "forget/" + quote(balancer, safe="")))
