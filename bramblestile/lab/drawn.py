"""Memberships under faults drawn from a seed, with what must hold looked at after every step.

What must hold of each view: ages of facts never go back; nothing is larger than a datagram; nobody who was undisturbed
for ``CALM`` is dead in the view of one who was undisturbed too. And once the faults are over all agree again within
``HEALED``.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from random import Random

from bramblestile.clock import NOTHING
from bramblestile.fleet.members import Pace
from bramblestile.fleet.messages import LARGEST, State, encoded
from bramblestile.lab.simulated import Process, Simulation

CALM = timedelta(seconds=6)  # beyond the longest suspicion
HEALED = timedelta(seconds=20)  # a dead member is asked again each second; then a contradiction spreads
SECOND = timedelta(seconds=1)
KINDS = "pause", "kill", "restart", "starve", "split", "one way out", "one way in", "loss", "join"


class BrokenError(Exception):
    """What did not hold, and when."""


class Drawn:
    """One run. Two runs of one seed are the same."""

    def __init__(self, seed: int, least: int = 5, most: int = 30, pace: Pace | None = None) -> None:
        self.random = Random(f"faults {seed}")
        self.sim = Simulation(seed, pace)
        self.names = [f"b{n:03}" for n in range(self.random.randint(least, most))]
        self.log: list[str] = []
        self._ages: dict[tuple[str, int, str], tuple[int, int]] = {}
        self._disturbed: dict[str, timedelta] = {}  # until when a fault holds; from then on CALM counts
        self._began = self.sim.at
        self._looked = 0

    def play(self, faults: int = 6) -> None:
        """BrokenError tells what did not hold."""
        sim = self.sim
        for name in self.names:
            sim.start(name, seeds=self.names[:3])
        sim.watch = self._watch
        if sim.until(sim.agreed, HEALED) >= HEALED:
            raise BrokenError("the members did not find each other")
        sim.network.loss = self.random.choice((0.0, 0.02, 0.05))
        sim.network.doubled = self.random.choice((0.0, 0.05))
        for _ in range(faults):
            self._fault()
            sim.run(SECOND * self.random.uniform(0.1, 6))
        sim.run(SECOND * 10)  # whatever holds ends by itself
        sim.network.cuts.clear()
        sim.network.loss = 0.0
        for process in sim.living():
            process.share = 1.0
        if sim.until(sim.agreed, HEALED) >= HEALED:
            views = {p.name: len(p.members.living()) for p in sim.living()}
            raise BrokenError(
                f"not of one mind {HEALED} after the faults: {len(sim.living())} run, seen {views}; {self.log}"
            )

    def _say(self, text: str) -> None:
        self.log.append(f"{(self.sim.at - self._began).total_seconds():.2f} {text}")

    def _hold(self, names: list[str], span: timedelta) -> None:
        for name in names:
            self._disturbed[name] = max(self._disturbed.get(name, NOTHING), self.sim.at + span)

    def _fault(self) -> None:
        sim, random = self.sim, self.random
        running = [p.name for p in sim.living()]
        name = random.choice(running)
        span = SECOND * random.choice((0.3, 0.5, 1, 2, 5, 8))
        kind = random.choice(KINDS)
        self._say(f"{kind} {name} {span.total_seconds()}")
        match kind:
            case "pause":
                self._hold([name], span)
                sim.pause(name, span)
            case "kill" if len(running) > 3:
                self._hold([name], timedelta(days=1))
                sim.kill(name)
            case "restart":
                self._hold([name], SECOND)
                sim.kill(name)
                sim.after(SECOND * random.random(), lambda: self._restart(name))
            case "starve":
                self._hold([name], 10 * SECOND)
                sim.by_name[name].share = 0.1
                sim.after(10 * SECOND, lambda: setattr(sim.by_name[name], "share", 1.0))
            case "split":
                half = set(random.sample(running, len(running) // 2))
                self._cut(kind, running, span, lambda a, b: (a in half) != (b in half))
            case "one way out":
                self._cut(kind, [name], span, lambda a, b: a == name)
            case "one way in":
                self._cut(kind, [name], span, lambda a, b: b == name)
            case "loss":
                self._hold(running, span)
                before, sim.network.loss = sim.network.loss, 0.3
                sim.after(span, lambda: setattr(sim.network, "loss", before))
            case "join":
                self.names.append(f"x{len(self.names):03}")
                self._hold([self.names[-1]], SECOND)
                sim.start(self.names[-1], seeds=self.names[:3])

    def _cut(self, kind: str, names: list[str], span: timedelta, cut: Callable[[str, str], bool]) -> None:
        self._hold(names, span)
        key = f"{kind} {self.sim.at}"
        self.sim.network.cuts[key] = cut
        self.sim.after(span, lambda: self.sim.network.cuts.pop(key, None) and None)

    def _restart(self, name: str) -> None:
        self._hold([name], SECOND)
        self.sim.start(name, seeds=self.names[:3])

    def _calm(self, name: str) -> bool:
        return self.sim.at - self._disturbed.get(name, self._began - CALM) > CALM

    def _watch(self, process: Process) -> None:
        members = process.members
        if len(encoded(members.me)) > LARGEST:
            raise BrokenError(f"{process.name} is larger than a datagram")
        for name, known in members.known.items():
            key = process.name, members.me.life, name
            if known.fact.age < self._ages.get(key, (0, 0)):
                raise BrokenError(f"{process.name}: the age of {name} went back to {known.fact.age}; {self.log}")
            self._ages[key] = known.fact.age
        fresh, self._looked = self.sim.changes[self._looked :], len(self.sim.changes)
        for at, viewer, change in fresh:
            target = self.sim.by_name.get(change.name)
            if (
                change.after is State.DEAD
                and target is not None
                and target.running
                and self._calm(change.name)
                and self._calm(viewer)
            ):
                raise BrokenError(
                    f"{(at - self._began).total_seconds():.2f}: {change.name}, undisturbed, is dead to "
                    f"{viewer}, by {change.by}; {self.log}"
                )
