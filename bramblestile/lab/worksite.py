"""Operators at work on the stage: they start a plan, restart each machine that is theirs, and say that it is done.

They also look whether the fleet keeps its word: from the moment a machine is shown as out until it is taken down no
first line may reach it, and never more than allowed are on their way. What does not hold is in ``broken``, and in the
record.
"""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from bramblestile.lab.stage import FailedError, Stage
from bramblestile.lab.town import Town
from bramblestile.work.plan import BALANCER_PREFIX

LOOKS_EVERY = 0.05
ON_THE_WAY = ("leaving", "empty", "out", "back", "held")


class Worksite:
    """``away``: seconds that a machine is down for its work. ``lazy``: machines whose work is never said to be done."""

    def __init__(self, stage: Stage, most_out: int = 1, away: float = 0.3, lazy: Iterable[str] = ()) -> None:
        assert stage.town is not None
        self.stage, self.town, self.most_out, self.away = stage, stage.town, most_out, away
        self.lazy = set(lazy)
        self.broken: list[str] = []
        self.shown: dict[str, Any] = {}
        self.stages: dict[str, str] = {}
        self.seen: list[tuple[float, str, str]] = []  # when, which machine, which stage
        self.out_since: dict[str, float] = {}
        self.cut_by_work = 0
        self._busy: set[str] = set()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="worksite", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join(10)

    def plan(self, machines: Iterable[str] | None = None, **more: Any) -> bytes:
        chosen = {} if "balancers" in more else {"machines": list(machines or self.town.hosts)}
        values: dict[str, Any] = {
            **chosen,
            "reason": "new disks",
            "most_out": self.most_out,
            "least_capacity": 0.3,
            "halls_apart": False,
            **more,
        }
        return "\n".join(f"{key} = {json.dumps(value)}" for key, value in values.items()).encode()

    def ask(self, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
        """Of any balancer that takes part and answers; the first one's no is the answer."""
        answer = 0, "nobody answers"
        for name in reversed([n for n, p in self.stage.programs.items() if p.serves and "work" in p.config]):
            answer = self.stage.call(name, method, "/v1/work" + path, body)
            if answer[0] not in (0, 503):
                break
        return answer

    def say(self, path: str, body: bytes = b"", within: float = 15) -> None:
        """Said until there is a yes, or a no that time does not change."""
        until, answer = time.monotonic() + within, (0, "")
        while time.monotonic() < until:
            answer = self.ask("PUT", path, body)
            if answer[0] == 200:
                return
            if answer[0] == 409:
                break
            time.sleep(0.1)
        raise FailedError(f"{path}: {answer[0]} {answer[1]}")

    def begin(self, machines: Iterable[str] | None = None, **more: Any) -> None:
        """Said until it is on: a start that was not agreed on in time may still come to hold."""
        try:
            self.say("/start", self.plan(machines, **more))
        except FailedError:
            self.wait(lambda: self.shown.get("status") == "running", 10)

    def ready(self) -> None:
        """Every balancer that runs takes part."""
        self.wait(lambda: set(self.shown.get("roster", ())) >= set(self.stage.running()), 20)

    def wait(self, holds: Any, within: float) -> None:
        self.stage.wait(holds, timedelta(seconds=within), lambda: f"{self.broken} {str(self.shown)[:1500]}")

    def until(self, stage: str, machine: str | None = None, within: float = 30) -> str:
        """The machine that comes to this stage first, from now on."""
        at = len(self.seen)
        self.wait(
            lambda: (
                any(s == stage and machine in (None, m) for _, m, s in self.seen[at:])
                or (machine is not None and self.stages.get(machine) == stage)
            ),
            within,
        )
        return next((m for _, m, s in self.seen[at:] if s == stage and machine in (None, m)), machine or "")

    def ended(self, within: float = 60) -> Counter[str]:
        """How many machines ended in which way."""
        self.wait(lambda: self.shown.get("status") == "ended", within)
        if self.broken:
            raise FailedError("; ".join(self.broken[:3]))
        return Counter(self.stages.values())

    def _run(self) -> None:
        while not self._stopped.wait(LOOKS_EVERY):
            status, said = self.ask("GET", "")
            if status == 200:
                self._look(json.loads(said))

    def _look(self, shown: dict[str, Any]) -> None:
        self.shown = shown
        on_way = []
        for machine in shown["machines"]:
            name, stage = machine["name"], machine["stage"]
            if self.stages.get(name) != stage:
                self.stages[name] = stage
                self.seen.append((time.time(), name, stage))
                self.stage.record.add("stage", machine=name, stage=stage, why=machine["why"])
            on_way += [name] if stage in ON_THE_WAY else []
            if stage == "out" and name not in self._busy:
                self._busy.add(name)
                threading.Thread(target=self._work, args=(name,), daemon=True).start()
            if stage in ("cold", "done"):
                self._busy.discard(name)
        if len(on_way) > self.most_out:
            self._say_broken(f"{on_way} are on their way, {self.most_out} at once")

    def _say_broken(self, text: str) -> None:
        self.broken.append(text)
        self.stage.record.add("broken", text=text)

    def _work(self, name: str) -> None:
        if name in self.lazy:
            return
        if name.startswith(BALANCER_PREFIX):
            self._stopped.wait(0.2)
            self.stage.programs[name.removeprefix(BALANCER_PREFIX)].restart()
        else:
            self._renew(name)
        while not self._stopped.is_set():
            status, said = self.ask("PUT", f"/done/{name}")
            if status == 200 or self.stages.get(name) not in ("out", "held"):
                return
            self.stage.record.add("not done", machine=name, status=status, said=said)
            self._stopped.wait(0.2)

    def _renew(self, name: str) -> None:
        host, since = self.town.hosts[name], time.time()
        self._stopped.wait(0.2)  # whoever would still send has a while to do so
        wrong = [at for at in host.first_lines if at > since]
        if wrong:
            self._say_broken(f"{name} is out, and {len(wrong)} first lines came")
        self.cut_by_work += len(host.open)
        self.town.do(self.town.restart(name, self.away))


def town_of(stage: Stage) -> Town:
    assert stage.town is not None
    return stage.town
