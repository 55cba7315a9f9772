"""The membership protocol under random faults, with its invariants checked after every step.

Invariants of each member's view: the recency of a record never goes back; no message is larger than a datagram; a
member that was undisturbed for ``SETTLING_TIME`` is not dead in the view of another undisturbed one. Once the faults
are over, all members agree again within ``RECOVERY_TIMEOUT``.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from random import Random

from bramblestile.clock import ZERO_DURATION
from bramblestile.fleet.membership import ProtocolConfig
from bramblestile.fleet.messages import MAX_MESSAGE_BYTES, State, to_msgpack
from bramblestile.lab.membership_simulation import MembershipSimulation, Process

SETTLING_TIME = timedelta(seconds=6)  # beyond the longest suspicion
RECOVERY_TIMEOUT = timedelta(seconds=20)  # dead members are probed each second, and then their refutation spreads
SECOND = timedelta(seconds=1)
FAULT_KINDS = "pause", "kill", "restart", "starve", "split", "one way out", "one way in", "loss", "join"


class InvariantError(Exception):
    """An invariant was violated; the text says which, and when."""


class RandomFaultRun:
    """One run. Two runs with the same seed are identical."""

    def __init__(self, seed: int, min_size: int = 5, max_size: int = 30, config: ProtocolConfig | None = None) -> None:
        self.random = Random(f"faults {seed}")
        self.simulation = MembershipSimulation(seed, config)
        self.names = [f"b{n:03}" for n in range(self.random.randint(min_size, max_size))]
        self.fault_log: list[str] = []
        self._recency: dict[tuple[str, int, str], tuple[int, int]] = {}
        self._disturbed_until: dict[str, timedelta] = {}  # SETTLING_TIME counts from then on
        self._start_time = self.simulation.now
        self._checked_changes = 0

    def run_scenario(self, faults: int = 6) -> None:
        """Run the members under random faults; raises InvariantError."""
        simulation = self.simulation
        for name in self.names:
            simulation.start(name, seeds=self.names[:3])
        simulation.watch = self._check
        if simulation.run_until(simulation.has_converged, RECOVERY_TIMEOUT) >= RECOVERY_TIMEOUT:
            raise InvariantError("the members did not find each other")
        simulation.network.loss_rate = self.random.choice((0.0, 0.02, 0.05))
        simulation.network.duplication_rate = self.random.choice((0.0, 0.05))
        for _ in range(faults):
            self._inject_fault()
            simulation.run(SECOND * self.random.uniform(0.1, 6))
        simulation.run(SECOND * 10)  # the last faults end by themselves
        simulation.network.drop_rules.clear()
        simulation.network.loss_rate = 0.0
        for process in simulation.live_processes():
            process.cpu_share = 1.0
        if simulation.run_until(simulation.has_converged, RECOVERY_TIMEOUT) >= RECOVERY_TIMEOUT:
            views = {p.name: len(p.membership.live_members()) for p in simulation.live_processes()}
            raise InvariantError(
                f"no agreement {RECOVERY_TIMEOUT} after the faults: {len(simulation.live_processes())} run, "
                f"members in each view: {views}; {self.fault_log}"
            )

    def _log_fault(self, text: str) -> None:
        self.fault_log.append(f"{(self.simulation.now - self._start_time).total_seconds():.2f} {text}")

    def _mark_disturbed(self, names: list[str], duration: timedelta) -> None:
        for name in names:
            self._disturbed_until[name] = max(
                self._disturbed_until.get(name, ZERO_DURATION), self.simulation.now + duration
            )

    def _inject_fault(self) -> None:
        simulation, random = self.simulation, self.random
        running = [p.name for p in simulation.live_processes()]
        name = random.choice(running)
        duration = SECOND * random.choice((0.3, 0.5, 1, 2, 5, 8))
        kind = random.choice(FAULT_KINDS)
        self._log_fault(f"{kind} {name} {duration.total_seconds()}")
        match kind:
            case "pause":
                self._mark_disturbed([name], duration)
                simulation.pause(name, duration)
            case "kill" if len(running) > 3:
                self._mark_disturbed([name], timedelta(days=1))
                simulation.kill(name)
            case "restart":
                self._mark_disturbed([name], SECOND)
                simulation.kill(name)
                simulation.schedule(SECOND * random.random(), lambda: self._restart(name))
            case "starve":
                self._mark_disturbed([name], 10 * SECOND)
                simulation.by_name[name].cpu_share = 0.1
                simulation.schedule(10 * SECOND, lambda: setattr(simulation.by_name[name], "cpu_share", 1.0))
            case "split":
                half = set(random.sample(running, len(running) // 2))
                self._drop(kind, running, duration, lambda a, b: (a in half) != (b in half))
            case "one way out":
                self._drop(kind, [name], duration, lambda a, b: a == name)
            case "one way in":
                self._drop(kind, [name], duration, lambda a, b: b == name)
            case "loss":
                self._mark_disturbed(running, duration)
                before, simulation.network.loss_rate = simulation.network.loss_rate, 0.3
                simulation.schedule(duration, lambda: setattr(simulation.network, "loss_rate", before))
            case "join":
                self.names.append(f"x{len(self.names):03}")
                self._mark_disturbed([self.names[-1]], SECOND)
                simulation.start(self.names[-1], seeds=self.names[:3])

    def _drop(self, kind: str, names: list[str], duration: timedelta, rule: Callable[[str, str], bool]) -> None:
        """Lose the messages that match ``rule`` for a while; ``names`` are the members that this disturbs."""
        self._mark_disturbed(names, duration)
        key = f"{kind} {self.simulation.now}"
        self.simulation.network.drop_rules[key] = rule
        self.simulation.schedule(duration, lambda: self.simulation.network.drop_rules.pop(key, None) and None)

    def _restart(self, name: str) -> None:
        self._mark_disturbed([name], SECOND)
        self.simulation.start(name, seeds=self.names[:3])

    def _is_undisturbed(self, name: str) -> bool:
        return self.simulation.now - self._disturbed_until.get(name, self._start_time - SETTLING_TIME) > SETTLING_TIME

    def _check(self, process: Process) -> None:
        """Check the invariants of the process that has just made a step."""
        membership = process.membership
        if len(to_msgpack(membership.local)) > MAX_MESSAGE_BYTES:
            raise InvariantError(f"{process.name}'s record is larger than a datagram")
        for name, peer in membership.peers.items():
            key = process.name, membership.local.epoch, name
            if peer.record.recency < self._recency.get(key, (0, 0)):
                raise InvariantError(
                    f"{process.name}: the record of {name} went back to {peer.record.recency}; {self.fault_log}"
                )
            self._recency[key] = peer.record.recency
        new_changes, self._checked_changes = (
            self.simulation.changes[self._checked_changes :],
            len(self.simulation.changes),
        )
        for time, viewer, change in new_changes:
            target = self.simulation.by_name.get(change.name)
            if (
                change.after is State.DEAD
                and target is not None
                and target.running
                and self._is_undisturbed(change.name)
                and self._is_undisturbed(viewer)
            ):
                raise InvariantError(
                    f"{(time - self._start_time).total_seconds():.2f}: {change.name}, undisturbed, is dead to "
                    f"{viewer}, by {change.accusers}; {self.fault_log}"
                )
