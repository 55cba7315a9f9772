"""Memberships in simulated time: as many as wanted, on a network that delays, loses, doubles, cuts and goes one way.

One heap of events and one tree of random numbers: a seed gives the same run each time. A process that is paused hears
nothing until it wakes, and then all that its buffer holds, before its next step; one that is starved runs for a part
of each 100 ms only. What must hold is looked at after every step, by whoever passes a ``watch``.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from bramblestile.clock import MICROSECOND, NOTHING
from bramblestile.fleet.members import Address, Change, Members, Pace
from bramblestile.fleet.messages import Fact, Message, encoded
from bramblestile.fleet.sealing import OVERHEAD

BUFFER = 256  # datagrams that a paused process's socket holds; later ones are lost
TURN = timedelta(milliseconds=100)  # of a starved process's share
MILLISECOND = timedelta(milliseconds=1)
Cut = Callable[[str, str], bool]  # whether a datagram from the first to the second is lost


@dataclass(slots=True)
class Network:
    """``cuts``: by name, so that a fault can be lifted."""

    least: timedelta = MILLISECOND / 5
    most: timedelta = 2 * MILLISECOND
    loss: float = 0.0
    doubled: float = 0.0
    cuts: dict[str, Cut] = field(default_factory=dict)


@dataclass(slots=True)
class Process:
    name: str
    members: Members
    running: bool = True
    paused: bool = False
    share: float = 1.0  # of a core
    phase: timedelta = NOTHING  # where its part of each turn lies
    waiting: deque[tuple[Address, Message]] = field(default_factory=deque)
    woken: timedelta | None = None  # the step that is planned
    sent: int = 0
    sent_bytes: int = 0
    heard: int = 0


class Simulation:
    def __init__(self, seed: int, pace: Pace | None = None) -> None:
        self.random = Random(f"network {seed}")
        self.seed, self.pace = seed, pace or Pace()
        self.at = timedelta(days=20_000)
        self.network = Network()
        self.processes: dict[Address, Process] = {}
        self.by_name: dict[str, Process] = {}
        self.changes: list[tuple[timedelta, str, Change]] = []  # when, in whose view, what
        self.watch: Callable[[Process], None] | None = None
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._count = 0
        self._starts = 0

    # The stage.

    def start(
        self, name: str, seeds: Iterable[str] = (), address: Address | None = None, life: int | None = None
    ) -> Process:
        """Another start of the same name at its address takes the place of the process before."""
        self._starts += 1
        old = self.by_name.get(name)
        where = address or (old.members.me.host, old.members.me.port) if old else address
        where = where or (f"127.9.{len(self.processes) >> 8}.{len(self.processes) & 255}", 7)
        life = self.at // MICROSECOND << 11 | self._starts & 2047 if life is None else life
        random = Random(f"member {self.seed} {name} {self._starts}")
        asked = [(p.members.me.host, p.members.me.port) for s in seeds if (p := self.by_name.get(s))]
        made = Process(name, Members(Fact(name, *where, life), asked, random, self.at, self.pace))
        made.phase = TURN * random.random()
        self.processes[where] = self.by_name[name] = made
        self._plan(made)
        return made

    def kill(self, name: str) -> None:
        self.by_name[name].running = False

    def pause(self, name: str, span: timedelta) -> None:
        process = self.by_name[name]
        process.paused = True
        self.after(span, lambda: self._wake(process))

    def _wake(self, process: Process) -> None:
        process.paused = False
        self._run(process)

    def after(self, span: timedelta, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.at + span, self._count, what))

    def run(self, span: timedelta, until: Callable[[], bool] | None = None) -> timedelta:
        """How long it took until ``until`` held, or ``span``."""
        began = self.at
        while self._events and self._events[0][0] <= began + span:
            self.at, _, what = heapq.heappop(self._events)
            what()
            if until is not None and until():
                return self.at - began
        self.at = began + span
        return span

    # Processes.

    def _runs_at(self, process: Process, at: timedelta) -> timedelta:
        """The first moment from ``at`` on in which a starved process has the core."""
        if process.share >= 1:
            return at
        into = (at - process.phase) % TURN
        return at if into < TURN * process.share else at + TURN - into

    def _plan(self, process: Process) -> None:
        due = self._runs_at(process, max(self.at, process.members.due()))
        if process.woken is not None and process.woken <= due and process.woken > self.at:
            return
        process.woken = due
        self.after(due - self.at, lambda: self._wakes(process, due))

    def _wakes(self, process: Process, due: timedelta) -> None:
        if process.woken == due:
            self._run(process)

    def _run(self, process: Process) -> None:
        if not process.running or process.paused:
            return
        ready = self._runs_at(process, self.at)
        if ready > self.at:
            self._plan(process)
            return
        members = process.members
        while process.waiting:
            source, message = process.waiting.popleft()
            process.heard += 1
            self._send(process, members.hear(message, source, self.at))
        process.woken = None
        if members.due() <= self.at:
            self._send(process, members.step(self.at))
        if members.changes:
            self.changes += [(self.at, process.name, change) for change in members.changes]
            members.changes.clear()
        if self.watch is not None:
            self.watch(process)
        self._plan(process)

    def _send(self, process: Process, out: list[tuple[Address, Message]]) -> None:
        net, draw = self.network, self.random.random
        for to, message in out:
            process.sent += 1
            process.sent_bytes += len(encoded(message)) + OVERHEAD
            target = self.processes.get(to)
            if target is None or any(cut(process.name, target.name) for cut in net.cuts.values()):
                continue
            for _ in range(1 + (draw() < net.doubled)):
                if draw() >= net.loss:
                    self._deliver(process, target, message, net.least + (net.most - net.least) * draw())

    def _deliver(self, process: Process, target: Process, message: Message, span: timedelta) -> None:
        source = process.members.me.host, process.members.me.port

        def arrive() -> None:
            if target.running and len(target.waiting) < BUFFER:
                target.waiting.append((source, message))
                self._run(target)

        self.after(span, arrive)

    # What can be asked.

    def living(self) -> list[Process]:
        return [p for p in self.processes.values() if p.running]

    def agreed(self) -> bool:
        """Every process that runs takes exactly those for living that run."""
        names = {p.name for p in self.living()}
        return all({f.name for f in p.members.living()} == names for p in self.living())

    def fleet(self, count: int, joined_within: timedelta = timedelta(seconds=30)) -> list[str]:
        """So many members that know each other."""
        names = [f"b{n:04}" for n in range(count)]
        for name in names:
            self.start(name, seeds=names[:3])
        self.run(joined_within, until=self._now_and_then(self.agreed))
        return names

    def _now_and_then(self, asked: Callable[[], bool]) -> Callable[[], bool]:
        """Costly questions are asked every 50 ms only."""
        last = [self.at]

        def look() -> bool:
            if self.at - last[0] < 50 * MILLISECOND:
                return False
            last[0] = self.at
            return asked()

        return look

    def until(self, asked: Callable[[], bool], within: timedelta) -> timedelta:
        return self.run(within, until=self._now_and_then(asked))
