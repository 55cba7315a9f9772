"""Drives a plan in the fleet harness as operators would: start it, restart each machine that is out, report it done.

It also checks the fleet's guarantees: from the moment a machine is shown as out until it is taken down, no new
connection may reach it, and no more machines than allowed are in progress. Violations are collected in ``violations``
and in the event log.
"""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from bramblestile.lab.harness import FleetHarness, HarnessError
from bramblestile.lab.stand_ins import StandIns
from bramblestile.work.plan import BALANCER_PREFIX

POLL_INTERVAL_S = 0.05
IN_PROGRESS = ("leaving", "empty", "out", "back", "held")


class MaintenanceDriver:
    """Follows the plan in a thread of its own, and does the work on the machines that are out.

    ``downtime_s`` is how long a machine is down for its work. The work on machines in ``never_done`` is never reported
    as done. ``progress`` is the management API's last answer, ``stages`` the present stage of each machine, and
    ``reached`` the time, machine and stage of each change.
    """

    def __init__(
        self, harness: FleetHarness, max_out: int = 1, downtime_s: float = 0.3, never_done: Iterable[str] = ()
    ) -> None:
        assert harness.stand_ins is not None
        self.harness, self.stand_ins, self.max_out, self.downtime_s = harness, harness.stand_ins, max_out, downtime_s
        self.never_done = set(never_done)
        self.violations: list[str] = []
        self.progress: dict[str, Any] = {}
        self.stages: dict[str, str] = {}
        self.reached: list[tuple[float, str, str]] = []
        self.out_since: dict[str, float] = {}
        self.connections_cut = 0
        self._in_work: set[str] = set()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="worksite", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop following the plan."""
        self._stopped.set()
        self._thread.join(10)

    def plan_file(self, machines: Iterable[str] | None = None, **overrides: Any) -> bytes:
        """Return a plan file for these machines, or for all image servers; ``overrides`` are further keys of it."""
        chosen = {} if "balancers" in overrides else {"machines": list(machines or self.stand_ins.servers)}
        values: dict[str, Any] = {
            **chosen,
            "reason": "new disks",
            "most_out": self.max_out,
            "least_capacity": 0.3,
            "halls_apart": False,
            **overrides,
        }
        return "\n".join(f"{key} = {json.dumps(value)}" for key, value in values.items()).encode()

    def call_once(self, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
        """Call the management API at the balancers that take part, until one answers with something else than 503."""
        answer = 0, "no balancer answers"
        for name in reversed([n for n, p in self.harness.processes.items() if p.is_serving and "work" in p.config]):
            answer = self.harness.call(name, method, "/v1/work" + path, body)
            if answer[0] not in (0, 503):
                break
        return answer

    def call_until_accepted(self, path: str, body: bytes = b"", timeout_s: float = 15) -> None:
        """Repeat a call until it succeeds; raises HarnessError if it is refused for good or after ``timeout_s``."""
        deadline, answer = time.monotonic() + timeout_s, (0, "")
        while time.monotonic() < deadline:
            answer = self.call_once("PUT", path, body)
            if answer[0] == 200:
                return
            if answer[0] == 409:
                break
            time.sleep(0.1)
        raise HarnessError(f"{path}: {answer[0]} {answer[1]}")

    def start_plan(self, machines: Iterable[str] | None = None, **overrides: Any) -> None:
        """Start a plan. A start that is not committed in time may still take effect, so a refusal is checked."""
        try:
            self.call_until_accepted("/start", self.plan_file(machines, **overrides))
        except HarnessError:
            self.wait(lambda: self.progress.get("status") == "running", 10)

    def wait_for_roster(self) -> None:
        """Wait until every running balancer takes part."""
        self.wait(lambda: set(self.progress.get("roster", ())) >= set(self.harness.running()), 20)

    def wait(self, condition: Any, timeout_s: float) -> None:
        """Wait until a condition holds; raises HarnessError after ``timeout_s``."""
        self.harness.wait(
            condition, timedelta(seconds=timeout_s), lambda: f"{self.violations} {str(self.progress)[:1500]}"
        )

    def wait_for_stage(self, stage: str, machine: str | None = None, timeout_s: float = 30) -> str:
        """Wait until a machine reaches a stage, and return the first that does so from now on."""
        first = len(self.reached)
        self.wait(
            lambda: (
                any(s == stage and machine in (None, m) for _, m, s in self.reached[first:])
                or (machine is not None and self.stages.get(machine) == stage)
            ),
            timeout_s,
        )
        return next((m for _, m, s in self.reached[first:] if s == stage and machine in (None, m)), machine or "")

    def final_counts(self, timeout_s: float = 60) -> Counter[str]:
        """Wait for the end of the plan; return the number of machines in each stage, or raise on a violation."""
        self.wait(lambda: self.progress.get("status") == "ended", timeout_s)
        if self.violations:
            raise HarnessError("; ".join(self.violations[:3]))
        return Counter(self.stages.values())

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            status, body = self.call_once("GET", "")
            if status == 200:
                self._update(json.loads(body))

    def _update(self, progress: dict[str, Any]) -> None:
        self.progress = progress
        in_progress = []
        for machine in progress["machines"]:
            name, stage = machine["name"], machine["stage"]
            if self.stages.get(name) != stage:
                self.stages[name] = stage
                self.reached.append((time.time(), name, stage))
                self.harness.event_log.add("stage", machine=name, stage=stage, why=machine["why"])
            in_progress += [name] if stage in IN_PROGRESS else []
            if stage == "out" and name not in self._in_work:
                self._in_work.add(name)
                threading.Thread(target=self._do_work, args=(name,), daemon=True).start()
            if stage in ("cold", "done"):
                self._in_work.discard(name)
        if len(in_progress) > self.max_out:
            self._add_violation(f"{in_progress} are in progress, at most {self.max_out} at once")

    def _add_violation(self, text: str) -> None:
        self.violations.append(text)
        self.harness.event_log.add("broken", text=text)

    def _do_work(self, name: str) -> None:
        if name in self.never_done:
            return
        if name.startswith(BALANCER_PREFIX):
            self._stopped.wait(0.2)
            self.harness.processes[name.removeprefix(BALANCER_PREFIX)].restart()
        else:
            self._restart_server(name)
        while not self._stopped.is_set():
            status, answer = self.call_once("PUT", f"/done/{name}")
            if status == 200 or self.stages.get(name) not in ("out", "held"):
                return
            self.harness.event_log.add("not done", machine=name, status=status, said=answer)
            self._stopped.wait(0.2)

    def _restart_server(self, name: str) -> None:
        server, since = self.stand_ins.servers[name], time.time()
        self._stopped.wait(0.2)  # time for a balancer that would still send to do so
        late = [t for t in server.request_times if t > since]
        if late:
            self._add_violation(f"{name} is out, and {len(late)} first lines came")
        self.connections_cut += len(server.connections)
        self.stand_ins.run(self.stand_ins.restart_server(name, self.downtime_s))


def stand_ins_of(harness: FleetHarness) -> StandIns:
    """Return the stand-ins of a harness that has some."""
    assert harness.stand_ins is not None
    return harness.stand_ins
