"""The order of work in simulated time: voters, a leader, balancers and machines, with faults drawn from a seed.

Looked at after every step of every process: no machine is out while a balancer that has heard of its plan, in this
life or in what the last one kept, would send there; never more are on their way than the plan allows, in any peer's
view; nothing leaves under a plan that was aborted; no balancer has nowhere to send. When the faults are over the plan
ends and no machine is forgotten out. Each process has a clock of its own that runs up to 5% fast or slow, and a wall
clock that is set now and then, which nothing may go by.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from msgspec import structs

from bramblestile.clock import NOTHING
from bramblestile.store.journal import Journal
from bramblestile.store.replica import DRIFT, Message, Replica
from bramblestile.work import order as keys
from bramblestile.work.foreman import Foreman
from bramblestile.work.hand import Hand
from bramblestile.work.messages import Poll, Reply
from bramblestile.work.order import ON_THE_WAY, OVER, Order, Stage, Status, load
from bramblestile.work.plan import BALANCER, Asked, Limits, PlanError
from bramblestile.work.planner import Seen, settle

SECOND = timedelta(seconds=1)
STEP = timedelta(milliseconds=50)
TURN = timedelta(milliseconds=100)
Letter = Message | Poll | Reply


class BrokenError(Exception):
    """What did not hold, and when."""


@dataclass(slots=True)
class Process:
    name: str
    rate: float
    offset: timedelta
    hand: Hand
    replica: Replica | None = None
    foreman: Foreman | None = None
    running: bool = True
    paused: bool = False
    wall: timedelta = NOTHING  # how far its wall clock is off; nothing may go by it
    waiting: list[tuple[str, Letter]] = field(default_factory=list)
    version: tuple[int, Order] = (-1, Order())
    version_of: int = -1
    busy: timedelta = NOTHING  # until when a send to a machine that it has just left goes on
    plan_keys: list[tuple[str, str]] = field(default_factory=list)
    working: set[str] = field(default_factory=set)  # machines whose command runs at this leader
    epoch: int = 0
    clocked: tuple[timedelta, timedelta] = (NOTHING, NOTHING)  # its clock, as last asked for


@dataclass(slots=True)
class Machine:
    name: str
    hall: str
    born: timedelta | None = None
    up: bool = True


class Works:
    """One run. ``restore``: a restarted balancer has what the one before kept."""

    def __init__(self, seed: int, balancers: int, machines: int = 12, voters: int = 3) -> None:
        self.random = Random(f"works {seed}")
        self.seed = seed
        self.at = timedelta(days=20_000)
        self.began = self.at
        self.names = [f"b{n:03}" for n in range(balancers)]
        self.voters = self.names[: min(voters, balancers)]
        self.machines = {f"m{n:02}": Machine(f"m{n:02}", f"hall-{n % 2}") for n in range(machines)}
        self.processes: dict[str, Process] = {}
        self.cuts: dict[str, Callable[[str, str], bool]] = {}
        self.loss = 0.0
        self.log: list[str] = []
        self.stages: dict[str, tuple[int, Stage]] = {}  # as committed: the place in the log, and the stage
        self.out: list[str] = []  # by these
        self.aborted: set[str] = set()
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._count = 0
        for name in self.names:
            self._start(name, None)

    # Time.

    def after(self, span: timedelta, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.at + span, self._count, what))

    def run(self, span: timedelta, until: Callable[[], bool] | None = None) -> bool:
        end = self.at + span
        while self._events and self._events[0][0] <= end:
            self.at, _, what = heapq.heappop(self._events)
            what()
            if until is not None and until():
                return True
        self.at = end
        return until is None

    def clock(self, process: Process) -> timedelta:
        if process.clocked[0] is not self.at:
            process.clocked = self.at, process.offset + (self.at - self.began) * process.rate + timedelta(days=1)
        return process.clocked[1]

    # Processes.

    def _start(self, name: str, before: Process | None) -> None:
        random = self.random
        rate, offset = 1 + DRIFT * random.uniform(-1, 1), SECOND * random.uniform(0, 1000)
        made = Process(name, rate, offset, Hand(name, self._count + 1))
        made.epoch = 0 if before is None else before.epoch + 1
        if before is not None:
            self._restore(made.hand, before.hand)
        at = self.clock(made)
        if name in self.voters:
            journal = Journal(None) if before is None or before.replica is None else before.replica.journal
            made.replica = Replica(name, self.voters, journal, Random(f"{self.seed} {name} {made.epoch}"), at, 900)
            made.foreman = Foreman(name)
        self.processes[name] = made
        self._tick(made)

    def _restore(self, hand: Hand, old: Hand) -> None:
        """What is kept on disk at every change."""
        for part in ("term", "seen", "plan", "status", "ahead", "count", "alone", "window", "refuge", "over", "names"):
            setattr(hand, part, getattr(old, part))

    def kill(self, name: str) -> None:
        self.processes[name].running = False

    def restart(self, name: str) -> None:
        self.kill(name)
        self._start(name, self.processes[name])

    def pause(self, name: str, span: timedelta) -> None:
        process = self.processes[name]
        process.paused = True
        self.after(span, lambda: self._wake(process))

    def _wake(self, process: Process) -> None:
        process.paused = False

    def _tick(self, process: Process) -> None:
        if not process.running:
            return
        if not process.paused:
            self._work(process)
        self.after(STEP * self.random.uniform(0.6, 1.4), lambda: self._tick(process))

    def _work(self, process: Process) -> None:
        letters, process.waiting = process.waiting, []
        for sender, letter in letters:
            self._hear(process, sender, letter)
        at = self.clock(process)
        if process.replica is not None and process.foreman is not None:
            self._send_mail(process, process.replica.tick(at))
            self._lead(process, process.replica, process.foreman, at)
        at = self.hand_clock(process)
        if at >= process.hand.due:
            quiet = process.hand.alone if at >= process.busy else [n for n in process.hand.alone if n[:1] == BALANCER]
            to = (
                process.hand.leader
                if process.hand.leader and self.random.random() < 0.7
                else self.random.choice(self.voters)
            )
            self._send(process.name, to, process.hand.poll(at, quiet, {}))
        self._look(process)

    def _send_mail(self, process: Process, mail: Iterable[tuple[str, Message]]) -> None:
        for to, message in mail:
            self._send(process.name, to, message)

    def _send(self, source: str, to: str, letter: Letter) -> None:
        if any(cut(source, to) for cut in self.cuts.values()) or self.random.random() < self.loss:
            return
        span = timedelta(milliseconds=self.random.uniform(0.2, 20))
        if self.random.random() < 0.01:
            span += SECOND * self.random.uniform(0, 4)  # held up somewhere

        def arrive() -> None:
            target = self.processes[to]
            if target.running and len(target.waiting) < 200:
                target.waiting.append((source, letter))

        self.after(span, arrive)

    def _hear(self, process: Process, sender: str, letter: Letter) -> None:
        at = self.clock(process)
        if isinstance(letter, Reply):
            before, of_hand = dict(process.hand.alone), self.hand_clock(process)
            process.hand.hear(letter, of_hand)
            if set(process.hand.alone) - set(before):
                process.busy = of_hand + SECOND * self.random.uniform(0, 0.3)
        elif isinstance(letter, Message):
            if process.replica is not None:
                self._send_mail(process, process.replica.receive(letter, at))
                self._applied(process)
        elif process.replica is not None and process.foreman is not None:
            replica = process.replica
            if self.may_act(replica, at):
                order = self._order(process)
                reply, proposal = process.foreman.hear(letter, order, replica.applied, at)
                self._send(process.name, letter.name, reply)
                if proposal is not None and replica.applied == replica.journal.last()[0]:
                    self._propose(process, replica, proposal, at)
            elif replica.leader not in ("", process.name) and not letter.hops:
                self._send(process.name, replica.leader, structs.replace(letter, hops=1))

    def may_act(self, replica: Replica, at: timedelta) -> bool:
        return replica.leads_and_knows(at)

    # The leader's office.

    def _order(self, process: Process) -> Order:
        assert process.replica is not None
        if process.version_of != process.replica.applied:
            process.version = process.replica.applied, load(process.replica.values)
            process.version_of = process.replica.applied
        return process.version[1]

    def _propose(self, process: Process, replica: Replica, proposal: tuple[str, str], at: timedelta) -> None:
        _, mail = replica.propose(*proposal, at)
        self._send_mail(process, mail)
        self._applied(process)

    def _lead(self, process: Process, replica: Replica, foreman: Foreman, at: timedelta) -> None:
        if not self.may_act(replica, at):
            process.working.clear()
            return
        order = self._order(process)
        foreman.lead(replica.term, at)
        foreman.apply(order, replica.applied, at)
        if replica.applied != replica.journal.last()[0]:
            return  # one thing at a time
        entering = foreman.to_enter(order)
        for entry in entering:
            self._propose(process, replica, entry, at)
        if entering:
            return
        if process.plan_keys:
            self._propose(process, replica, process.plan_keys.pop(0), at)
            return
        for machine in order.machines.values():
            if machine.stage is Stage.OUT and order.is_on and machine.name not in process.working:
                process.working.add(machine.name)
                self._command(process, machine.name, replica.term)
        proposal = foreman.step(order, self._seen(process, order.of_balancers, order, at), at)
        if proposal is not None:
            self._propose(process, replica, proposal, at)
        if foreman.hands_over:
            self._send_mail(process, replica.hand_over(at))

    def _command(self, process: Process, name: str, term: int) -> None:
        """The machine is restarted; run a second time by the next leader it is restarted again."""
        if name.startswith(BALANCER):
            self.restart(name.removeprefix(BALANCER))
        else:
            self.machines[name].up = False

        def done() -> None:
            if name in self.machines:
                self.machines[name].up, self.machines[name].born = True, self.at
            if process.running and process.foreman is not None and process.foreman.term == term:
                process.foreman.finished.add(name)

        self.after(SECOND * self.random.uniform(0.2, 2), done)

    def _seen(self, process: Process, of_balancers: bool, order: Order, at: timedelta) -> dict[str, Seen]:
        """What a plan may name, as this leader sees it."""
        if not of_balancers:
            return self.fleet(order)
        assert process.foreman is not None
        return {
            BALANCER + name: Seen(
                f"hall-{int(name[1:]) % 2}",
                votes=name in self.voters,
                leads=name == process.name,
                up=process.foreman.serves(name, at),
            )
            for name in order.roster
        }

    def fleet(self, order: Order) -> dict[str, Seen]:
        warm = 4 * SECOND
        return {
            m.name: Seen(
                m.hall, 1.0, 1.0 if m.born is None else min(1.0, 0.2 + 0.8 * ((self.at - m.born) / warm)), m.up
            )
            for m in self.machines.values()
        }

    # Operators.

    def leader(self) -> Process | None:
        for name in self.voters:
            process = self.processes[name]
            if (
                process.running
                and not process.paused
                and process.replica is not None
                and process.replica.leads_and_knows(self.clock(process))
            ):
                return process
        return None

    def begin(self, id_: str, limits: Limits, machines: Iterable[str] | None = None) -> None:
        """At whoever leads; it may be lost half way, and then no part of it holds."""
        leader = self.leader()
        if leader is None or leader.replica is None or self._order(leader).is_on:
            return
        asked = Asked(tuple(machines or self.machines), "test", limits)
        fleet = self._seen(leader, asked.of_balancers, self._order(leader), self.clock(leader))
        names, tail = settle(asked, fleet)
        leader.plan_keys = list(keys.begin(id_, asked, names, tail, leader.replica.values))

    def abort(self) -> None:
        leader = self.leader()
        if leader is not None and leader.replica is not None and self._order(leader).is_on:
            leader.plan_keys.append(keys.status_key(self._order(leader).id, Status.ABORTED))

    def finished(self) -> bool:
        leader = self.leader()
        return leader is not None and not self._order(leader).is_on and not leader.plan_keys

    # What must hold.

    def _applied(self, process: Process) -> None:
        assert process.replica is not None
        replica = process.replica
        if not replica.news:
            return
        news, replica.news = replica.news, []
        order = self._order(process)
        if order.status is Status.ABORTED:
            self.aborted.add(order.id)
        for key, value in news:
            if key.startswith(keys.PREFIX + "m/") and value:
                self._staged(process, key, order)
        on_way = [m.name for m in order.machines.values() if m.stage in ON_THE_WAY]
        if order.is_on and len(on_way) > order.limits.most_out:
            self._broken(f"{on_way} are on their way in {process.name}'s view")
        voters = [name for name in on_way if name.removeprefix(BALANCER) in self.voters]
        if order.is_on and 2 * len(voters) >= len(self.voters):
            self._broken(f"{voters} are on their way, and no majority is left")

    def _staged(self, process: Process, key: str, order: Order) -> None:
        name = key.removeprefix(keys.PREFIX + "m/")
        machine = order.machines.get(name)
        if machine is None or process.replica is None:
            return
        place, before = self.stages.get(name, (0, Stage.WAITING))
        if process.replica.applied <= place:
            return
        self.stages[name] = process.replica.applied, machine.stage
        self.out = [n for n, (_, stage) in self.stages.items() if stage is Stage.OUT]
        if before is machine.stage:
            return
        if machine.stage is Stage.LEAVING and order.id in self.aborted:
            self._broken(f"{name} leaves, and its plan was aborted")
        if machine.stage is Stage.OUT:
            for other in self.processes.values():
                self._look(other)

    def _look(self, process: Process) -> None:
        if not process.running or process.paused:
            return
        at, hand = self.hand_clock(process), process.hand
        if not hand.plan:
            return
        for name in self.out:
            if name.startswith(BALANCER):
                if name == hand.me and not hand.is_out:
                    self._broken(f"{name} is out, and serves")
            elif hand.allows(name, at):
                self._broken(f"{name} is out, and {process.name} ({hand.heard_of(at)}) would send there")
        if not any(hand.allows(name, at) for name in self.machines):
            self._broken(f"{process.name} has nowhere to send")

    def hand_clock(self, process: Process) -> timedelta:
        """What a balancer's leases go by; a wall clock would not do."""
        return self.clock(process)

    def _broken(self, text: str) -> None:
        raise BrokenError(f"{(self.at - self.began).total_seconds():.2f}: {text}; {self.log}")

    # A drawn run.

    def play(self, faults: int = 8) -> None:
        random = self.random
        self.run(4 * SECOND, until=lambda: self.leader() is not None)
        self.run(2 * SECOND)  # the roster fills
        limits = Limits(random.choice((1, 2, 3)), random.choice((0.5, 0.7)), random.random() < 0.5)
        self.loss = random.choice((0.0, 0.05))
        rolling = Random(f"kind {self.seed}").random() < 0.25 and len(self.voters) >= 3
        for _ in range(20):  # refused while some of its balancers are not known to take part
            with suppress(PlanError):
                self.begin("p1", limits, [BALANCER + name for name in self.names] if rolling else None)
                break
            self.run(SECOND)
        for _ in range(faults):
            self.run(SECOND * random.uniform(0.1, 4))
            self._fault()
        if random.random() < 0.3:
            self.log.append(f"{(self.at - self.began).total_seconds():.2f} abort")
            self.abort()
        self.run(SECOND * random.uniform(0, 40))
        self.cuts.clear()
        self.loss = 0.0
        for name, process in self.processes.items():
            process.paused = False
            if not process.running:
                self.restart(name)
        if not self.run(600 * SECOND, until=self._now_and_then(self.finished)):
            leader = self.leader()
            shown = (
                None
                if leader is None or leader.foreman is None
                else leader.foreman.shown(self._order(leader), self.clock(leader))
            )
            self._broken(f"not at its end 10 min after the faults: {shown}")
        leader = self.leader()
        if leader is not None and any(m.stage not in OVER for m in self._order(leader).machines.values()):
            self._broken("a machine is forgotten on its way")

    def _now_and_then(self, asked: Callable[[], bool]) -> Callable[[], bool]:
        last = [self.at]

        def look() -> bool:
            if self.at - last[0] < SECOND:
                return False
            last[0] = self.at
            return asked()

        return look

    def _fault(self) -> None:
        random = self.random
        leader = self.leader()
        near = [*self.voters, *([leader.name] * 4 if leader is not None else [])]
        name = random.choice(near if random.random() < 0.6 else self.names)
        process = self.processes[name]
        span = SECOND * random.choice((0.5, 1, 2, 4, 8, 20, 45))
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
        self.log.append(f"{(self.at - self.began).total_seconds():.2f} {kind} {name} {span.total_seconds()}")
        key = f"{kind} {self.at}"
        match kind:
            case "kill":
                self.kill(name)
                self.after(span, lambda: self.restart(name))
            case "restart":
                self.restart(name)
            case "pause" if process.running:
                self.pause(name, span)
            case "alone":
                self._cut(key, span, lambda a, b: (a == name) != (b == name))
            case "split":
                half = set(random.sample(self.names, max(1, len(self.names) // 2)))
                self._cut(key, span, lambda a, b: (a in half) != (b in half))
            case "deaf":
                self._cut(key, span, lambda a, b: b == name)
            case "mute":
                self._cut(key, span, lambda a, b: a == name)
            case "loss":
                self._cut(key, span, lambda a, b: random.random() < 0.4)
            case "clock":
                process.wall = SECOND * random.uniform(-60, 60)
            case "machine":
                machine = random.choice(list(self.machines.values()))
                machine.up = False
                self.after(span, lambda: self._mend(machine))
            case "all voters":
                for voter in self.voters:
                    self.restart(voter)

    def _mend(self, machine: Machine) -> None:
        machine.up, machine.born = True, self.at

    def _cut(self, key: str, span: timedelta, cut: Callable[[str, str], bool]) -> None:
        self.cuts[key] = cut
        self.after(span, lambda: self.cuts.pop(key, None) and None)
