"""The cost of tracing for a running balancer: CPU and memory with and without, in pairs.

CPU: one program, whose tracing is switched on and off by SIGHUP. Each pair is a round with tracing and one without, in
alternating order, measured by the program's CPU clock. Memory: new programs, one of each kind per pair. The output is
the median of the pairs with its quartiles. Aims: less than 3% CPU per request, less than 8 MB of memory.
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
from bramblestile.tracing import Tracer, TracerHandle
from tests.load import SETTINGS, DaemonProcess, StubHosts, run_load, running_daemon
from vanegw import interface as api
from vanegw import wire as settings_form


def cpu_and_memory(pid: int) -> tuple[float, int]:
    """Return the CPU seconds used so far by all threads of a process, and its resident kilobytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    return time.clock_gettime(~pid << 3 | 2), int(status.partition("VmRSS:")[2].split()[0])


def cpu_per_request(program: DaemonProcess, requests: int, at_once: int, seed: int) -> float:
    """Return the microseconds of CPU per request."""
    before, _ = cpu_and_memory(program.process.pid)
    answers = run_load(program.address, requests, at_once, seed, timeout_s=300)
    after, _ = cpu_and_memory(program.process.pid)
    assert answers["UP"] > 0.9 * requests, answers
    return (after - before) / requests * 1e6


def memory_after_load(hosts: StubHosts, requests: int, at_once: int, trace_config: dict[str, Any] | None) -> float:
    """Return the resident megabytes of a new program after a load."""
    with tempfile.TemporaryDirectory() as folder, running_daemon(Path(folder), hosts, trace=trace_config) as program:
        run_load(program.address, requests, at_once, timeout_s=300)
        return cpu_and_memory(program.process.pid)[1] / 1024


def traced_code_cost(hosts: int, rounds: int, batch: int) -> tuple[float, float]:
    """Return the microseconds of CPU per request of all code that tracing affects, without and with tracing.

    It runs the decisions, the tracing calls and the recorder with its writing in one thread, without the noise of the
    network.
    """
    settings = settings_form.parse_settings(SETTINGS)[0]
    with tempfile.TemporaryDirectory() as folder:
        handle, counters = TracerHandle(), Counters()
        recorder = Recorder(RecorderConfig(Path(folder), "n1", "-"), counters)
        decisions = Decisions(settings, 1, Cluster(), counters, handle, "lines")
        pending_probes: list[str] = []
        decisions.on_probe = pending_probes.append
        decisions.update_list(
            api.ListMode.COMPLETE, [UpstreamHost(f"h{n}", ("127.0.0.1", 1 + n)) for n in range(hosts)]
        )
        cost_us: dict[bool, list[float]] = {True: [], False: []}
        number = 0
        for round_number in range(rounds * 2):
            traced = round_number % 2 == round_number // 2 % 2
            handle.current = recorder if traced else Tracer()
            started = time.thread_time()
            for _ in range(batch):
                number += 1
                _serve_request(decisions, handle.current, pending_probes, f"{number:016x}")
            if traced:
                recorder.flush()
            cost_us[traced].append((time.thread_time() - started) / batch * 1e6)
    return median(cost_us[False]), median(cost_us[True])


def _serve_request(decisions: Decisions, tracer: Tracer, pending_probes: list[str], request_id: str) -> None:
    """Do what ``life.serve_request`` does to trace a request that is served."""
    request = api.Request(request_id, "feed", 1_485_000, "vestland-museum", 77, 5)
    active_request = decisions.register(request_id, now() + timedelta(seconds=1))
    assert active_request is not None
    tracer.request(now(), "lines", request, None)
    decisions.handle_event(request)
    while pending_probes:
        decisions.handle_event(
            api.ProbeResult(pending_probes.pop(), api.Status.SERVED, 900, api.Report(load=1e-4, latency_ms=2.0))
        )
    choice = active_request.next_choice()
    assert isinstance(choice, api.Attempt)
    at = now()
    tracer.attempt(at, request_id, 0, choice.backend, "up", 900)
    tracer.answer(at, request, "served", 1, timedelta(milliseconds=2), choice.backend)
    tracer.connection_established(at, request_id, choice.backend, False)
    decisions.handle_event(api.Opened(request_id, 0, choice.backend, 900))
    tracer.connection_ended(at, request_id, choice.backend, "served", timedelta(seconds=2), False)
    decisions.handle_event(api.Outcome(request_id, 0, choice.backend, api.Status.SERVED, 900, finished=True))
    decisions.unregister(active_request)


@click.command()
@click.option("--pairs", default=24, show_default=True, help="Pairs of rounds, for the CPU.")
@click.option("--requests", default=500, show_default=True, help="Requests in each round.")
@click.option("--at-once", default=8, show_default=True)
@click.option("--programs", default=3, show_default=True, help="Pairs of programs, for the memory.")
@click.option("--noise", is_flag=True, help="Trace in neither round, to show the noise of the method.")
def main(pairs: int, requests: int, at_once: int, programs: int, noise: bool) -> None:
    """Measure the cost of tracing, pair by pair."""
    hosts = StubHosts(8)
    with tempfile.TemporaryDirectory() as folder:
        trace_config = {"directory": folder, "flush_ms": 1000}
        ratios, baseline = [], []
        # One core, as on the platform, and none that the load runs on: migrations between cores would distort the cost.
        cores = sorted(os.sched_getaffinity(0))
        os.sched_setaffinity(0, cores[-1:])
        with running_daemon(Path(folder), hosts) as program:
            os.sched_setaffinity(0, cores[:-1] or cores)
            run_load(program.address, requests * 2, at_once, timeout_s=300)  # warm-up
            for pair in range(pairs):
                cost = {}
                for traced in (False, True) if pair % 2 else (True, False):
                    assert program.reload(trace=trace_config if traced and not noise else None)["text"] == "done"
                    cost[traced] = cpu_per_request(program, requests, at_once, pair * 2 + traced)
                ratios.append(cost[True] / cost[False] - 1)
                baseline.append(cost[False])
            program.stop()
        trace_bytes = sum(p.stat().st_size for p in Path(folder).glob("*.trace"))
        untraced_us, traced_us = traced_code_cost(8, 40, 200)
        click.echo(
            f"code affected by tracing, in one thread: {untraced_us:.1f} us per request without, {traced_us:.1f} with; "
            f"{traced_us - untraced_us:.1f} us are {(traced_us - untraced_us) / median(baseline):.1%} of the program's "
            f"{median(baseline):.0f}"
        )
        lower, middle, upper = quantiles(ratios, n=4)
        click.echo(
            f"CPU per request: {median(baseline):.0f} us without; with tracing {middle:+.1%} "
            f"(quartiles {lower:+.1%}, {upper:+.1%}; {pairs} pairs of {requests}); "
            f"{trace_bytes / pairs / requests:.0f} bytes per request in the file"
        )
        differences = [
            memory_after_load(hosts, requests * 4, at_once, trace_config)
            - memory_after_load(hosts, requests * 4, at_once, None)
            for _ in range(programs)
        ]
        if differences:
            click.echo(
                f"resident memory: {median(differences):+.1f} MB "
                f"(min {min(differences):+.1f}, max {max(differences):+.1f})"
            )
    hosts.stop()


if __name__ == "__main__":
    main()
