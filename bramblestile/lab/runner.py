"""Runs a script on a harness: real processes, the script's faults, and a verdict on what the script expects."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any, TypeVar

from hdrh.histogram import HdrHistogram

from bramblestile.lab.faults import Fault, inbound, outbound, partition
from bramblestile.lab.harness import DEFAULT_SETTINGS, FleetHarness, HarnessError
from bramblestile.lab.maintenance_driver import MaintenanceDriver, stand_ins_of
from bramblestile.lab.processes import BalancerProcess
from bramblestile.lab.script import Script, Step
from bramblestile.lab.stand_ins import StandIns

S = timedelta(seconds=1)
T = TypeVar("T")
SAMPLE_INTERVAL_S = 0.2  # of the "look" events, from which the page is drawn
STEP_INTERVAL_S = 0.02
DEFAULT_THROTTLE_SHARE = 0.1
MAX_RECORDED_S, SIGNIFICANT_DIGITS = 600, 3  # of the histograms
MINIMUM_EXPECTATIONS = ("done", "dropped")  # their bounds are lower bounds, all others upper bounds


@dataclass(slots=True)
class RunResult:
    """The outcome of a run.

    Attributes:
        script: The script that was run.
        folder: Folder with the event log, the configurations and the processes' files.
        metrics: Figures of the run by the keys of the script's ``must`` table, and further ones.
        violations: What was expected and did not hold; empty if the run passed.
        connect_times: Milliseconds from each client's first line to its UP.
        outages: Milliseconds that clients were without a connection after each move or cut.
    """

    script: Script
    folder: Path
    metrics: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    connect_times: HdrHistogram | None = None
    outages: HdrHistogram | None = None


def millisecond_histogram(durations_s: list[float]) -> HdrHistogram:
    """Return a histogram, in milliseconds, of durations in seconds."""
    histogram = HdrHistogram(1, MAX_RECORDED_S * 1000, SIGNIFICANT_DIGITS)
    for duration_s in durations_s:
        histogram.record_value(max(1, min(MAX_RECORDED_S * 1000, round(duration_s * 1000))))
    return histogram


def run_script(script: Script, folder: Path) -> RunResult:
    """Run a script. A failed run raises nothing: the result has the violations, and the folder the event log."""
    result = RunResult(script, folder)
    settings = (
        {}
        if "cold_s" not in script.server_options
        else {"rules": DEFAULT_SETTINGS["rules"] | {"cold_us": int(script.server_options["cold_s"] * 1e6)}}
    )
    try:
        with FleetHarness(
            folder,
            script.balancers,
            seed=script.seed,
            halls=script.halls,
            fleet={},
            voters=script.voters,
            servers=script.servers,
            stream_faults=script.streams,
            settings=settings,
            **script.server_options,
        ) as harness:
            _Runner(script, harness, result).run()
    except (HarnessError, OSError) as error:
        result.violations.append(str(error))
    for key, bound in script.expectations.items():
        value = result.metrics.get(key, float("nan"))
        if not (value >= bound if key in MINIMUM_EXPECTATIONS else value <= bound):
            comparison = "at least" if key in MINIMUM_EXPECTATIONS else "at most"
            result.violations.append(f"{key} is {value:g}, expected {comparison} {bound:g}")
    return result


def _apply_to_all(apply: Callable[[T], Any], undo: Callable[[T], Any], targets: list[T]) -> Callable[[], None]:
    """Apply an action to each target; return what undoes it for all."""
    for target in targets:
        apply(target)

    def undo_all() -> None:
        for target in targets:
            undo(target)

    return undo_all


class _Runner:
    """One run of a script on a harness; fills in the result."""

    def __init__(self, script: Script, harness: FleetHarness, result: RunResult) -> None:
        self.script, self.harness, self.result = script, harness, result
        self.stand_ins: StandIns = stand_ins_of(harness)
        self.driver: MaintenanceDriver | None = None
        self.random = Random(f"script {script.seed}")
        self.started_s = 0.0  # in the time of the event log
        self._ended = threading.Event()

    def run(self) -> None:
        """Start everything, run the steps and measure; raises HarnessError."""
        harness, script = self.harness, self.script
        harness.start()
        harness.wait_for_agreement(timeout=60 * S)
        max_out = int((script.plan or {}).get("most_out", 1))
        self.driver = MaintenanceDriver(harness, max_out) if script.voters else None
        sampler = threading.Thread(target=self._sample, name="look", daemon=True)
        try:
            if self.driver is not None:
                self.driver.wait_for_roster()
            self.stand_ins.start_health_checks()
            self.stand_ins.add_clients(script.clients, script.arrival_s)
            harness.wait(lambda: self._all_connected(), 30 * S + script.arrival_s * S)
            before = self.stand_ins.client_totals()
            sampler.start()
            self.started_s = harness.event_log.now()
            harness.event_log.add("play begins")
            self._run_steps()
            self._measure(before)
        finally:
            self._ended.set()
            if sampler.is_alive():
                sampler.join(2)
            if self.driver is not None:
                self.driver.stop()

    def _all_connected(self) -> bool:
        return self.stand_ins.client_totals()["up"] == self.script.clients

    def _elapsed_s(self) -> float:
        return self.harness.event_log.now() - self.started_s

    def _sample(self) -> None:
        """Log the clients' totals and the servers' loads at intervals."""
        while not self._ended.wait(SAMPLE_INTERVAL_S):
            totals = self.stand_ins.client_totals()
            loads = {
                server.name: round(server.load(), 3) if server.is_up else -1
                for server in self.stand_ins.servers.values()
            }
            self.harness.event_log.add(
                "look", **{key: totals[key] for key in ("up", "moves", "refused", "cuts", "failed")}, loads=loads
            )

    def _run_steps(self) -> None:
        """Run each step when it is due and undo it after its duration, until everything has ended.

        Raises HarnessError after the script's timeout.
        """
        pending = list(self.script.steps)
        undo_actions: list[tuple[float, Callable[[], None]]] = []
        driver = self.driver
        if driver is not None and self.script.plan is not None:
            driver.start_plan(**self.script.plan)
        while True:
            elapsed_s = self._elapsed_s()
            if elapsed_s > self.script.timeout_s:
                raise HarnessError(
                    f"the run did not end within {self.script.timeout_s:g} s: "
                    f"{str(driver.progress)[:600] if driver is not None else ''}"
                )
            reached = {stage for _, _, stage in driver.reached} if driver is not None else set()
            for step in [s for s in pending if (elapsed_s >= s.at_s if s.at_s is not None else s.when in reached)]:
                pending.remove(step)
                undo = self._apply(step)
                if step.duration_s is not None:
                    undo_actions.append((self._elapsed_s() + step.duration_s, undo))
            for due in [action for action in undo_actions if elapsed_s >= action[0]]:
                undo_actions.remove(due)
                due[1]()
            ended = driver is None or self.script.plan is None or driver.progress.get("status") == "ended"
            if (
                not pending
                and not undo_actions
                and ended
                and elapsed_s >= self.script.min_duration_s
                and self._all_connected()
            ):
                return
            time.sleep(STEP_INTERVAL_S)

    def _resolve_targets(self, step: Step) -> list[str]:
        """Return the names that the step's targets stand for now; raises HarnessError for an unknown one."""
        names: list[str] = []
        for word in step.targets:
            running = self.harness.running()
            if word == "leader" and self.driver is not None:
                names.append(str(self.driver.progress.get("leader", self.harness.voters[0])))
            elif word == "voters":
                names += self.harness.voters
            elif word == "half":
                names += self.random.sample(running, len(running) // 2)
            elif word == "random":
                names.append(self.random.choice(running))
            elif word.startswith("hall-"):
                names += [n for k, n in enumerate(self.harness.names) if f"hall-{k % self.script.halls}" == word]
                names += [server.name for server in self.stand_ins.servers.values() if server.hall == word]
            elif word in self.harness.processes or word in self.stand_ins.servers or word in ("list", "clients"):
                names.append(word)
            else:
                raise HarnessError(f"{step.do}: no balancer, server or group is named {word}")
        return list(dict.fromkeys(names))

    def _apply(self, step: Step) -> Callable[[], None]:
        """Begin a step's action; return what undoes it."""
        harness, stand_ins, targets = self.harness, self.stand_ins, self._resolve_targets(step)
        processes = [harness.processes[name] for name in targets if name in harness.processes]
        key = f"{step.do} {' '.join(targets)[:80]} {self._elapsed_s():.3f}"
        harness.event_log.add("step", do=step.do, who=targets, for_s=step.duration_s, value=step.value)
        faults = {
            "cut": (partition, {"loss": 1.0}),
            "mute": (outbound, {"loss": 1.0}),
            "deaf": (inbound, {"loss": 1.0}),
            "loss": (partition, {"loss": step.value}),
            "delay": (partition, {"delay": S * step.value, "jitter": S * step.value}),
        }
        if step.do in faults:
            links_of, effects = faults[step.do]
            harness.inject_fault(key, Fault(links_of(targets), **effects))  # type: ignore[arg-type]
            return lambda: harness.remove_fault(key)
        match step.do:
            case "pause":
                return _apply_to_all(BalancerProcess.pause, BalancerProcess.resume, processes)
            case "kill":
                return _apply_to_all(BalancerProcess.kill, BalancerProcess.start, processes)
            case "restart":
                return _apply_to_all(BalancerProcess.restart, lambda process: None, processes)
            case "starve":
                return _apply_to_all(
                    lambda process: process.throttle(step.value or DEFAULT_THROTTLE_SHARE),
                    BalancerProcess.unthrottle,
                    processes,
                )
            case "reset":
                stand_ins.run(stand_ins.reset_connections(partition(targets)))
            case "kill-server":
                return _apply_to_all(
                    lambda name: stand_ins.run(stand_ins.kill_server(name)),
                    lambda name: stand_ins.run(stand_ins.restart_server(name)),
                    targets,
                )
            case "list-down":
                stand_ins.list_down = True
                return lambda: setattr(stand_ins, "list_down", False)
            case _ if self.driver is not None:
                self.driver.call_until_accepted("/" + step.do.removesuffix("-plan"))
        return lambda: None

    def _measure(self, before: dict[str, float]) -> None:
        after, result = self.stand_ins.client_totals(), self.result
        stages = list(self.driver.stages.values()) if self.driver is not None else []
        result.connect_times, result.outages = (
            millisecond_histogram(self.stand_ins.connect_times_s),
            millisecond_histogram(self.stand_ins.outage_durations_s),
        )
        reported_dead = {(e["who"], e["member"]) for e in self.harness.membership_events("dead", self.started_s)}
        affected = {e["who"] for event_type in ("killed", "paused") for e in self.harness.event_log.select(event_type)}
        affected |= {name for e in self.harness.event_log.select("step") for name in e["who"]}
        result.metrics = {
            **{key: after[key] - before[key] for key in ("cuts", "refused", "failed", "moves")},
            "moves_per_client": (after["moves"] - before["moves"]) / max(1, self.script.clients),
            "gap_p99_s": result.outages.get_value_at_percentile(99) / 1000,
            "took_s": self._elapsed_s(),
            "done": stages.count("done"),
            "dropped": stages.count("dropped"),
            # Only false reports: no fault affected the observer or the member.
            "told_dead": sum(not {observer, member} & affected for observer, member in reported_dead),
            "fallen": sum(server.crashed for server in self.stand_ins.servers.values()),
        }
        if self.driver is not None:
            result.violations += self.driver.violations
