"""Maintenance in simulated time: voters, a leader, balancers and machines, with faults drawn from a seed.

Invariants, checked after every step of every process:

- While a machine is out, no balancer would send to it that knows the plan, from a reply or from what the process before
  it saved.
- In the view of every voter, no more machines are in progress than the plan allows.
- No machine leaves under a plan that was aborted.
- Every balancer has a machine to send to.

After the faults the plan ends, and no machine is left in progress. Each process has a clock of its own that runs up to
5% fast or slow, and a wall clock that is set now and then and that must not affect anything.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from msgspec import structs

from bramblestile.clock import ZERO_DURATION
from bramblestile.store.journal import Journal
from bramblestile.store.replica import MAX_CLOCK_DRIFT, Message, Replica
from bramblestile.work import plan_state
from bramblestile.work.messages import Poll, Reply
from bramblestile.work.participant import Participant
from bramblestile.work.plan import BALANCER_PREFIX, Limits, PlanError, PlanRequest
from bramblestile.work.plan_state import FINAL_STAGES, IN_PROGRESS_STAGES, PlanState, Stage, Status, load_state
from bramblestile.work.planner import MachineView, order_machines
from bramblestile.work.scheduler import Scheduler

SECOND = timedelta(seconds=1)
STEP = timedelta(milliseconds=50)  # mean time between two steps of a process
TURN = timedelta(milliseconds=100)
AnyMessage = Message | Poll | Reply


class InvariantError(Exception):
    """An invariant was violated; the text says which, and when."""


@dataclass(slots=True)
class Process:
    """A simulated balancer process.

    Attributes:
        name: The balancer's name.
        clock_rate: How fast its clock runs; 1 is exact.
        clock_offset: What its clock showed at the start of the run, less a day.
        participant: Its part as a balancer.
        replica: Its replica of the state; None unless it is a voter.
        scheduler: Its part as a leader; None unless it is a voter.
        running: Whether it has not been killed.
        paused: Whether it is suspended.
        wall_clock_error: How far its wall clock is off.
        inbox: Messages that it has not handled yet, each with its sender.
        plan_cache: The applied log index and the plan as of it.
        plan_cache_index: The log index that ``plan_cache`` was made for.
        sending_until: End of the last request that it was sending to a machine when that machine was excluded.
        queued_entries: Entries to be proposed.
        commands: Machines whose command runs at this leader.
        restarts: How often it has been restarted.
        clock_reading: The last reading of its clock: simulated time, and what the clock showed.
    """

    name: str
    clock_rate: float
    clock_offset: timedelta
    participant: Participant
    replica: Replica | None = None
    scheduler: Scheduler | None = None
    running: bool = True
    paused: bool = False
    wall_clock_error: timedelta = ZERO_DURATION
    inbox: list[tuple[str, AnyMessage]] = field(default_factory=list)
    plan_cache: tuple[int, PlanState] = (-1, PlanState())
    plan_cache_index: int = -1
    sending_until: timedelta = ZERO_DURATION
    queued_entries: list[tuple[str, str]] = field(default_factory=list)
    commands: set[str] = field(default_factory=set)
    restarts: int = 0
    clock_reading: tuple[timedelta, timedelta] = (ZERO_DURATION, ZERO_DURATION)


@dataclass(slots=True)
class Machine:
    """A simulated image server; ``started_at`` is None if it has not been restarted."""

    name: str
    hall: str
    started_at: timedelta | None = None
    up: bool = True


class MaintenanceSimulation:
    """One simulated run. A restarted balancer begins with the state that the process before it saved."""

    def __init__(self, seed: int, balancers: int, machines: int = 12, voters: int = 3) -> None:
        self.random = Random(f"works {seed}")
        self.seed = seed
        self.now = timedelta(days=20_000)
        self.start_time = self.now
        self.names = [f"b{n:03}" for n in range(balancers)]
        self.voters = self.names[: min(voters, balancers)]
        self.machines = {f"m{n:02}": Machine(f"m{n:02}", f"hall-{n % 2}") for n in range(machines)}
        self.processes: dict[str, Process] = {}
        self.drop_rules: dict[str, Callable[[str, str], bool]] = {}  # by fault: whether a message is lost
        self.loss_rate = 0.0
        self.fault_log: list[str] = []
        self.stages: dict[str, tuple[int, Stage]] = {}  # as committed: the log index, and the stage
        self.machines_out: list[str] = []  # according to ``stages``
        self.aborted_plans: set[str] = set()
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._count = 0
        for name in self.names:
            self._start(name, None)

    # Time.

    def schedule(self, delay: timedelta, callback: Callable[[], None]) -> None:
        """Call ``callback`` when ``delay`` has passed in simulated time."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay, self._count, callback))

    def run(self, duration: timedelta, until: Callable[[], bool] | None = None) -> bool:
        """Advance simulated time by ``duration``, or until a condition holds; return False if it never held."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
            if until is not None and until():
                return True
        self.now = end
        return until is None

    def clock(self, process: Process) -> timedelta:
        """Return what the clock of this process shows."""
        if process.clock_reading[0] is not self.now:
            process.clock_reading = (
                self.now,
                process.clock_offset + (self.now - self.start_time) * process.clock_rate + timedelta(days=1),
            )
        return process.clock_reading[1]

    # Processes.

    def _start(self, name: str, previous: Process | None) -> None:
        random = self.random
        clock_rate, clock_offset = 1 + MAX_CLOCK_DRIFT * random.uniform(-1, 1), SECOND * random.uniform(0, 1000)
        process = Process(name, clock_rate, clock_offset, Participant(name, self._count + 1))
        process.restarts = 0 if previous is None else previous.restarts + 1
        if previous is not None:
            self._restore(process.participant, previous.participant)
        local_time = self.clock(process)
        if name in self.voters:
            journal = Journal(None) if previous is None or previous.replica is None else previous.replica.journal
            process.replica = Replica(
                name, self.voters, journal, Random(f"{self.seed} {name} {process.restarts}"), local_time, 900
            )
            process.scheduler = Scheduler(name)
        self.processes[name] = process
        self._tick(process)

    def _restore(self, participant: Participant, previous: Participant) -> None:
        """Copy what a balancer saves on disk at every change."""
        for attribute in (
            "term",
            "applied_version",
            "plan_id",
            "status",
            "announced_count",
            "machine_count",
            "excluded",
            "announced",
            "fallback",
            "completed",
            "names",
        ):
            setattr(participant, attribute, getattr(previous, attribute))

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.processes[name].running = False

    def restart(self, name: str) -> None:
        """Kill a process and start the next one of its name."""
        self.kill(name)
        self._start(name, self.processes[name])

    def pause(self, name: str, duration: timedelta) -> None:
        """Suspend a process for a while; its messages wait."""
        process = self.processes[name]
        process.paused = True
        self.schedule(duration, lambda: self._wake(process))

    def _wake(self, process: Process) -> None:
        process.paused = False

    def _tick(self, process: Process) -> None:
        if not process.running:
            return
        if not process.paused:
            self._step(process)
        self.schedule(STEP * self.random.uniform(0.6, 1.4), lambda: self._tick(process))

    def _step(self, process: Process) -> None:
        received, process.inbox = process.inbox, []
        for sender, message in received:
            self._handle(process, sender, message)
        local_time = self.clock(process)
        if process.replica is not None and process.scheduler is not None:
            self._send_all(process, process.replica.tick(local_time))
            self._lead(process, process.replica, process.scheduler, local_time)
        local_time = self.lease_clock(process)
        if local_time >= process.participant.next_poll_at:
            quiesced = (
                process.participant.excluded
                if local_time >= process.sending_until
                else [n for n in process.participant.excluded if n[:1] == BALANCER_PREFIX]
            )
            recipient = (
                process.participant.leader
                if process.participant.leader and self.random.random() < 0.7
                else self.random.choice(self.voters)
            )
            self._send(process.name, recipient, process.participant.poll(local_time, quiesced, {}))
        self._check_process(process)

    def _send_all(self, process: Process, outgoing: Iterable[tuple[str, Message]]) -> None:
        for recipient, message in outgoing:
            self._send(process.name, recipient, message)

    def _send(self, sender: str, recipient: str, message: AnyMessage) -> None:
        if any(rule(sender, recipient) for rule in self.drop_rules.values()) or self.random.random() < self.loss_rate:
            return
        delay = timedelta(milliseconds=self.random.uniform(0.2, 20))
        if self.random.random() < 0.01:
            delay += SECOND * self.random.uniform(0, 4)  # a rare long delay

        def arrive() -> None:
            target = self.processes[recipient]
            if target.running and len(target.inbox) < 200:
                target.inbox.append((sender, message))

        self.schedule(delay, arrive)

    def _handle(self, process: Process, sender: str, message: AnyMessage) -> None:
        local_time = self.clock(process)
        if isinstance(message, Reply):
            before, lease_time = dict(process.participant.excluded), self.lease_clock(process)
            process.participant.handle_reply(message, lease_time)
            if set(process.participant.excluded) - set(before):
                process.sending_until = lease_time + SECOND * self.random.uniform(0, 0.3)
        elif isinstance(message, Message):
            if process.replica is not None:
                self._send_all(process, process.replica.receive(message, local_time))
                self._check_changes(process)
        elif process.replica is not None and process.scheduler is not None:
            replica = process.replica
            if self.may_lead(replica, local_time):
                plan = self._plan(process)
                reply, proposal = process.scheduler.handle_poll(message, plan, replica.last_applied, local_time)
                self._send(process.name, message.name, reply)
                if proposal is not None and replica.last_applied == replica.journal.last_index_and_term()[0]:
                    self._propose(process, replica, proposal, local_time)
            elif replica.leader not in ("", process.name) and not message.hops:
                self._send(process.name, replica.leader, structs.replace(message, hops=1))

    def may_lead(self, replica: Replica, local_time: timedelta) -> bool:
        """Return whether this voter leads and has applied everything that was committed before."""
        return replica.is_active_leader(local_time)

    # The leader.

    def _plan(self, process: Process) -> PlanState:
        assert process.replica is not None
        if process.plan_cache_index != process.replica.last_applied:
            process.plan_cache = process.replica.last_applied, load_state(process.replica.values)
            process.plan_cache_index = process.replica.last_applied
        return process.plan_cache[1]

    def _propose(self, process: Process, replica: Replica, proposal: tuple[str, str], local_time: timedelta) -> None:
        _, outgoing = replica.propose(*proposal, local_time)
        self._send_all(process, outgoing)
        self._check_changes(process)

    def _lead(self, process: Process, replica: Replica, scheduler: Scheduler, local_time: timedelta) -> None:
        if not self.may_lead(replica, local_time):
            process.commands.clear()
            return
        plan = self._plan(process)
        scheduler.begin_term(replica.term, local_time)
        scheduler.apply(plan, replica.last_applied, local_time)
        if replica.last_applied != replica.journal.last_index_and_term()[0]:
            return  # an earlier proposal is not committed yet
        roster_entries = scheduler.roster_updates(plan)
        for entry in roster_entries:
            self._propose(process, replica, entry, local_time)
        if roster_entries:
            return
        if process.queued_entries:
            self._propose(process, replica, process.queued_entries.pop(0), local_time)
            return
        for machine in plan.machines.values():
            if machine.stage is Stage.OUT and plan.is_active and machine.name not in process.commands:
                process.commands.add(machine.name)
                self._run_command(process, machine.name, replica.term)
        proposal = scheduler.next_step(
            plan, self._candidates(process, plan.targets_balancers, plan, local_time), local_time
        )
        if proposal is not None:
            self._propose(process, replica, proposal, local_time)
        if scheduler.should_step_down:
            self._send_all(process, replica.transfer_leadership(local_time))

    def _run_command(self, process: Process, name: str, term: int) -> None:
        """Restart the machine; the next leader restarts it again if it is still out."""
        if name.startswith(BALANCER_PREFIX):
            self.restart(name.removeprefix(BALANCER_PREFIX))
        else:
            self.machines[name].up = False

        def finish() -> None:
            if name in self.machines:
                self.machines[name].up, self.machines[name].started_at = True, self.now
            if process.running and process.scheduler is not None and process.scheduler.term == term:
                process.scheduler.finished.add(name)

        self.schedule(SECOND * self.random.uniform(0.2, 2), finish)

    def _candidates(
        self, process: Process, targets_balancers: bool, plan: PlanState, local_time: timedelta
    ) -> dict[str, MachineView]:
        """Return the machines that a plan may name, as this leader sees them."""
        if not targets_balancers:
            return self.fleet(plan)
        assert process.scheduler is not None
        return {
            BALANCER_PREFIX + name: MachineView(
                f"hall-{int(name[1:]) % 2}",
                is_voter=name in self.voters,
                is_leader=name == process.name,
                up=process.scheduler.is_serving(name, local_time),
            )
            for name in plan.roster
        }

    def fleet(self, plan: PlanState) -> dict[str, MachineView]:
        """Return all image servers; a restarted one takes 4 s to become warm."""
        warm_up = 4 * SECOND
        return {
            m.name: MachineView(
                m.hall,
                1.0,
                1.0 if m.started_at is None else min(1.0, 0.2 + 0.8 * ((self.now - m.started_at) / warm_up)),
                m.up,
            )
            for m in self.machines.values()
        }

    # Operators.

    def leader(self) -> Process | None:
        """Return the process that leads now, if any."""
        for name in self.voters:
            process = self.processes[name]
            if (
                process.running
                and not process.paused
                and process.replica is not None
                and process.replica.is_active_leader(self.clock(process))
            ):
                return process
        return None

    def start_plan(self, id_: str, limits: Limits, machines: Iterable[str] | None = None) -> None:
        """Start a plan at the leader. If the leader fails before all entries are committed, the plan has no effect."""
        leader = self.leader()
        if leader is None or leader.replica is None or self._plan(leader).is_active:
            return
        request = PlanRequest(tuple(machines or self.machines), "test", limits)
        fleet = self._candidates(leader, request.targets_balancers, self._plan(leader), self.clock(leader))
        names, fallback_count = order_machines(request, fleet)
        leader.queued_entries = list(
            plan_state.plan_entries(id_, request, names, fallback_count, leader.replica.values)
        )

    def abort_plan(self) -> None:
        """Abort the active plan at the leader, if there are both."""
        leader = self.leader()
        if leader is not None and leader.replica is not None and self._plan(leader).is_active:
            leader.queued_entries.append(plan_state.status_entry(self._plan(leader).id, Status.ABORTED))

    def is_finished(self) -> bool:
        """Return whether there is a leader, and no active plan."""
        leader = self.leader()
        return leader is not None and not self._plan(leader).is_active and not leader.queued_entries

    # Invariants.

    def _check_changes(self, process: Process) -> None:
        """Check the invariants on the plan as this voter has applied it."""
        assert process.replica is not None
        replica = process.replica
        if not replica.changes:
            return
        changes, replica.changes = replica.changes, []
        plan = self._plan(process)
        if plan.status is Status.ABORTED:
            self.aborted_plans.add(plan.id)
        for key, value in changes:
            if key.startswith(plan_state.KEY_PREFIX + "m/") and value:
                self._check_stage(process, key, plan)
        in_progress = [m.name for m in plan.machines.values() if m.stage in IN_PROGRESS_STAGES]
        if plan.is_active and len(in_progress) > plan.limits.max_out:
            self._fail(f"{in_progress} are in progress in {process.name}'s view")
        voters = [name for name in in_progress if name.removeprefix(BALANCER_PREFIX) in self.voters]
        if plan.is_active and 2 * len(voters) >= len(self.voters):
            self._fail(f"{voters} are in progress, and no majority is left")

    def _check_stage(self, process: Process, key: str, plan: PlanState) -> None:
        """Record a machine's stage the first time that a voter applies it, and check the invariants on it."""
        name = key.removeprefix(plan_state.KEY_PREFIX + "m/")
        machine = plan.machines.get(name)
        if machine is None or process.replica is None:
            return
        index, previous = self.stages.get(name, (0, Stage.WAITING))
        if process.replica.last_applied <= index:
            return
        self.stages[name] = process.replica.last_applied, machine.stage
        self.machines_out = [n for n, (_, stage) in self.stages.items() if stage is Stage.OUT]
        if previous is machine.stage:
            return
        if machine.stage is Stage.LEAVING and plan.id in self.aborted_plans:
            self._fail(f"{name} leaves, and its plan was aborted")
        if machine.stage is Stage.OUT:
            for other in self.processes.values():
                self._check_process(other)

    def _check_process(self, process: Process) -> None:
        """Raise InvariantError if a balancer process may send to a machine that is out, or has none to send to."""
        if not process.running or process.paused:
            return
        local_time, participant = self.lease_clock(process), process.participant
        if not participant.plan_id:
            return
        for name in self.machines_out:
            if name.startswith(BALANCER_PREFIX):
                if name == participant.machine_name and not participant.is_excluded:
                    self._fail(f"{name} is out, and serves")
            elif participant.allows(name, local_time):
                self._fail(
                    f"{name} is out, and {process.name} ({participant.lease_state(local_time)}) would send there"
                )
        if not any(participant.allows(name, local_time) for name in self.machines):
            self._fail(f"{process.name} has nowhere to send")

    def lease_clock(self, process: Process) -> timedelta:
        """Return the time that a balancer's leases go by; a wall clock would violate the invariants."""
        return self.clock(process)

    def _fail(self, text: str) -> None:
        raise InvariantError(f"{(self.now - self.start_time).total_seconds():.2f}: {text}; {self.fault_log}")

    # A run under random faults.

    def run_scenario(self, faults: int = 8) -> None:
        """Run a plan under random faults; raises InvariantError."""
        random = self.random
        self.run(4 * SECOND, until=lambda: self.leader() is not None)
        self.run(2 * SECOND)  # until the balancers are in the roster
        limits = Limits(
            max_out=random.choice((1, 2, 3)),
            min_capacity=random.choice((0.5, 0.7)),
            single_hall=random.random() < 0.5,
        )
        self.loss_rate = random.choice((0.0, 0.05))
        # A quarter of the plans restart balancers instead of machines. That is drawn from another generator, so that it
        # does not change the random values of the rest of the run.
        restart_balancers = Random(f"kind {self.seed}").random() < 0.25 and len(self.voters) >= 3
        for _ in range(20):  # refused while some of its balancers are not in the roster
            with suppress(PlanError):
                self.start_plan(
                    "p1", limits, [BALANCER_PREFIX + name for name in self.names] if restart_balancers else None
                )
                break
            self.run(SECOND)
        for _ in range(faults):
            self.run(SECOND * random.uniform(0.1, 4))
            self._inject_fault()
        if random.random() < 0.3:
            self.fault_log.append(f"{(self.now - self.start_time).total_seconds():.2f} abort")
            self.abort_plan()
        self.run(SECOND * random.uniform(0, 40))
        self.drop_rules.clear()
        self.loss_rate = 0.0
        for name, process in self.processes.items():
            process.paused = False
            if not process.running:
                self.restart(name)
        if not self.run(600 * SECOND, until=self._throttled(self.is_finished)):
            leader = self.leader()
            progress = (
                None
                if leader is None or leader.scheduler is None
                else leader.scheduler.progress(self._plan(leader), self.clock(leader))
            )
            self._fail(f"the plan has not ended 10 min after the faults: {progress}")
        leader = self.leader()
        if leader is not None and any(m.stage not in FINAL_STAGES for m in self._plan(leader).machines.values()):
            self._fail("a machine is left in progress")

    def _throttled(self, condition: Callable[[], bool]) -> Callable[[], bool]:
        """Return a condition that is evaluated once in a simulated second and is False in between."""
        last = [self.now]

        def check() -> bool:
            if self.now - last[0] < SECOND:
                return False
            last[0] = self.now
            return condition()

        return check

    def _inject_fault(self) -> None:
        random = self.random
        leader = self.leader()
        likely_targets = [*self.voters, *([leader.name] * 4 if leader is not None else [])]
        name = random.choice(likely_targets if random.random() < 0.6 else self.names)
        process = self.processes[name]
        duration = SECOND * random.choice((0.5, 1, 2, 4, 8, 20, 45))
        kind = random.choice(
            (
                "kill",
                "restart",
                "pause",
                "pause",
                "alone",
                "split",
                "deaf",
                "mute",
                "loss",
                "clock",
                "machine",
                "all voters",
            )
        )
        self.fault_log.append(
            f"{(self.now - self.start_time).total_seconds():.2f} {kind} {name} {duration.total_seconds()}"
        )
        key = f"{kind} {self.now}"
        match kind:
            case "kill":
                self.kill(name)
                self.schedule(duration, lambda: self.restart(name))
            case "restart":
                self.restart(name)
            case "pause" if process.running:
                self.pause(name, duration)
            case "alone":
                self._drop(key, duration, lambda a, b: (a == name) != (b == name))
            case "split":
                half = set(random.sample(self.names, max(1, len(self.names) // 2)))
                self._drop(key, duration, lambda a, b: (a in half) != (b in half))
            case "deaf":
                self._drop(key, duration, lambda a, b: b == name)
            case "mute":
                self._drop(key, duration, lambda a, b: a == name)
            case "loss":
                self._drop(key, duration, lambda a, b: random.random() < 0.4)
            case "clock":
                process.wall_clock_error = SECOND * random.uniform(-60, 60)
            case "machine":
                machine = random.choice(list(self.machines.values()))
                machine.up = False
                self.schedule(duration, lambda: self._recover(machine))
            case "all voters":
                for voter in self.voters:
                    self.restart(voter)

    def _recover(self, machine: Machine) -> None:
        machine.up, machine.started_at = True, self.now

    def _drop(self, key: str, duration: timedelta, rule: Callable[[str, str], bool]) -> None:
        """Lose the messages that match ``rule`` for a while."""
        self.drop_rules[key] = rule
        self.schedule(duration, lambda: self.drop_rules.pop(key, None) and None)
