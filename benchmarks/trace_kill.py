"""Kill a tracing program under load at random moments and look for records missing from its trace.

Every record older than a flush interval must be there, and so must every step of a request before one that is there.
"""

from __future__ import annotations

import tempfile
from pathlib import Path
from random import Random

import click

from tests.load import StubHosts
from tests.test_trace_daemon import find_missing, run_until_killed


@click.command()
@click.option("--times", default=50, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(times: int, seed: int) -> None:
    """Kill -9 repeatedly and count the missing records."""
    rng, hosts, records, missing_count = Random(seed), StubHosts(3), 0, 0
    latest = 0
    for _ in range(times):
        with tempfile.TemporaryDirectory() as folder:
            found, killed_at = run_until_killed(Path(folder), hosts, rng.uniform(0.3, 1.5))
            missing = find_missing(found, killed_at)
            records += len(found)
            missing_count += len(missing)
            latest = max(latest, killed_at - max(record.at for record in found))
            for line in missing[:3]:
                click.echo(line)
    click.echo(
        f"{times} kills, {records} records read back, {missing_count} missing; at most {latest / 1000:.0f} ms from the "
        "last record to the kill (flush interval 50 ms)"
    )
    hosts.stop()


if __name__ == "__main__":
    main()
