"""``bramblestile work``: takes machines out of service for maintenance, in an order that the balancers agree on."""

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
    """Take machines out of service for maintenance, one after the other.

    Any balancer can be addressed; it forwards the call to the leader. Exit code 0: success; 1: the call was refused or
    not answered; 2: wrong usage.
    """


def _put(ctx: click.Context, path: str, body: bytes = b"") -> str:
    return send_call(ctx, "work", "PUT", "/v1/work/" + path, body, MAX_RESPONSE_BYTES)


@group.command()
@click.argument("file", type=FILE)
@click.pass_context
def plan(ctx: click.Context, file: Path) -> None:
    """Show the order in which the machines of FILE would leave service, or why they cannot. Changes nothing."""
    proposal = json.loads(_put(ctx, "plan", _read(file)))
    for number, name in enumerate(proposal["order"], 1):
        # The refuge: the last machines, which leave only while the leader hears from every balancer. A balancer that
        # is cut off may send to them.
        note = "  (only while every balancer is heard)" if name in proposal["refuge"] else ""
        click.echo(f"{number:4} {name:20} {proposal['hall'][name]}{note}")
    if proposal["busy"]:
        click.echo(f"cannot be started now: the plan {proposal['busy']} is active")


@group.command()
@click.argument("file", type=FILE)
@click.pass_context
def start(ctx: click.Context, file: Path) -> None:
    """Start the plan in FILE."""
    click.echo(_put(ctx, "start", _read(file)))


def _read(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        raise OperationError(f"{file}: {error.strerror}") from None


@group.command()
@click.option("--json", "as_json", is_flag=True, help="Print the balancer's JSON response.")
@click.pass_context
def show(ctx: click.Context, as_json: bool) -> None:
    """Show the progress of the plan and what it waits for."""
    progress = get_json(ctx, "work", "/v1/work")
    if as_json:
        click.echo(json.dumps(progress, indent=1))
        return
    click.echo(f"{progress['plan'] or 'no plan'}: {progress['status']}; {progress['reason']}".rstrip("; "))
    for machine in progress["machines"]:
        click.echo(_format_machine(machine))
    if progress["why_none"] and progress["status"] == "running":
        click.echo(f"no machine leaves now: {progress['why_none']}")
    click.echo(f"leader {progress['leader']}; {len(progress['roster'])} balancers take part")


def _format_machine(machine: dict[str, Any]) -> str:
    details = machine["why"]
    if machine["standing"]:
        details += f" {machine['standing']} connections left"
    if machine["waits_for"]:
        details += "; waits for " + ", ".join(
            f"{name}: {reason}" for name, reason in list(machine["waits_for"].items())[:5]
        )
    return f"  {machine['name']:20} {machine['stage']:8} {details.strip('; ')}".rstrip()


@group.command()
@click.pass_context
def history(ctx: click.Context) -> None:
    """Show the plans that have ended."""
    for plan in get_json(ctx, "work", "/v1/work/history"):
        click.echo(
            f"{plan['id']}: {plan['done']} of {plan['machines']} done, {plan['dropped']} dropped"
            f"{', aborted' if plan['aborted'] else ''}; {plan['reason']}"
        )


@group.command()
@click.pass_context
def pause(ctx: click.Context) -> None:
    """Pause the plan: no further machine leaves; machines on their way out or back continue."""
    click.echo(_put(ctx, "pause"))


@group.command()
@click.pass_context
def resume(ctx: click.Context) -> None:
    """Resume a paused plan."""
    click.echo(_put(ctx, "resume"))


@group.command()
@click.pass_context
def abort(ctx: click.Context) -> None:
    """Abort the plan for good: no further machine leaves, and machines that are out come back."""
    click.echo(_put(ctx, "abort"))


@group.command()
@click.argument("machine")
@click.pass_context
def done(ctx: click.Context, machine: str) -> None:
    """Report that the work on MACHINE, which is out or held, is done, so that it may come back."""
    click.echo(_put(ctx, "done/" + quote(machine, safe="")))


@group.command()
@click.argument("machine")
@click.pass_context
def drop(ctx: click.Context, machine: str) -> None:
    """Drop MACHINE, which is held, from the plan; balancers then use it according to the host list."""
    click.echo(_put(ctx, "drop/" + quote(machine, safe="")))


@group.command()
@click.argument("balancer")
@click.pass_context
def forget(ctx: click.Context, balancer: str) -> None:
    """Confirm that BALANCER has ended for good, so that nothing waits for it any more."""
    click.echo(_put(ctx, "forget/" + quote(balancer, safe="")))
