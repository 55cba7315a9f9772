"""Hosts restart cold under load over TLS: full handshakes a second and host, with the budget and without it.

Ten stand-in hosts, of which four restart together: all that stood there is cut and comes back, all their tickets are
void. The same load and seed play with the budget of the operators' file and with none, and in plain text beside it.
"""

from __future__ import annotations

import copy
import logging
import ssl
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

import click

from tests.authority import Authority
from tests.load import SETTINGS, StubHosts, run_load, running_daemon

COLD_US = 8_000_000


def settings() -> dict[str, Any]:
    made = copy.deepcopy(SETTINGS)
    made["rules"] = {"cold_from": 0.13, "cold_us": COLD_US, "fall_multiple": 4.0, "fall_us": 3_000_000}
    return made


def most_in_a_second(times: list[float]) -> int:
    """In any second, not only in whole ones."""
    times = sorted(times)
    return max((sum(1 for t in times[n:] if t < first + 1) for n, first in enumerate(times)), default=0)


def play(
    ca: Authority,
    tls: dict[str, Any] | None,
    count: int,
    at_once: int,
    restart: int,
    life: float,
    told: bool,
    tickets: bool,
) -> dict[str, Any]:
    def server(name: str) -> ssl.SSLContext:
        made = ca.issue(name).server()
        if not tickets:
            made.num_tickets = 0
        return made

    hosts = StubHosts(10, life=life, tls=None if tls is None else server)
    got: Counter[str] = Counter()
    table = None if tls is None else {"ca": str(ca.file)} | tls
    try:
        with (
            tempfile.TemporaryDirectory() as folder,
            running_daemon(Path(folder), hosts, tls=table, settings=settings()) as program,
        ):
            loads = threading.Thread(target=lambda: got.update(run_load(program.address, count, at_once, within=120)))
            loads.start()
            time.sleep(3)
            early = program.counters()
            time.sleep(5)
            before = program.counters()
            cold = hosts.names[:restart]
            for name in cold:
                hosts.on_loop(hosts.restart(name))
            restarted = time.monotonic()
            if told:
                assert program.reload(known={"seq": 2, "hosts": hosts.entries()})["text"] == "done"
            loads.join()
            took = time.monotonic() - restarted
            after = program.counters()
            program.stop()
    finally:
        hosts.stop()
    full = {
        name: [t for t, resumed in made if not resumed and t >= restarted] for name, made in hosts.handshakes.items()
    }
    return {
        "most": max(most_in_a_second(full[n]) for n in cold),
        "all": sum(map(len, full.values())),
        "cold": sum(len(full[n]) for n in cold),
        "got": got,
        "took": took,
        "first": [len([t for t in full[n] if t < restarted + 1]) for n in cold],
        "spared": after.get("tls_spared", 0) - before.get("tls_spared", 0),
        "waited": after.get("tls_waited", 0),
        "reuse": _reuse(before, early),
    }


def _reuse(counters: dict[str, int], early: dict[str, int]) -> float | None:
    """Between these two: the first connection with a host is a full handshake whatever is kept."""
    full, resumed = (counters.get(n, 0) - early.get(n, 0) for n in ("tls_full", "tls_resumed"))
    return resumed / (full + resumed) if full + resumed else None


@click.command()
@click.option("--requests", default=1600, show_default=True)
@click.option("--at-once", default=24, show_default=True)
@click.option("--told/--untold", default=True, show_default=True, help="Whether the list says that they are cold.")
@click.option("--tickets/--no-tickets", default=True, show_default=True, help="Whether the hosts give tickets.")
@click.option("--full-per-s", default=40.0, show_default=True, help="The budget of a warm host.")
@click.option("--life", default=0.4, show_default=True, help="Seconds that a connection stands.")
@click.option("--restart", default=4, show_default=True, help="Hosts, of ten.")
def main(requests: int, at_once: int, restart: int, life: float, told: bool, tickets: bool, full_per_s: float) -> None:
    """Restart hosts cold under load."""
    logging.disable()
    ca = Authority()
    none: dict[str, Any] = {"full_per_s": 1e6, "burst": 1e6}
    for name, tls in (("plain", None), ("no budget", none), ("budget", {"full_per_s": full_per_s})):
        seen = play(ca, tls, requests, at_once, restart, life, told, tickets)
        got = seen["got"]
        click.echo(
            f"{name:10} served {got['UP']}, refused {got['BUSY']}, failed {got['ERR']}, cut {got['cut']} "
            f"in {seen['took']:.1f} s after the restart"
        )
        if tls is not None:
            click.echo(
                f"           full handshakes after it: {seen['all']}, of them {seen['cold']} at the restarted; "
                f"in the first second {seen['first']}, most in any second at one of them {seen['most']}; spared "
                f"{seen['spared']}, waited {seen['waited']}; resumed in the 5 s before it {seen['reuse']:.1%}"
            )


if __name__ == "__main__":
    main()
