"""The membership protocol in simulated time, on a network that delays, loses, duplicates and cuts messages.

One heap of events and random numbers from one seed: a seed gives the same run each time. A paused process receives
nothing until it wakes, and then everything that its socket buffer holds, before its next step. A starved process runs
for a part of each 100 ms only. A ``watch`` callback may check invariants after every step.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from bramblestile.clock import MICROSECOND, ZERO_DURATION
from bramblestile.fleet.membership import Address, Change, Membership, ProtocolConfig
from bramblestile.fleet.messages import MemberRecord, Message, to_msgpack
from bramblestile.fleet.sealing import OVERHEAD_BYTES

BUFFER_DATAGRAMS = 256  # that the socket of a paused process holds; later ones are lost
SCHEDULING_PERIOD = timedelta(milliseconds=100)  # a starved process runs for its share of each period
MILLISECOND = timedelta(milliseconds=1)
DropRule = Callable[[str, str], bool]  # whether a datagram from the first to the second is lost


@dataclass(slots=True)
class Network:
    """Properties of the network; ``drop_rules`` have names, so that each can be removed."""

    min_delay: timedelta = MILLISECOND / 5
    max_delay: timedelta = 2 * MILLISECOND
    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    drop_rules: dict[str, DropRule] = field(default_factory=dict)


@dataclass(slots=True)
class Process:
    """A simulated member.

    Attributes:
        name: The member's name.
        membership: Its membership protocol.
        running: Whether it has not been killed.
        paused: Whether it is suspended.
        cpu_share: Its share of a core.
        phase: Where its part of each scheduling period begins.
        inbox: Datagrams in its socket buffer, each with the sender's address.
        planned_at: When its next step is planned; None: not planned.
        sent: Number of datagrams sent.
        sent_bytes: Bytes sent.
        received: Number of datagrams received.
    """

    name: str
    membership: Membership
    running: bool = True
    paused: bool = False
    cpu_share: float = 1.0
    phase: timedelta = ZERO_DURATION
    inbox: deque[tuple[Address, Message]] = field(default_factory=deque)
    planned_at: timedelta | None = None
    sent: int = 0
    sent_bytes: int = 0
    received: int = 0


class MembershipSimulation:
    """A network of simulated members."""

    def __init__(self, seed: int, config: ProtocolConfig | None = None) -> None:
        self.random = Random(f"network {seed}")
        self.seed, self.config = seed, config or ProtocolConfig()
        self.now = timedelta(days=20_000)
        self.network = Network()
        self.processes: dict[Address, Process] = {}
        self.by_name: dict[str, Process] = {}
        self.changes: list[tuple[timedelta, str, Change]] = []  # when, in whose view, what
        self.watch: Callable[[Process], None] | None = None
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._count = 0
        self._starts = 0

    # Control.

    def start(
        self, name: str, seeds: Iterable[str] = (), address: Address | None = None, epoch: int | None = None
    ) -> Process:
        """Start a member; one of the same name at the same address replaces the process before."""
        self._starts += 1
        old = self.by_name.get(name)
        process_address = address or (old.membership.local.host, old.membership.local.port) if old else address
        process_address = process_address or (f"127.9.{len(self.processes) >> 8}.{len(self.processes) & 255}", 7)
        epoch = self.now // MICROSECOND << 11 | self._starts & 2047 if epoch is None else epoch
        random = Random(f"member {self.seed} {name} {self._starts}")
        seed_addresses = [
            (p.membership.local.host, p.membership.local.port) for s in seeds if (p := self.by_name.get(s))
        ]
        process = Process(
            name, Membership(MemberRecord(name, *process_address, epoch), seed_addresses, random, self.now, self.config)
        )
        process.phase = SCHEDULING_PERIOD * random.random()
        self.processes[process_address] = self.by_name[name] = process
        self._plan_step(process)
        return process

    def kill(self, name: str) -> None:
        """Kill a member's process."""
        self.by_name[name].running = False

    def pause(self, name: str, duration: timedelta) -> None:
        """Suspend a member's process for a while."""
        process = self.by_name[name]
        process.paused = True
        self.schedule(duration, lambda: self._wake(process))

    def _wake(self, process: Process) -> None:
        process.paused = False
        self._step(process)

    def schedule(self, delay: timedelta, callback: Callable[[], None]) -> None:
        """Call ``callback`` when ``delay`` has passed in simulated time."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay, self._count, callback))

    def run(self, duration: timedelta, until: Callable[[], bool] | None = None) -> timedelta:
        """Advance simulated time; return how long it took until ``until`` held, or else ``duration``."""
        began = self.now
        while self._events and self._events[0][0] <= began + duration:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
            if until is not None and until():
                return self.now - began
        self.now = began + duration
        return duration

    # Processes.

    def _runnable_at(self, process: Process, time: timedelta) -> timedelta:
        """Return the first moment from ``time`` on in which a starved process has the core."""
        if process.cpu_share >= 1:
            return time
        into_period = (time - process.phase) % SCHEDULING_PERIOD
        return time if into_period < SCHEDULING_PERIOD * process.cpu_share else time + SCHEDULING_PERIOD - into_period

    def _plan_step(self, process: Process) -> None:
        next_step_at = self._runnable_at(process, max(self.now, process.membership.next_step_at()))
        if process.planned_at is not None and process.planned_at <= next_step_at and process.planned_at > self.now:
            return
        process.planned_at = next_step_at
        self.schedule(next_step_at - self.now, lambda: self._planned_step(process, next_step_at))

    def _planned_step(self, process: Process, due: timedelta) -> None:
        if process.planned_at == due:
            self._step(process)

    def _step(self, process: Process) -> None:
        if not process.running or process.paused:
            return
        runnable_at = self._runnable_at(process, self.now)
        if runnable_at > self.now:
            self._plan_step(process)
            return
        membership = process.membership
        while process.inbox:
            source, message = process.inbox.popleft()
            process.received += 1
            self._send(process, membership.receive(message, source, self.now))
        process.planned_at = None
        if membership.next_step_at() <= self.now:
            self._send(process, membership.step(self.now))
        if membership.changes:
            self.changes += [(self.now, process.name, change) for change in membership.changes]
            membership.changes.clear()
        if self.watch is not None:
            self.watch(process)
        self._plan_step(process)

    def _send(self, process: Process, outgoing: list[tuple[Address, Message]]) -> None:
        net, draw = self.network, self.random.random
        for recipient, message in outgoing:
            process.sent += 1
            process.sent_bytes += len(to_msgpack(message)) + OVERHEAD_BYTES
            target = self.processes.get(recipient)
            if target is None or any(rule(process.name, target.name) for rule in net.drop_rules.values()):
                continue
            for _ in range(1 + (draw() < net.duplication_rate)):
                if draw() >= net.loss_rate:
                    self._deliver(
                        process,
                        target,
                        message,
                        net.min_delay + (net.max_delay - net.min_delay) * draw(),
                    )

    def _deliver(self, process: Process, target: Process, message: Message, delay: timedelta) -> None:
        source = process.membership.local.host, process.membership.local.port

        def arrive() -> None:
            if target.running and len(target.inbox) < BUFFER_DATAGRAMS:
                target.inbox.append((source, message))
                self._step(target)

        self.schedule(delay, arrive)

    # Queries.

    def live_processes(self) -> list[Process]:
        """Return the processes that run."""
        return [p for p in self.processes.values() if p.running]

    def has_converged(self) -> bool:
        """Return whether every running process considers exactly the running ones alive."""
        names = {p.name for p in self.live_processes()}
        return all({r.name for r in p.membership.live_members()} == names for p in self.live_processes())

    def start_members(self, count: int, join_timeout: timedelta = timedelta(seconds=30)) -> list[str]:
        """Start ``count`` members and let them find each other; return their names."""
        names = [f"b{n:04}" for n in range(count)]
        for name in names:
            self.start(name, seeds=names[:3])
        self.run(join_timeout, until=self._throttled(self.has_converged))
        return names

    def _throttled(self, condition: Callable[[], bool]) -> Callable[[], bool]:
        """Return a condition that is evaluated every 50 ms, as it is expensive, and is False in between."""
        last = [self.now]

        def check() -> bool:
            if self.now - last[0] < 50 * MILLISECOND:
                return False
            last[0] = self.now
            return condition()

        return check

    def run_until(self, condition: Callable[[], bool], timeout: timedelta) -> timedelta:
        """Run until a condition holds, ``timeout`` at most; return the simulated time that passed."""
        return self.run(timeout, until=self._throttled(condition))
