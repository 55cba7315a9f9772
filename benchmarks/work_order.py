"""All image servers taken out and back under standing clients: by the order of work, and in list order at a fixed step.

    python -m benchmarks.work_order --balancers 20 --servers 40 --load 0.5 --most 6 [--faults] [--baseline 1.0]

``--load``: the part of the fleet's room that clients hold. ``--faults``: three servers die by themselves and a hall of
balancers is cut off for 5 s in the middle. ``--baseline``: instead, a server every so many seconds, whatever becomes.
"""

from __future__ import annotations

import argparse
import tempfile
import threading
import time
from datetime import timedelta
from pathlib import Path

from bramblestile.lab.faults import Fault, split
from bramblestile.lab.stage import SETTINGS, Stage
from bramblestile.lab.town import Town
from bramblestile.lab.worksite import Worksite, town_of
from bramblestile.work.planner import MAX_UTILISATION, WARM_THRESHOLD

COLD_S, AWAY_S = 4.0, 0.5
LOOKS_ON = 0.2  # seconds that the worksite looks at a machine that is out before it takes it down
S = timedelta(seconds=1)


def shortest(machines: int, missing: float) -> float:
    """Seconds that so many machines need when as many as ``missing`` may be missing at a time, cold ones in part, and
    each goes the moment it may: left within 2 s, away, warm again. No step takes time, no client needs room."""
    out, warm, step = 2.0 + AWAY_S + LOOKS_ON, COLD_S * (WARM_THRESHOLD - 0.2) / 0.8, 0.01
    starts: list[float] = []
    at = 0.0

    def lacks(start: float) -> float:
        since = at - start - out
        return 1.0 if since < 0 else 0.0 if since >= warm else 0.8 * (1 - since / COLD_S)

    while len(starts) < machines:
        if sum(map(lacks, starts)) + 1 <= missing + 1e-9:
            starts.append(at)
        else:
            at += step
    return at + out + warm


def release(town: Town, step: float) -> None:
    """As a list and a script do it: told that it drains, restarted a second later, back cold."""

    def one(name: str) -> None:
        host = town.hosts[name]
        host.health = "terminating"
        town.tell()
        time.sleep(1.0)
        host.health = "in_service"
        town.do(town.restart(name, AWAY_S))

    threads = []
    for name in town.hosts:
        threads.append(threading.Thread(target=one, args=(name,)))
        threads[-1].start()
        time.sleep(step)
    for thread in threads:
        thread.join()


def trouble(stage: Stage, work: Worksite) -> None:
    town = town_of(stage)
    work.wait(lambda: sum(s == "done" for s in work.stages.values()) >= len(town.hosts) // 3, 600)
    spare = [n for n in town.hosts if work.stages.get(n) == "waiting"][-3:]
    for name in spare:
        town.do(town.kill(name))
    hall = [name for n, name in enumerate(stage.names) if n % 2]
    stage.put("hall", Fault(split(hall), loss=1))
    time.sleep(5)
    stage.lift("hall")
    for name in spare:
        town.do(town.restart(name))


def main() -> None:
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
    parser.add_argument("--keep", action="store_true", help="show when each machine came to each stage")
    given = parser.parse_args()
    settings = {"rules": SETTINGS["rules"] | {"cold_us": int(COLD_S * 1e6)}}
    with (
        tempfile.TemporaryDirectory() as folder,
        Stage(
            Path(folder),
            given.balancers,
            fleet={},
            voters=3,
            servers=given.servers,
            settings=settings,
            slots=given.slots,
            cold_s=COLD_S,
        ) as stage,
    ):
        stage.start()
        stage.agree(within=60 * S)
        town, work = town_of(stage), Worksite(stage, given.most, AWAY_S)
        work.ready()
        clients = int(given.servers * given.slots * given.load)
        town.come(clients, 4.0)
        stage.wait(lambda: town.figures()["up"] == clients, 30 * S)
        time.sleep(3)
        before, began = town.figures(), time.monotonic()
        if given.baseline:
            release(town, given.baseline)
        else:
            work.begin(least_capacity=given.least)
            if given.faults:
                threading.Thread(target=trouble, args=(stage, work), daemon=True).start()
            work.ended(given.within)
        took = time.monotonic() - began
        stage.wait(lambda: town.figures()["up"] == clients, 30 * S)
        after = town.figures()
        work.stop()
    got = {key: after[key] - before[key] for key in after}
    name = f"fixed step {given.baseline} s" if given.baseline else f"order of work, {given.most} at once"
    print(
        f"{name}; {given.balancers} balancers, {given.servers} servers, {clients} clients, load {given.load}"
        f"{', with faults' if given.faults else ''}: {took:.1f} s; {got['moves'] / clients:.2f} moves a client, "
        f"{got['cuts']:.0f} cut, {got['refused']:.0f} refused, {got['failed']:.0f} failed; without a connection "
        f"{got['down_s']:.0f} s, {got['down_s'] / max(0.01, got['paused_s']):.3f} of their own pauses; "
        f"fallen over: {sum(host.fallen for host in town.hosts.values())}",
        flush=True,
    )
    missing = given.servers * min(1 - given.least, 1 - given.load / MAX_UTILISATION)
    least = shortest(given.servers, min(float(given.most), missing))
    print(f"  at most {missing:.1f} missing at a time; shortest with that {least:.1f} s: {took / least:.2f} times")
    if given.keep:
        print(
            "  stages, s after the start: "
            + "; ".join(
                f"{stage} {' '.join(f'{at - work.seen[0][0]:.1f}' for at, _, s in work.seen if s == stage)}"
                for stage in ("leaving", "out", "cold", "done")
            )
        )


if __name__ == "__main__":
    main()
