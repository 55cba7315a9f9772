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

from bramblestile.lab.faults import Fault, anywhere
from bramblestile.lab.stage import Stage

IDLE = 20.0  # seconds


def measured(stage: Stage, span: float) -> tuple[float, float, float]:
    """Bytes, datagrams and CPU milliseconds, a second and member."""
    running = [stage.programs[name] for name in stage.running()]
    before = stage.switch.bytes, stage.switch.passed, sum(p.cpu() for p in running), time.monotonic()
    time.sleep(span)
    took = (time.monotonic() - before[3]) * len(running)
    return (
        (stage.switch.bytes - before[0]) / took,
        (stage.switch.passed - before[1]) / took,
        (sum(p.cpu() for p in running) - before[2]) * 1000 / took,
    )


def killed(stage: Stage, name: str) -> str:
    began = stage.record.now()
    stage.programs[name].kill()
    others = len(stage.running())
    stage.record.wait(lambda: len(stage.told("dead", began, name)) >= others, timedelta(seconds=15))
    took = sorted(e["at"] - began for e in stage.told("dead", began, name))
    wrong = [e for e in stage.told("dead", began) if e["member"] != name]
    part = took[max(0, -(-99 * len(took) // 100) - 1)] if took else float("nan")
    return (
        f"  {name} killed: told by {len(took)} of {others}, first {took[0] if took else 0:.2f} s, "
        f"99% {part:.2f} s, last {took[-1] if took else 0:.2f} s; others told dead: {len(wrong)}"
    )


def soak(stage: Stage, span: float, starved: int) -> str:
    began = stage.record.now()
    stage.put("loss", Fault(anywhere, loss=0.05), loss=0.05)
    for name in stage.running()[10 : 10 + starved]:
        stage.programs[name].starve(0.1)
    time.sleep(span)
    dead, suspected = stage.told("dead", began), 0
    for name in stage.running():
        suspected += stage.fleet(name).get("counts", {}).get("refuted", 0)
    for program in stage.programs.values():
        program.feed()
    stage.lift("loss")
    all_ = stage.switch.lost + stage.switch.passed
    return (
        f"  {span:.0f} s with 5% loss, {starved} members at a tenth of a core: told dead {len(dead)} times, "
        f"suspicions contradicted {suspected}; {stage.switch.lost} of {all_} datagrams lost"
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
        with tempfile.TemporaryDirectory() as folder, Stage(Path(folder), size, fleet={}) as stage:
            stage.start()
            joined = stage.agree(within=timedelta(seconds=60))
            time.sleep(15)  # until the news of the joining has died down
            sent, count, cpu = measured(stage, IDLE)
            memory = max(program.memory() for program in stage.programs.values())
            print(
                f"{size} members: of one mind {joined:.1f} s after the last start; idle, a second and member: "
                f"{sent:.0f} bytes, {count:.1f} datagrams, {cpu:.2f} ms CPU; {memory} KB",
                flush=True,
            )
            for name in stage.names[5 : 5 + given.kills]:
                print(killed(stage, name), flush=True)
            if size == max(sizes) and given.soak:
                print(soak(stage, given.soak, given.starved), flush=True)
    with tempfile.TemporaryDirectory() as folder, Stage(Path(folder), 20) as stage:
        stage.start()
        stage.wait(
            lambda: all(stage.call(name, "GET", "/v1/readyz")[0] == 200 for name in stage.names), timedelta(seconds=20)
        )
        _, _, cpu = measured(stage, IDLE)
        memory = max(program.memory() for program in stage.programs.values())
        print(f"20 without a fleet table: {cpu:.2f} ms CPU a second each; {memory} KB")


if __name__ == "__main__":
    main()
