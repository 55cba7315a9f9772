"""What tracing costs a running balancer: CPU and memory with and without, pair by pair in one run.

CPU: one program, whose tracing SIGHUP switches on and off; each pair is a round with and a round without, in an order
that changes, and what the program used is read from its CPU clock. Memory: fresh programs, one of each kind a pair.
Told: the median of the pairs with its quartiles. Aims: CPU under +3% a request, memory under +8 MB.
"""

from __future__ import annotations

import os
import tempfile
import time
from datetime import timedelta
from pathlib import Path
from statistics import median, quantiles
from typing import Any

import click

from bramblestile.clock import now
from bramblestile.memory.cluster import Cluster, UpstreamHost
from bramblestile.memory.counters import Counters
from bramblestile.memory.decisions import Decisions
from bramblestile.trace.recorder import Recorder, RecorderConfig
from bramblestile.tracing import Tracer, Tracing
from tests.load import SETTINGS, Hosts, Program, load, running
from vanegw import interface as api
from vanegw import wire as settings_form


def used(pid: int) -> tuple[float, int]:
    """Seconds of CPU so far, of all its threads, in nanoseconds' steps; resident kilobytes now."""
    status = Path(f"/proc/{pid}/status").read_text()
    return time.clock_gettime(~pid << 3 | 2), int(status.partition("VmRSS:")[2].split()[0])


def cpu(program: Program, requests: int, at_once: int, seed: int) -> float:
    """Microseconds of CPU a request."""
    before, _ = used(program.process.pid)
    got = load(program.address, requests, at_once, seed, within=300)
    after, _ = used(program.process.pid)
    assert got["UP"] > 0.9 * requests, got
    return (after - before) / requests * 1e6


def memory(hosts: Hosts, requests: int, at_once: int, plan: dict[str, Any] | None) -> float:
    """Resident megabytes after a load."""
    with tempfile.TemporaryDirectory() as folder, running(Path(folder), hosts, trace=plan) as program:
        load(program.address, requests, at_once, within=300)
        return used(program.process.pid)[1] / 1024


def parts(hosts: int, rounds: int, batch: int) -> tuple[float, float]:
    """Microseconds of CPU a request for all that tracing touches, without and with it, in one thread: the decisions,
    the seam, and the recorder with its writing. Here nothing of the network's noise is in it."""
    settings = settings_form.parse_settings(SETTINGS)[0]
    with tempfile.TemporaryDirectory() as folder:
        tracing, counters = Tracing(), Counters()
        recorder = Recorder(RecorderConfig(Path(folder), "n1", "-"), counters)
        decisions = Decisions(settings, 1, Cluster(), counters, tracing, "lines")
        asked: list[str] = []
        decisions.on_probe = asked.append
        decisions.list(api.ListMode.COMPLETE, [UpstreamHost(f"h{n}", ("127.0.0.1", 1 + n)) for n in range(hosts)])
        took: dict[bool, list[float]] = {True: [], False: []}
        number = 0
        for turn in range(rounds * 2):
            traced = turn % 2 == turn // 2 % 2
            tracing.to = recorder if traced else Tracer()
            began = time.thread_time()
            for _ in range(batch):
                number += 1
                _one(decisions, tracing.to, asked, f"{number:016x}")
            if traced:
                recorder.flush()
            took[traced].append((time.thread_time() - began) / batch * 1e6)
    return median(took[False]), median(took[True])


def _one(decisions: Decisions, tracer: Tracer, asked: list[str], name: str) -> None:
    """What ``life.live`` tells of a request that is served."""
    request = api.Request(name, "feed", 1_485_000, "vestland-museum", 77, 5)
    visit = decisions.enter(name, now() + timedelta(seconds=1))
    assert visit is not None
    tracer.request(now(), "lines", request, None)
    decisions.tell(request)
    while asked:
        decisions.tell(api.ProbeResult(asked.pop(), api.Status.SERVED, 900, api.Report(load=1e-4, latency_ms=2.0)))
    choice = visit.next()
    assert isinstance(choice, api.Attempt)
    at = now()
    tracer.attempt(at, name, 0, choice.backend, "up", 900)
    tracer.answer(at, request, "served", 1, timedelta(milliseconds=2), choice.backend)
    tracer.stand(at, name, choice.backend, False)
    decisions.tell(api.Opened(name, 0, choice.backend, 900))
    tracer.ended(at, name, choice.backend, "served", timedelta(seconds=2), False)
    decisions.tell(api.Outcome(name, 0, choice.backend, api.Status.SERVED, 900, finished=True))
    decisions.release(visit)


@click.command()
@click.option("--pairs", default=24, show_default=True, help="Of rounds, for the CPU.")
@click.option("--requests", default=500, show_default=True, help="In each round.")
@click.option("--at-once", default=8, show_default=True)
@click.option("--programs", default=3, show_default=True, help="Pairs of them, for the memory.")
@click.option("--noise", is_flag=True, help="Trace in neither round: what the method itself scatters.")
def main(pairs: int, requests: int, at_once: int, programs: int, noise: bool) -> None:
    """Measure the cost of tracing, pair by pair."""
    hosts = Hosts(8)
    with tempfile.TemporaryDirectory() as folder:
        plan = {"directory": folder, "flush_ms": 1000}
        ratios, plain = [], []
        # One core, as the platform gives it, and none of the load's: what moves between cores is not tracing's.
        cores = sorted(os.sched_getaffinity(0))
        os.sched_setaffinity(0, cores[-1:])
        with running(Path(folder), hosts) as program:
            os.sched_setaffinity(0, cores[:-1] or cores)
            load(program.address, requests * 2, at_once, within=300)  # what comes first is not counted
            for n in range(pairs):
                got = {}
                for traced in (False, True) if n % 2 else (True, False):
                    assert program.reload(trace=plan if traced and not noise else None)["text"] == "done"
                    got[traced] = cpu(program, requests, at_once, n * 2 + traced)
                ratios.append(got[True] / got[False] - 1)
                plain.append(got[False])
            program.stop()
        size = sum(p.stat().st_size for p in Path(folder).glob("*.trace"))
        without, with_ = parts(8, 40, 200)
        click.echo(
            f"what tracing touches, alone in one thread: {without:.1f} us a request off, {with_:.1f} on; "
            f"{with_ - without:.1f} us are {(with_ - without) / median(plain):.1%} of the program's "
            f"{median(plain):.0f}"
        )
        low, middle, high = quantiles(ratios, n=4)
        click.echo(
            f"CPU a request: {median(plain):.0f} us off; with tracing {middle:+.1%} "
            f"(quartiles {low:+.1%}, {high:+.1%}; {pairs} pairs of {requests}); "
            f"{size / pairs / requests:.0f} bytes a request in the file"
        )
        more = [
            memory(hosts, requests * 4, at_once, plan) - memory(hosts, requests * 4, at_once, None)
            for _ in range(programs)
        ]
        if more:
            click.echo(f"resident memory: {median(more):+.1f} MB (least {min(more):+.1f}, most {max(more):+.1f})")
    hosts.stop()


if __name__ == "__main__":
    main()
