"""Plays a script on the stage: real processes, faults as it says, and a verdict on what had to hold."""

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

from bramblestile.lab.faults import Fault, into, out_of, split
from bramblestile.lab.maintenance_driver import MaintenanceDriver, town_of
from bramblestile.lab.processes import Program
from bramblestile.lab.script import Script, Step
from bramblestile.lab.stage import SETTINGS, FailedError, Stage
from bramblestile.lab.town import Town

S = timedelta(seconds=1)
T = TypeVar("T")
LOOKS_EVERY = 0.2  # seconds between two looks at the whole, for the page
LONGEST_S, DIGITS = 600, 3  # of the histograms: seconds, and significant digits
LEAST = ("done", "dropped")  # of these at least so many; of all others at most


@dataclass(slots=True)
class Played:
    """``figures``: what could be asked for in ``must``; ``wrong``: what did not hold, empty: all did."""

    script: Script
    folder: Path
    figures: dict[str, float] = field(default_factory=dict)
    wrong: list[str] = field(default_factory=list)
    waits: HdrHistogram | None = None
    gaps: HdrHistogram | None = None


def histogram(seconds: list[float]) -> HdrHistogram:
    made = HdrHistogram(1, LONGEST_S * 1000, DIGITS)
    for one in seconds:
        made.record_value(max(1, min(LONGEST_S * 1000, round(one * 1000))))
    return made


def play(script: Script, folder: Path) -> Played:
    """Never raises for what does not hold: that is in ``wrong``, and the folder has the record to see why."""
    played = Played(script, folder)
    more = (
        {}
        if "cold_s" not in script.server_options
        else {"rules": SETTINGS["rules"] | {"cold_us": int(script.server_options["cold_s"] * 1e6)}}
    )
    try:
        with Stage(
            folder,
            script.balancers,
            seed=script.seed,
            halls=script.halls,
            fleet={},
            voters=script.voters,
            servers=script.servers,
            streams=script.streams,
            settings=more,
            **script.server_options,
        ) as stage:
            _Play(script, stage, played).run()
    except (FailedError, OSError) as error:
        played.wrong.append(str(error))
    for key, bound in script.expectations.items():
        value = played.figures.get(key, float("nan"))
        if not (value >= bound if key in LEAST else value <= bound):
            wanted = "at least" if key in LEAST else "at most"
            played.wrong.append(f"{key} is {value:g}, and {wanted} {bound:g} was to be")
    return played


def _each(begin: Callable[[T], Any], end: Callable[[T], Any], chosen: list[T]) -> Callable[[], None]:
    """Does it to all of them; what undoes it."""
    for one in chosen:
        begin(one)

    def lift() -> None:
        for one in chosen:
            end(one)

    return lift


