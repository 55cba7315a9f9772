"""The membership between real processes: how soon a killed one is known, what it costs, whom it takes for dead wrongly.

    python -m benchmarks.membership --sizes 20,60,120 --kills 5 --soak 600

All datagrams go through the lab's switch. Bytes and datagrams are counted there, CPU by the system, so that the whole
idle process is in it, not the membership alone; a process without a fleet table stands beside it.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from datetime import timedelta
from pathlib import Path

from bramblestile.lab.faults import Fault, every_link
from bramblestile.lab.harness import FleetHarness

IDLE = 20.0  # seconds


def measured(harness: FleetHarness, span: float) -> tuple[float, float, float]:
    """Bytes, datagrams and CPU milliseconds, a second and member."""
    running = [harness.processes[name] for name in harness.running()]
    before = (
        harness.datagram_proxy.forwarded_bytes,
        harness.datagram_proxy.forwarded,
        sum(p.cpu_time_s() for p in running),
        time.monotonic(),
    )
    time.sleep(span)
    took = (time.monotonic() - before[3]) * len(running)
    return (
        (harness.datagram_proxy.forwarded_bytes - before[0]) / took,
        (harness.datagram_proxy.forwarded - before[1]) / took,
        (sum(p.cpu_time_s() for p in running) - before[2]) * 1000 / took,
    )


def killed(harness: FleetHarness, name: str) -> str:
    began = harness.event_log.now()
    harness.processes[name].kill()
    others = len(harness.running())
    harness.event_log.wait_until(
        lambda: len(harness.membership_events("dead", began, name)) >= others, timedelta(seconds=15)
    )
    took = sorted(e["at"] - began for e in harness.membership_events("dead", began, name))
    wrong = [e for e in harness.membership_events("dead", began) if e["member"] != name]
    part = took[max(0, -(-99 * len(took) // 100) - 1)] if took else float("nan")
    return (
        f"  {name} killed: told by {len(took)} of {others}, first {took[0] if took else 0:.2f} s, "
        f"99% {part:.2f} s, last {took[-1] if took else 0:.2f} s; others told dead: {len(wrong)}"
    )


def soak(harness: FleetHarness, span: float, starved: int) -> str:
    began = harness.event_log.now()
    harness.inject_fault("loss", Fault(every_link, loss=0.05), loss=0.05)
    for name in harness.running()[10 : 10 + starved]:
        harness.processes[name].throttle(0.1)
    time.sleep(span)
    dead, suspected = harness.membership_events("dead", began), 0
    for name in harness.running():
        suspected += harness.fleet_view(name).get("counts", {}).get("refuted", 0)
    for program in harness.processes.values():
        program.unthrottle()
    harness.remove_fault("loss")
    all_ = harness.datagram_proxy.dropped + harness.datagram_proxy.forwarded
    return (
        f"  {span:.0f} s with 5% loss, {starved} members at a tenth of a core: told dead {len(dead)} times, "
        f"suspicions contradicted {suspected}; {harness.datagram_proxy.dropped} of {all_} datagrams lost"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--sizes", default="20,60,120")
    parser.add_argument("--kills", type=int, default=5)
    parser.add_argument("--soak", type=float, default=0.0, help="seconds, at the largest size")
    parser.add_argument("--starved", type=int, default=4)
    given = parser.parse_args()
    sizes = [int(size) for size in given.sizes.split(",")]
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder, FleetHarness(Path(folder), size, fleet={}) as harness:
            harness.start()
            joined = harness.wait_for_agreement(timeout=timedelta(seconds=60))
            time.sleep(15)  # until the news of the joining has died down
            sent, count, cpu = measured(harness, IDLE)
            memory = max(program.resident_memory_kb() for program in harness.processes.values())
            print(
                f"{size} members: of one mind {joined:.1f} s after the last start; idle, a second and member: "
                f"{sent:.0f} bytes, {count:.1f} datagrams, {cpu:.2f} ms CPU; {memory} KB",
                flush=True,
            )
            for name in harness.names[5 : 5 + given.kills]:
                print(killed(harness, name), flush=True)
            if size == max(sizes) and given.soak:
                print(soak(harness, given.soak, given.starved), flush=True)
    with tempfile.TemporaryDirectory() as folder, FleetHarness(Path(folder), 20) as harness:
        harness.start()
        harness.wait(
            lambda: all(harness.call(name, "GET", "/v1/readyz")[0] == 200 for name in harness.names),
            timedelta(seconds=20),
        )
        _, _, cpu = measured(harness, IDLE)
        memory = max(program.resident_memory_kb() for program in harness.processes.values())
        print(f"20 without a fleet table: {cpu:.2f} ms CPU a second each; {memory} KB")


if __name__ == "__main__":
    main()
