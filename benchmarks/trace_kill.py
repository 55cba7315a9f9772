"""Kills a tracing program under load at random moments and looks for what is missing from its trace.

Every record older than a flush span must be there. A request's steps must be there in order, with none missing before
one that is there.
"""

from __future__ import annotations

import tempfile
from pathlib import Path
from random import Random

import click

from tests.load import Hosts
from tests.test_trace_daemon import kill_at, missing_before


@click.command()
@click.option("--times", default=50, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(times: int, seed: int) -> None:
    """Kill -9 and count what is lost."""
    r, hosts, records, wrong = Random(seed), Hosts(3), 0, 0
    latest = 0
    for _ in range(times):
        with tempfile.TemporaryDirectory() as folder:
            rows, at = kill_at(Path(folder), hosts, r.uniform(0.3, 1.5))
            missing = missing_before(rows, at)
            records += len(rows)
            wrong += len(missing)
            latest = max(latest, at - max(row.at for row in rows))
            for line in missing[:3]:
                click.echo(line)
    click.echo(
        f"{times} kills, {records} records read back, {wrong} missing; at most {latest / 1000:.0f} ms from the "
        "last record to the kill (flush span 50 ms)"
    )
    hosts.stop()


if __name__ == "__main__":
    main()