class _Play:
    def __init__(self, script: Script, stage: Stage, played: Played) -> None:
        self.script, self.stage, self.played = script, stage, played
        self.town: Town = town_of(stage)
        self.work: MaintenanceDriver | None = None
        self.random = Random(f"script {script.seed}")
        self.began = 0.0
        self._ended = threading.Event()

    def run(self) -> None:
        stage, script = self.stage, self.script
        stage.start()
        stage.agree(within=60 * S)
        most = int((script.plan or {}).get("most_out", 1))
        self.work = MaintenanceDriver(stage, most) if script.voters else None
        looker = threading.Thread(target=self._look, name="look", daemon=True)
        try:
            if self.work is not None:
                self.work.wait_for_roster()
            self.town.ask_fronts()
            self.town.come(script.clients, script.arrival_s)
            stage.wait(lambda: self._all_up(), 30 * S + script.arrival_s * S)
            before = self.town.figures()
            looker.start()
            self.began = stage.record.now()
            stage.record.add("play begins")
            self._steps()
            self._measure(before)
        finally:
            self._ended.set()
            if looker.is_alive():
                looker.join(2)
            if self.work is not None:
                self.work.stop()

    def _all_up(self) -> bool:
        return self.town.figures()["up"] == self.script.clients

    def _since(self) -> float:
        return self.stage.record.now() - self.began

    def _look(self) -> None:
        while not self._ended.wait(LOOKS_EVERY):
            figures = self.town.figures()
            hosts = {h.name: round(h.load(), 3) if h.up else -1 for h in self.town.hosts.values()}
            self.stage.record.add(
                "look", **{k: figures[k] for k in ("up", "moves", "refused", "cuts", "failed")}, loads=hosts
            )

    def _steps(self) -> None:
        """Each when its time has come; then until all has come to its end."""
        waiting = list(self.script.steps)
        lifting: list[tuple[float, Callable[[], None]]] = []
        work = self.work
        if work is not None and self.script.plan is not None:
            work.start_plan(**self.script.plan)
        while True:
            at_s = self._since()
            if at_s > self.script.timeout_s:
                raise FailedError(
                    f"not at its end within {self.script.timeout_s:g} s: "
                    f"{str(work.progress)[:600] if work is not None else ''}"
                )
            reached = {stage for _, _, stage in work.reached} if work is not None else set()
            for step in [s for s in waiting if (at_s >= s.at_s if s.at_s is not None else s.when in reached)]:
                waiting.remove(step)
                lift = self._do(step)
                if step.duration_s is not None:
                    lifting.append((self._since() + step.duration_s, lift))
            for due in [one for one in lifting if at_s >= one[0]]:
                lifting.remove(due)
                due[1]()
            ended = work is None or self.script.plan is None or work.progress.get("status") == "ended"
            if not waiting and not lifting and ended and at_s >= self.script.min_duration_s and self._all_up():
                return
            time.sleep(0.02)

    def _who(self, step: Step) -> list[str]:
        """The names that it means by now."""
        found: list[str] = []
        for word in step.targets:
            running = self.stage.running()
            if word == "leader" and self.work is not None:
                found.append(str(self.work.progress.get("leader", self.stage.voters[0])))
            elif word == "voters":
                found += self.stage.voters
            elif word == "half":
                found += self.random.sample(running, len(running) // 2)
            elif word == "random":
                found.append(self.random.choice(running))
            elif word.startswith("hall-"):
                found += [n for k, n in enumerate(self.stage.names) if f"hall-{k % self.script.halls}" == word]
                found += [h.name for h in self.town.hosts.values() if h.hall == word]
            elif word in self.stage.programs or word in self.town.hosts or word in ("list", "clients"):
                found.append(word)
            else:
                raise FailedError(f"{step.do}: {word}: nobody of this name")
        return list(dict.fromkeys(found))

    def _do(self, step: Step) -> Callable[[], None]:
        """Begins it; what lifts it again."""
        stage, town, who = self.stage, self.town, self._who(step)
        programs = [stage.programs[name] for name in who if name in stage.programs]
        key = f"{step.do} {' '.join(who)[:80]} {self._since():.3f}"
        stage.record.add("step", do=step.do, who=who, for_s=step.duration_s, value=step.value)
        faults = {
            "cut": (split, {"loss": 1.0}),
            "mute": (out_of, {"loss": 1.0}),
            "deaf": (into, {"loss": 1.0}),
            "loss": (split, {"loss": step.value}),
            "delay": (split, {"delay": S * step.value, "jitter": S * step.value}),
        }
        if step.do in faults:
            between, figures = faults[step.do]
            stage.put(key, Fault(between(who), **figures))  # type: ignore[arg-type]
            return lambda: stage.lift(key)
        match step.do:
            case "pause":
                return _each(Program.pause, Program.wake, programs)
            case "kill":
                return _each(Program.kill, Program.start, programs)
            case "restart":
                return _each(Program.restart, lambda program: None, programs)
            case "starve":
                return _each(lambda program: program.starve(step.value or 0.1), Program.feed, programs)
            case "reset":
                town.do(town.reset(split(who)))
            case "kill-server":
                return _each(lambda name: town.do(town.kill(name)), lambda name: town.do(town.restart(name)), who)
            case "list-down":
                town.list_down = True
                return lambda: setattr(town, "list_down", False)
            case _ if self.work is not None:
                self.work.call_until_accepted("/" + step.do.removesuffix("-plan"))
        return lambda: None

    def _measure(self, before: dict[str, float]) -> None:
        after, played = self.town.figures(), self.played
        stages = list(self.work.stages.values()) if self.work is not None else []
        played.waits, played.gaps = histogram(self.town.waits), histogram(self.town.gaps)
        dead = {(e["who"], e["member"]) for e in self.stage.told("dead", self.began)}
        gone = {e["who"] for what in ("killed", "paused") for e in self.stage.record.of(what)}
        gone |= {name for e in self.stage.record.of("step") for name in e["who"]}
        played.figures = {
            **{key: after[key] - before[key] for key in ("cuts", "refused", "failed", "moves")},
            "moves_per_client": (after["moves"] - before["moves"]) / max(1, self.script.clients),
            "gap_p99_s": played.gaps.get_value_at_percentile(99) / 1000,
            "took_s": self._since(),
            "done": stages.count("done"),
            "dropped": stages.count("dropped"),
            "told_dead": sum(not {viewer, member} & gone for viewer, member in dead),  # nobody did anything to either
            "fallen": sum(host.fallen for host in self.town.hosts.values()),
        }
        if self.work is not None:
            played.wrong += self.work.violations
