"""Restart hosts cold under TLS load; count full handshakes per second and host, with the handshake budget and without.

Of ten stand-in hosts four restart at once: all their connections are cut and come back, and their session tickets
become invalid. The same load, with the same seed, runs with the budget, without it, and in plain text.
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
HOST_COUNT = 10
WARM_UP_S, BASELINE_S = 3, 5  # of load, before the restart


def settings() -> dict[str, Any]:
    """Return the settings of the balancer, with rules for cold hosts."""
    values = copy.deepcopy(SETTINGS)
    values["rules"] = {"cold_from": 0.13, "cold_us": COLD_US, "fall_multiple": 4.0, "fall_us": 3_000_000}
    return values


def max_in_any_second(times: list[float]) -> int:
    """Return the largest number of times within any second, wherever it begins."""
    times = sorted(times)
    return max((sum(1 for t in times[n:] if t < first + 1) for n, first in enumerate(times)), default=0)


def measure(
    ca: Authority,
    tls: dict[str, Any] | None,
    count: int,
    at_once: int,
    restart: int,
    connection_duration_s: float,
    list_shows_restart: bool,
    tickets: bool,
) -> dict[str, Any]:
    """Run the load once, restart the first ``restart`` hosts during it, and return the figures of the run.

    ``tls`` is the balancer's TLS table, None for plain text; ``count`` requests run, ``at_once`` of them at a time.
    ``list_shows_restart`` is whether the balancer learns of the restart by its list, and ``tickets`` whether the hosts
    issue session tickets.
    """

    def server(name: str) -> ssl.SSLContext:
        context = ca.issue(name).server_context()
        if not tickets:
            context.num_tickets = 0
        return context

    hosts = StubHosts(HOST_COUNT, lifetime_s=connection_duration_s, tls=None if tls is None else server)
    results: Counter[str] = Counter()
    tls_config = None if tls is None else {"ca": str(ca.ca_file)} | tls
    try:
        with (
            tempfile.TemporaryDirectory() as folder,
            running_daemon(Path(folder), hosts, tls=tls_config, settings=settings()) as daemon,
        ):
            load_thread = threading.Thread(
                target=lambda: results.update(run_load(daemon.address, count, at_once, timeout_s=120))
            )
            load_thread.start()
            time.sleep(WARM_UP_S)
            after_warm_up = daemon.counters()
            time.sleep(BASELINE_S)
            before_restart = daemon.counters()
            restarted_hosts = hosts.names[:restart]
            for name in restarted_hosts:
                hosts.run_on_loop(hosts.restart(name))
            restarted_at = time.monotonic()
            if list_shows_restart:
                assert daemon.reload(known={"seq": 2, "hosts": hosts.entries()})["text"] == "done"
            load_thread.join()
            duration_s = time.monotonic() - restarted_at
            at_end = daemon.counters()
            daemon.stop()
    finally:
        hosts.stop()
    full_handshakes = {
        name: [t for t, resumed in handshakes if not resumed and t >= restarted_at]
        for name, handshakes in hosts.handshakes.items()
    }
    return {
        "max_per_second": max(max_in_any_second(full_handshakes[n]) for n in restarted_hosts),
        "full": sum(map(len, full_handshakes.values())),
        "full_at_restarted": sum(len(full_handshakes[n]) for n in restarted_hosts),
        "results": results,
        "duration_s": duration_s,
        "in_first_second": [len([t for t in full_handshakes[n] if t < restarted_at + 1]) for n in restarted_hosts],
        "spared": at_end.get("tls_spared", 0) - before_restart.get("tls_spared", 0),
        "waited": at_end.get("tls_waited", 0),
        "resumption_rate": _resumption_rate(before_restart, after_warm_up),
    }


def _resumption_rate(counters: dict[str, int], earlier: dict[str, int]) -> float | None:
    """Return the share of resumed handshakes between two readings of the counters; None without handshakes.

    The earlier reading excludes the first connection to each host, which is always a full handshake.
    """
    full, resumed = (counters.get(n, 0) - earlier.get(n, 0) for n in ("tls_full", "tls_resumed"))
    return resumed / (full + resumed) if full + resumed else None


@click.command()
@click.option("--requests", default=1600, show_default=True)
@click.option("--at-once", default=24, show_default=True)
@click.option("--told/--untold", default=True, show_default=True, help="Whether the list shows the restart.")
@click.option(
    "--tickets/--no-tickets", default=True, show_default=True, help="Whether the hosts issue session tickets."
)
@click.option("--full-per-s", default=40.0, show_default=True, help="Handshake budget of a warm host.")
@click.option("--life", default=0.4, show_default=True, help="Duration of a connection in seconds.")
@click.option("--restart", default=4, show_default=True, help="Number of hosts to restart, of ten.")
def main(requests: int, at_once: int, restart: int, life: float, told: bool, tickets: bool, full_per_s: float) -> None:
    """Restart hosts cold under load."""
    logging.disable()  # the certificates expire within days, which would be logged as warnings
    ca = Authority()
    no_budget: dict[str, Any] = {"full_per_s": 1e6, "burst": 1e6}
    for name, tls in (("plain", None), ("no budget", no_budget), ("budget", {"full_per_s": full_per_s})):
        figures = measure(ca, tls, requests, at_once, restart, life, told, tickets)
        results = figures["results"]
        click.echo(
            f"{name:10} served {results['UP']}, refused {results['BUSY']}, failed {results['ERR']}, "
            f"cut {results['cut']} in {figures['duration_s']:.1f} s after the restart"
        )
        if tls is not None:
            click.echo(
                f"           full handshakes after it: {figures['full']}, {figures['full_at_restarted']} of them with "
                f"the restarted hosts; in the first second {figures['in_first_second']}, at most in any second with "
                f"one of them {figures['max_per_second']}; skipped {figures['spared']}, waited {figures['waited']}; "
                f"resumed in the {BASELINE_S} s before it {figures['resumption_rate']:.1%}"
            )


if __name__ == "__main__":
    main()
