"""Measures the membership protocol between real processes: detection time, cost, and false positives.

    python -m benchmarks.membership --sizes 20,60,120 --kills 5 --soak 600

All datagrams pass through the lab's switch, which counts bytes and datagrams. CPU time is that of the whole idle
process, not of the membership alone; for comparison it is also measured in processes without a fleet table.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from datetime import timedelta
from pathlib import Path

from bramblestile.lab.faults import Fault, every_link
from bramblestile.lab.harness import FleetHarness

IDLE_S = 20.0  # duration of an idle measurement


def measure_load(harness: FleetHarness, duration_s: float) -> tuple[float, float, float]:
    """Return bytes, datagrams and CPU milliseconds per second and member."""
    running = [harness.processes[name] for name in harness.running()]
    before = (
        harness.datagram_proxy.forwarded_bytes,
        harness.datagram_proxy.forwarded,
        sum(p.cpu_time_s() for p in running),
        time.monotonic(),
    )
    time.sleep(duration_s)
    member_seconds = (time.monotonic() - before[3]) * len(running)
    return (
        (harness.datagram_proxy.forwarded_bytes - before[0]) / member_seconds,
        (harness.datagram_proxy.forwarded - before[1]) / member_seconds,
        (sum(p.cpu_time_s() for p in running) - before[2]) * 1000 / member_seconds,
    )


def kill_one(harness: FleetHarness, name: str) -> str:
    """Kill a process and describe when the others have detected it."""
    started_at = harness.event_log.now()
    harness.processes[name].kill()
    others = len(harness.running())
    harness.event_log.wait_until(
        lambda: len(harness.membership_events("dead", started_at, name)) >= others, timedelta(seconds=15)
    )
    delays = sorted(e["at"] - started_at for e in harness.membership_events("dead", started_at, name))
    false_positives = [e for e in harness.membership_events("dead", started_at) if e["member"] != name]
    percentile_99 = delays[max(0, -(-99 * len(delays) // 100) - 1)] if delays else float("nan")
    return (
        f"  {name} killed: detected by {len(delays)} of {others}, first {delays[0] if delays else 0:.2f} s, "
        f"99% {percentile_99:.2f} s, last {delays[-1] if delays else 0:.2f} s; false positives: {len(false_positives)}"
    )


def soak(harness: FleetHarness, duration_s: float, starved: int) -> str:
    """Run with packet loss and some members short of CPU; describe the false positives."""
    started_at = harness.event_log.now()
    harness.inject_fault("loss", Fault(every_link, loss=0.05), loss=0.05)
    for name in harness.running()[10 : 10 + starved]:
        harness.processes[name].throttle(0.1)
    time.sleep(duration_s)
    dead, refuted = harness.membership_events("dead", started_at), 0
    for name in harness.running():
        refuted += harness.fleet_view(name).get("counts", {}).get("refuted", 0)
    for program in harness.processes.values():
        program.unthrottle()
    harness.remove_fault("loss")
    datagrams = harness.datagram_proxy.dropped + harness.datagram_proxy.forwarded
    return (
        f"  {duration_s:.0f} s with 5% loss, {starved} members at a tenth of a core: declared dead {len(dead)} times, "
        f"suspicions refuted {refuted}; {harness.datagram_proxy.dropped} of {datagrams} datagrams lost"
    )


def main() -> None:
    """Run the benchmark and print a line for each measurement."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--sizes", default="20,60,120")
    parser.add_argument("--kills", type=int, default=5)
    parser.add_argument("--soak", type=float, default=0.0, help="seconds, at the largest size")
    parser.add_argument("--starved", type=int, default=4)
    options = parser.parse_args()
    sizes = [int(size) for size in options.sizes.split(",")]
    for size in sizes:
        with tempfile.TemporaryDirectory() as directory, FleetHarness(Path(directory), size, fleet={}) as harness:
            harness.start()
            join_s = harness.wait_for_agreement(timeout=timedelta(seconds=60))
            time.sleep(15)  # until the updates of the joins are no longer gossiped
            sent_bytes, datagrams, cpu_ms = measure_load(harness, IDLE_S)
            memory = max(program.resident_memory_kb() for program in harness.processes.values())
            print(
                f"{size} members: all agree {join_s:.1f} s after the last start; idle, per second and member: "
                f"{sent_bytes:.0f} bytes, {datagrams:.1f} datagrams, {cpu_ms:.2f} ms CPU; {memory} KB",
                flush=True,
            )
            for name in harness.names[5 : 5 + options.kills]:
                print(kill_one(harness, name), flush=True)
            if size == max(sizes) and options.soak:
                print(soak(harness, options.soak, options.starved), flush=True)
    with tempfile.TemporaryDirectory() as directory, FleetHarness(Path(directory), 20) as harness:
        harness.start()
        harness.wait(
            lambda: all(harness.call(name, "GET", "/v1/readyz")[0] == 200 for name in harness.names),
            timedelta(seconds=20),
        )
        _, _, cpu_ms = measure_load(harness, IDLE_S)
        memory = max(program.resident_memory_kb() for program in harness.processes.values())
        print(f"20 without a fleet table: {cpu_ms:.2f} ms CPU per second and process; {memory} KB")


if __name__ == "__main__":
    main()
