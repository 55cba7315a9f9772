"""Take all image servers out of service and back while clients are connected, by a plan or at a fixed interval.

    python -m benchmarks.work_order --balancers 20 --servers 40 --load 0.5 --most 6 [--faults] [--baseline 1.0]

``--load``: the share of the fleet's capacity that clients use. ``--faults``: three servers fail and a hall of balancers
is cut off for 5 s in the middle. ``--baseline``: instead of a plan, one server every so many seconds in the order of
the list, whatever its effect.
"""

from __future__ import annotations

import argparse
import tempfile
import threading
import time
from datetime import timedelta
from pathlib import Path

from bramblestile.lab.faults import Fault, partition
from bramblestile.lab.harness import DEFAULT_SETTINGS, FleetHarness
from bramblestile.lab.maintenance_driver import MaintenanceDriver, stand_ins_of
from bramblestile.lab.stand_ins import StandIns
from bramblestile.work.planner import MAX_UTILISATION, WARM_THRESHOLD

COLD_S, DOWNTIME_S = 4.0, 0.5
OBSERVATION_S = 0.2  # how long the driver observes a machine that is out before it takes it down
S = timedelta(seconds=1)


def shortest_duration_s(machines: int, max_missing: float) -> float:
    """Return a lower bound on the duration of a plan, in seconds.

    As many as ``max_missing`` machines may be missing at a time, where a cold machine counts in part. Each leaves as
    soon as it may, is drained within 2 s, down, and warm again; the steps take no time and the clients need no room.
    """
    out, warm, step = 2.0 + DOWNTIME_S + OBSERVATION_S, COLD_S * (WARM_THRESHOLD - 0.2) / 0.8, 0.01
    starts: list[float] = []
    now = 0.0

    def missing_share(start: float) -> float:
        since = now - start - out
        return 1.0 if since < 0 else 0.0 if since >= warm else 0.8 * (1 - since / COLD_S)

    while len(starts) < machines:
        if sum(map(missing_share, starts)) + 1 <= max_missing + 1e-9:
            starts.append(now)
        else:
            now += step
    return now + out + warm


def restart_at_interval(stand_ins: StandIns, interval_s: float) -> None:
    """Restart the servers as a script would: list each as draining, restart it a second later, and go on."""

    def restart_one(name: str) -> None:
        server = stand_ins.servers[name]
        server.health = "terminating"
        stand_ins.publish_list()
        time.sleep(1.0)
        server.health = "in_service"
        stand_ins.run(stand_ins.restart_server(name, DOWNTIME_S))

    threads = []
    for name in stand_ins.servers:
        threads.append(threading.Thread(target=restart_one, args=(name,)))
        threads[-1].start()
        time.sleep(interval_s)
    for thread in threads:
        thread.join()


def inject_faults(harness: FleetHarness, driver: MaintenanceDriver) -> None:
    """When a third of the servers are done, kill three that wait and cut off a hall of balancers for 5 s."""
    stand_ins = stand_ins_of(harness)
    driver.wait(lambda: sum(s == "done" for s in driver.stages.values()) >= len(stand_ins.servers) // 3, 600)
    killed = [n for n in stand_ins.servers if driver.stages.get(n) == "waiting"][-3:]
    for name in killed:
        stand_ins.run(stand_ins.kill_server(name))
    hall = [name for n, name in enumerate(harness.names) if n % 2]
    harness.inject_fault("hall", Fault(partition(hall), loss=1))
    time.sleep(5)
    harness.remove_fault("hall")
    for name in killed:
        stand_ins.run(stand_ins.restart_server(name))


def main() -> None:
    """Run the plan or the baseline and print the result."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--balancers", type=int, default=20)
    parser.add_argument("--servers", type=int, default=40)
    parser.add_argument("--slots", type=int, default=12, help="connections that fill a server")
    parser.add_argument("--load", type=float, default=0.5)
    parser.add_argument("--most", type=int, default=6)
    parser.add_argument("--least", type=float, default=0.75)
    parser.add_argument("--within", type=float, default=300)
    parser.add_argument("--faults", action="store_true")
    parser.add_argument("--baseline", type=float, default=0.0)
    parser.add_argument("--keep", action="store_true", help="show when each machine reached each stage")
    options = parser.parse_args()
    settings = {"rules": DEFAULT_SETTINGS["rules"] | {"cold_us": int(COLD_S * 1e6)}}
    with (
        tempfile.TemporaryDirectory() as folder,
        FleetHarness(
            Path(folder),
            options.balancers,
            fleet={},
            voters=3,
            servers=options.servers,
            settings=settings,
            slots=options.slots,
            cold_s=COLD_S,
        ) as harness,
    ):
        harness.start()
        harness.wait_for_agreement(timeout=60 * S)
        stand_ins, driver = stand_ins_of(harness), MaintenanceDriver(harness, options.most, DOWNTIME_S)
        driver.wait_for_roster()
        clients = int(options.servers * options.slots * options.load)
        stand_ins.add_clients(clients, 4.0)
        harness.wait(lambda: stand_ins.client_totals()["up"] == clients, 30 * S)
        time.sleep(3)
        before, began = stand_ins.client_totals(), time.monotonic()
        if options.baseline:
            restart_at_interval(stand_ins, options.baseline)
        else:
            driver.start_plan(least_capacity=options.least)
            if options.faults:
                threading.Thread(target=inject_faults, args=(harness, driver), daemon=True).start()
            driver.final_counts(options.within)
        duration_s = time.monotonic() - began
        harness.wait(lambda: stand_ins.client_totals()["up"] == clients, 30 * S)
        after = stand_ins.client_totals()
        driver.stop()
    change = {key: after[key] - before[key] for key in after}
    name = f"fixed interval {options.baseline} s" if options.baseline else f"maintenance plan, {options.most} at once"
    print(
        f"{name}; {options.balancers} balancers, {options.servers} servers, {clients} clients, load {options.load}"
        f"{', with faults' if options.faults else ''}: {duration_s:.1f} s; "
        f"{change['moves'] / clients:.2f} moves a client, "
        f"{change['cuts']:.0f} cut, {change['refused']:.0f} refused, {change['failed']:.0f} failed; "
        f"without a connection {change['down_s']:.0f} s, "
        f"{change['down_s'] / max(0.01, change['paused_s']):.3f} of their own pauses; "
        f"fallen over: {sum(host.crashed for host in stand_ins.servers.values())}",
        flush=True,
    )
    max_missing = options.servers * min(1 - options.least, 1 - options.load / MAX_UTILISATION)
    shortest_s = shortest_duration_s(options.servers, min(float(options.most), max_missing))
    print(
        f"  at most {max_missing:.1f} missing at a time; shortest with that {shortest_s:.1f} s: "
        f"{duration_s / shortest_s:.2f} times"
    )
    if options.keep:
        print(
            "  stages, s after the start: "
            + "; ".join(
                f"{stage} {' '.join(f'{t - driver.reached[0][0]:.1f}' for t, _, s in driver.reached if s == stage)}"
                for stage in ("leaving", "out", "cold", "done")
            )
        )


if __name__ == "__main__":
    main()
